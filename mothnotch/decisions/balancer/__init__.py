"""All decisions of one root, on the events and actions of mothnotch/decisions/interface.py.

They cover where a part is sent, when it is retried and which queries are rejected. `Balancer`
passes each event to the module that decides on it.
"""

from mothnotch.decisions.balancer.balancer import Balancer

__all__ = ["Balancer"]
