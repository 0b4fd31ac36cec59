"""The membership of one service's leaves: merge agents' answers into one list.

The package's docstring states the rules. Bounded to `max_instances` members.
"""

from collections.abc import Iterable, Mapping

from mothnotch.decisions.interface import Endpoint, WatchEventKind
from mothnotch.decisions.leaf_membership import eligibility
from mothnotch.decisions.leaf_membership.catalogue_answers import (
    DRAINING,
    UP,
    CachedLeaf,
    CatalogueAnswer,
    LocalEvidence,
    LogEvent,
)
from mothnotch.decisions.leaf_membership.departures import (
    RecentDepartures,
    reason_to_keep,
    reason_to_remove,
)
from mothnotch.decisions.leaf_membership.incarnation_candidate import IncarnationCandidate
from mothnotch.decisions.leaf_membership.instance_reading import (
    effective_weight,
    is_draining,
    parse_cell_and_start,
    worst_health,
)
from mothnotch.decisions.leaf_membership.member import Member
from mothnotch.decisions.leaf_membership.settings import MembershipSettings
from mothnotch.decisions.leaf_membership.start_estimate import StartEstimator

# The weight used for a leaf of weight 0 where that does not mean draining: weights must be above 0.
MIN_WEIGHT = 0.01
# The most lines that wait to be logged. Further ones are dropped, so that a flood of invalid
# entries does not fill the memory.
MAX_LOG_EVENTS = 100
# The most names in one log line.
MAX_LOGGED_NAMES = 20


