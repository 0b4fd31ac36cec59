"""All decisions of one root: where a part is sent, when it is retried, which queries are rejected.

`Balancer` passes each event to the module that decides on it. Events and actions are defined in
mothnotch/decisions/interface.py.
"""

from mothnotch.decisions.balancer.balancer import Balancer

__all__ = ["Balancer"]
