"""Track answers that may come from a new incarnation of the catalogue, until that is resolved."""

from collections.abc import Iterable, Mapping

from mothnotch.decisions.leaf_membership.catalogue_answers import CatalogueAnswer
from mothnotch.decisions.leaf_membership.instance_reading import is_draining
from mothnotch.decisions.leaf_membership.member import Member
from mothnotch.decisions.leaf_membership.settings import MembershipSettings


class IncarnationCandidate:
    """The highest index of a possible new incarnation, and the names that it has listed so far.

    Bounded by the names in the answers that arrive during one doubt, each of limited size.
    """

    def __init__(self):
        """Start without a candidate."""
        self._index = 0
        self._listed_names: set[str] = set()

    def clear(self) -> None:
        """Discard the candidate, as the doubt is resolved."""
        self._index = 0
        self._listed_names = set()

    def listed_members(self, members: Mapping[str, Member]) -> Iterable[Member]:
        """Return the members that the candidate has listed."""
        return [members[name] for name in self._listed_names & members.keys()]

    def on_answer(
        self,
        answer: CatalogueAnswer,
        members: Mapping[str, Member],
        settings: MembershipSettings,
    ) -> None:
        """Mark the members that the answer drains or removes: they get no new work meanwhile.

        Removals count only if the answer is complete and few of the listed names are missing.
        """
        if answer.index < self._index:
            return
        names = {instance.name for instance in answer.instances}
        departed = self._listed_names - names
        self._index = answer.index
        for instance in answer.instances:
            if instance.name in members and is_draining(instance, settings):
                members[instance.name].provisional_drain_index = answer.index
        max_departed = max(1, settings.max_shrink_ratio * len(self._listed_names))
        is_complete = names and not answer.filtered and not answer.parse_errors
        if is_complete and len(departed) <= max_departed:
            for name in departed & members.keys():
                members[name].provisional_drain_index = answer.index
        self._listed_names |= names