class LeafMembership:
    """The list of one service.

    `doubt` is the reason to ask every agent for a consistent answer, or None.
    """

    def __init__(self, settings: MembershipSettings):
        """Create an empty list, before any answer."""
        self.settings = settings
        self.members: dict[str, Member] = {}
        self.doubt: str | None = None
        # The index of the newest merged answer, and when that index was first seen.
        self.index = 0
        self._index_seen_us = 0
        # How often the catalogue lost its state, and the index before the last loss.
        self.incarnation = 0
        self._lost_index = 0
        self._candidate = IncarnationCandidate()
        self._start_estimator = StartEstimator(settings.clock_skew_s)
        self._departures = RecentDepartures(settings.max_shrink_ratio)
        # Lines to log; the caller logs and clears them.
        self.log_events: list[LogEvent] = []

    # ---- inputs ----

    def restore(self, cached: list[CachedLeaf], index: int, now_us: int, wall_s: float) -> None:
        """Start from the list cached on disk."""
        self.index = index
        self._index_seen_us = now_us
        self._start_estimator.unsynced_since_us = now_us
        self._start_estimator.is_restored = True
        for leaf in cached[: self.settings.max_instances]:
            started_us = self._start_estimator.to_root_clock(leaf.observed_start_s, now_us, wall_s)
            self.members[leaf.name] = Member.from_cache(leaf, started_us)

    def on_agent_failure(self, now_us: int) -> None:
        """Record that an agent gave no usable answer."""
        self._start_estimator.on_agent_failure(now_us)

    def on_answer(self, now_us: int, wall_s: float, answer: CatalogueAnswer) -> bool:
        """Merge an answer to a query of the watch; return False if it is out of order."""
        # A stale agent may still have the lost incarnation, whose indexes may be higher than those
        # of the new one.
        from_lost_incarnation = (
            answer.is_stale and self.incarnation and answer.index <= self._lost_index
        )
        if answer.index < self.index or from_lost_incarnation:
            self._on_older_answer(answer)
            return False
        self._merge(now_us, wall_s, answer)
        return True

    def resolve_doubt(
        self,
        now_us: int,
        wall_s: float,
        requested_us: int,
        answers: Iterable[CatalogueAnswer],
        complete: bool = True,
    ) -> bool:
        """Merge the newest of the consistent answers, if it proves the state of the catalogue.

        All answers were requested at `requested_us`; `complete` says that no further one will
        arrive. Return whether the doubt is resolved.
        """
        answers = [answer for answer in answers if answer.consistent]
        if not answers:
            return False
        newest = max(answers, key=lambda answer: answer.index)
        if newest.index >= self.index:
            self.doubt = None
            self._merge(now_us, wall_s, newest, confirmed=True)
        elif complete and requested_us > self._index_seen_us:
            # A consistent answer cannot be older than an index seen before its query was sent, so
            # this one comes from a new incarnation.
            self._begin_incarnation(now_us, wall_s, newest)
        else:
            return False
        self._candidate.clear()
        return True

    def on_tick(self, now_us: int, evidence: Mapping[str, LocalEvidence]) -> None:
        """Release stable leaves, and remove missing ones that timed out or fail their connections.

        `evidence` holds the outcomes of the root's own connections by leaf name.
        """
        for member in list(self.members.values()):
            if member.awaits_release:
                member.damping.release_if_decayed(now_us)
            if member.missing_since_us is None:
                continue
            leaf_evidence = evidence.get(member.name) or LocalEvidence()
            reason = reason_to_remove(member.missing_since_us, leaf_evidence, self.settings, now_us)
            if reason is not None:
                self._log("warning", reason, leaf=member.name)
                del self.members[member.name]

    # ---- outputs ----

    def next_release_us(self) -> int | None:
        """Return when the next suppressed leaf may return, in us; None if there is none.

        Missing leaves have no time of their own: every `on_tick` checks them.
        """
        waiting = [member for member in self.members.values() if member.awaits_release]
        return min((member.damping.release_time_us() + 1 for member in waiting), default=None)

    def effective_states(self) -> dict[str, str]:
        """Return the state of each leaf that the module is given, by name."""
        return eligibility.effective_states(self.members, self.settings)

    def entries(self) -> tuple[Endpoint, ...]:
        """Return the entries of the list, sorted by name."""
        states = self.effective_states()
        return tuple(
            Endpoint(
                member.name,
                member.zone,
                member.cell,
                states[member.name],
                member.weight,
                member.started_us,
            )
            for _, member in sorted(self.members.items())
        )

    @property
    def is_live(self) -> bool:
        """Whether an agent's answer has been merged since the start."""
        return self._start_estimator.has_live_answer

    @property
    def is_unsynced(self) -> bool:
        """Whether no answer was merged since an agent failed or the list came from the cache."""
        return self._start_estimator.unsynced_since_us is not None

    @property
    def kind(self) -> WatchEventKind:
        """The kind of watch event in which the module gets the list."""
        return WatchEventKind.SNAPSHOT if self.is_live else WatchEventKind.CACHED

    def addresses(self) -> dict[str, str]:
        """Return the address of each leaf, by name."""
        return {name: member.address for name, member in self.members.items()}

    def leaves_to_cache(self, now_us: int, wall_s: float) -> list[CachedLeaf]:
        """Return the list to cache on disk, with the catalogue's states and not the damped ones."""
        return [member.to_cache(now_us, wall_s) for _, member in sorted(self.members.items())]

    # ---- merging ----

    def _on_older_answer(self, answer):
        """Handle an answer out of order: late, stale, or the first of a new incarnation."""
        if answer.is_stale or answer.index >= self.index:
            return
        self.doubt = "an answer has a lower index than an earlier one"
        self._candidate.on_answer(answer, self.members, self.settings)

    def _begin_incarnation(self, now_us, wall_s, answer):
        """Merge the first answer of an incarnation that is proved to be new."""
        self.incarnation += 1
        self._lost_index = self.index
        self.doubt = None
        self._log(
            "error",
            "the catalogue lost its state or was restored; leaves missing from it are kept",
            index=answer.index,
            before=self.index,
        )
        self._merge(now_us, wall_s, answer, in_new_incarnation=True)
        for member in self._candidate.listed_members(self.members):
            # The new incarnation has listed it, though perhaps not in this answer.
            member.in_lost_incarnation = False

    def _merge(self, now_us, wall_s, answer, confirmed=False, in_new_incarnation=False):
        if answer.index > self.index or in_new_incarnation:
            self.index = answer.index
            self._index_seen_us = now_us
        for error in answer.parse_errors:
            self._log(
                "error",
                "a catalogue entry cannot be parsed; its leaf is kept as it was",
                error=error,
            )
        names = set()
        for instance in answer.instances:
            names.add(instance.name)
            self._on_instance(now_us, wall_s, instance)
        missing = [
            member
            for member in self.members.values()
            if member.name not in names and not member.in_lost_incarnation
        ]
        if missing:
            self._on_missing(now_us, answer, missing, confirmed, in_new_incarnation)
        if not self.doubt:
            for member in self.members.values():
                # An answer does not revoke a drain from a later index than its own.
                if member.provisional_drain_index <= answer.index:
                    member.provisional_drain_index = 0
        self._start_estimator.on_answer_merged()

    def _on_missing(self, now_us, answer, missing, confirmed, in_new_incarnation):
        """Remove or keep the members that an answer no longer lists."""
        missing_up_count = sum(member.admin_state == UP for member in missing)
        listed_up_count = sum(member.admin_state == UP for member in self.members.values())
        exceeds_limit = self._departures.exceeds_limit(missing_up_count, listed_up_count, now_us)
        reason = reason_to_keep(answer, missing_up_count > 0, in_new_incarnation)
        if reason is None and (confirmed or not exceeds_limit):
            for member in missing:
                del self.members[member.name]
            self._departures.on_removed(missing_up_count, now_us)
            return
        if reason is None:
            reason = self.doubt = "too many leaves are missing at once"
        newly_missing = [member for member in missing if member.missing_since_us is None]
        if newly_missing:
            self._log(
                "error",
                "leaves missing from the answer are kept",
                why=reason,
                leaves=sorted(member.name for member in newly_missing)[:MAX_LOGGED_NAMES],
                count=len(newly_missing),
            )
        for member in newly_missing:
            member.missing_since_us = now_us
        for member in missing:
            member.in_lost_incarnation = member.in_lost_incarnation or in_new_incarnation

    def _on_instance(self, now_us, wall_s, instance):
        """Merge one instance of an answer."""
        member = self.members.get(instance.name)
        try:
            cell, stated_start_s = parse_cell_and_start(instance, self.settings)
        except ValueError as error:
            self._log(
                "error",
                "instance metadata is invalid; the instance is not used",
                leaf=instance.name,
                error=str(error),
            )
            self._drain_invalid(now_us, member, instance)
            return
        if member is None:
            if len(self.members) >= self.settings.max_instances:
                self._log(
                    "error",
                    "the maximum number of instances is reached; this one is ignored",
                    leaf=instance.name,
                )
                return
            member = self.members[instance.name] = Member(instance.name)
            member.started_us = self._start_estimator.start_of_new_process(
                stated_start_s, now_us, wall_s
            )
        elif member.is_another_process(instance, stated_start_s):
            member.started_us = self._start_estimator.start_of_new_process(
                stated_start_s, now_us, wall_s
            )
        member.cell = cell
        member.stated_start_s = stated_start_s
        self._update_member(now_us, member, instance)

    def _drain_invalid(self, now_us, member, instance):
        """Drain a known member whose entry is invalid but still marks it as draining."""
        if member is None or member.admin_state != UP or not is_draining(instance, self.settings):
            return
        member.admin_state = DRAINING
        member.damping.on_down(now_us)

    def _update_member(self, now_us, member, instance):
        """Copy an instance's address, states and weight to its member."""
        was_serving = member.is_serving
        is_marked_draining = is_draining(instance, self.settings)
        health = worst_health(instance)
        member.address = instance.address
        member.zone = str(instance.meta.get(self.settings.zone_key, ""))
        member.create_index = instance.create_index
        member.admin_state = DRAINING if is_marked_draining else UP
        member.health = health
        weight = effective_weight(instance, health)
        if weight > 0:
            member.weight = float(weight)
        elif not is_marked_draining:
            member.weight = MIN_WEIGHT
        member.missing_since_us = None
        member.in_lost_incarnation = False
        if was_serving and not member.is_serving:
            member.damping.on_down(now_us)

    def _log(self, level, text, **details):
        if len(self.log_events) < MAX_LOG_EVENTS:
            self.log_events.append(LogEvent(level, text, details))
