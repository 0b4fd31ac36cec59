"""Rules for removing leaves that an answer does not list, at once or after a hold time."""

from collections import deque

from mothnotch.decisions.leaf_membership.catalogue_answers import CatalogueAnswer, LocalEvidence
from mothnotch.decisions.leaf_membership.settings import MembershipSettings

# Departures within this window are counted together: a list that loses its leaves one by one
# shrinks as much as one that loses them all at once.
SHRINK_WINDOW_US = 10_000_000


class RecentDepartures:
    """The times of recent departures; bounded, as those outside the window are dropped."""

    def __init__(self, max_shrink_ratio: float):
        """Limit the departures within a window to a share of the list."""
        self._max_shrink_ratio = max_shrink_ratio
        self._departed_us = deque()

    def exceeds_limit(self, missing_count: int, listed_count: int, now_us: int) -> bool:
        """Return whether the departure of `missing_count` leaves exceeds the limit.

        Both counts are of leaves that are up. A single departure never exceeds the limit.
        """
        while self._departed_us and self._departed_us[0] < now_us - SHRINK_WINDOW_US:
            self._departed_us.popleft()
        departed_count = len(self._departed_us)
        listed_before = listed_count + departed_count
        return (
            missing_count > 1
            and missing_count + departed_count > self._max_shrink_ratio * listed_before
        )

    def on_removed(self, count: int, now_us: int) -> None:
        """Record the removal of `count` leaves that were up."""
        self._departed_us.extend([now_us] * count)


def reason_to_keep(
    answer: CatalogueAnswer, any_up_missing: bool, in_new_incarnation: bool
) -> str | None:
    """Return why leaves missing from an answer are kept, or None if they may be removed."""
    if in_new_incarnation:
        return "a new incarnation of the catalogue does not list all leaves"
    if answer.filtered:
        return "entries were filtered by ACLs"
    if answer.parse_errors:
        return "entries could not be parsed"
    if not answer.instances and any_up_missing:
        return "the answer lists no instances"
    return None


def reason_to_remove(
    missing_since_us: int, evidence: LocalEvidence, settings: MembershipSettings, now_us: int
) -> str | None:
    """Return why a missing leaf that was kept is now removed, or None if it is still kept."""
    is_failing = evidence.is_failing(now_us, settings.local_failure_us)
    if is_failing and now_us - missing_since_us > settings.local_failure_us:
        return "a leaf missing from the catalogue fails on the root's connections; it is removed"
    last_heard_us = max(missing_since_us, evidence.last_answered_us or 0)
    if now_us - last_heard_us > settings.hold_missing_us:
        return "a leaf missing from the catalogue was not heard from in time; it is removed"
    return None
