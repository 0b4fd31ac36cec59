"""Select the leaves that take new work, from their state in the catalogue and their health.

Health never takes out more than a share of the list: when so many checks fail at once, the checks
themselves are the likelier fault. Nor does it take out the last replica of a range: a range
without any replica is worse than one with an unhealthy replica.
"""

from collections.abc import Mapping

from mothnotch.decisions.leaf_membership.catalogue_answers import CRITICAL, DRAINING, UP
from mothnotch.decisions.leaf_membership.member import Member
from mothnotch.decisions.leaf_membership.settings import MembershipSettings


def effective_states(members: Mapping[str, Member], settings: MembershipSettings) -> dict[str, str]:
    """Return the state (up or draining) of each leaf that the module is given, by name."""
    admitted = [
        member
        for member in members.values()
        if member.admin_state == UP and not member.provisional_drain_index
    ]
    unhealthy = _unhealthy_names(admitted, settings)
    if unhealthy:
        unhealthy = _without_last_replicas(unhealthy, admitted, settings)
    eligible = {member.name for member in admitted} - unhealthy
    return {name: UP if name in eligible else DRAINING for name in members}


def _unhealthy_names(admitted, settings):
    """Return the names of unhealthy leaves, or none if they exceed the settings' share."""
    if not settings.health:
        return set()
    names = {
        member.name for member in admitted if member.health == CRITICAL or member.damping.suppressed
    }
    if len(names) > settings.max_critical_ratio * len(admitted):
        return set()
    return names


def _without_last_replicas(unhealthy, admitted, settings):
    """Return `unhealthy` without the last replicas of any range.

    The replicas of a range are the leaves of `reach` adjacent cells.
    """
    served_cells = {member.cell for member in admitted if member.name not in unhealthy}
    for first_cell in range(settings.cells):
        replica_cells = {(first_cell + offset) % settings.cells for offset in range(settings.reach)}
        if not replica_cells & served_cells:
            unhealthy = unhealthy - {
                member.name for member in admitted if member.cell in replica_cells
            }
    return unhealthy
