"""Rules on what the roots of a fleet day believe of one another, given the faults injected.

The functions are pure: the record holds which faults were injected and when, and each root's view
of the fleet, sampled several times a second.
"""

from dataclasses import dataclass, field

from mothnotch.audit.rules import Verdict


@dataclass(slots=True)
class ViewSample:
    """A root's view as it was between `asked` and `at`, in seconds of the day's clock."""

    root: int
    asked: float
    at: float
    view: object  # peers.wire.View


@dataclass(slots=True)
class PeersRecord:
    """The views and the fault intervals of a fleet day. The bounds are in seconds."""

    root_names: list = field(default_factory=list)  # by number of the root
    samples: list = field(default_factory=list)  # ViewSample
    down_intervals: list = field(default_factory=list)  # (root, begin, end): not running
    paused_intervals: list = field(default_factory=list)  # (root, begin, end): paused
    # (source, target, begin, end): the directed link between the two roots was cut
    cut_intervals: list = field(default_factory=list)
    # (begin, end): links had additional loss or delay
    degraded_intervals: list = field(default_factory=list)
    gone_bound_s: float = 8.0
    agreement_bound_s: float = 5.0
    fact_bound_s: float = 5.0
    view_timeout_s: float = 2.0  # limit on the wait for a root's view


def overlaps_any(intervals, begin, end):
    """Return whether one of the intervals overlaps the one from `begin` to `end`."""
    return any(a < end and b > begin for a, b in intervals)


def unreachable_intervals(record, n):
    """Return when root n was down, paused, or cut off from every other root in some direction.

    While only one of its links is cut, other roots vouch for it by indirect probes.
    """
    # Of a link between m and o, one of which is n, the other end is m + o - n.
    cut = [(m + o - n, a, b) for m, o, a, b in record.cut_intervals if n in (m, o)]
    isolated = (
        [(a, b) for _, a, b in cut]
        if len({o for o, _, _ in cut}) == len(record.root_names) - 1
        else []
    )
    return [
        (a, b) for m, a, b in (*record.down_intervals, *record.paused_intervals) if m == n
    ] + isolated


def check_no_false_positives(record):
    """No root is considered gone that ran and was reachable for as long as a suspicion lasts."""
    violations, checked = [], 0
    for sample in record.samples:
        begin = sample.asked - record.gone_bound_s - record.agreement_bound_s
        for peer in sample.view.peers:
            if peer.name not in record.root_names:
                continue
            n = record.root_names.index(peer.name)
            if any(
                overlaps_any(unreachable_intervals(record, m), begin, sample.at)
                for m in (n, sample.root)
            ):
                continue
            checked += 1
            if peer.state == "gone":
                violations.append(
                    f"{sample.view.name} considers {peer.name} gone at {sample.at:.2f} s, "
                    "but it was reachable"
                )
    return Verdict("sound roots are not held for gone", checked, violations)


def check_dead_roots_detected(record):
    """Every root considers a root gone once that has been down for the stated bound."""
    violations, checked = [], 0
    for n, begin, end in record.down_intervals:
        for sample in record.samples:
            if (
                sample.root == n
                or not begin + record.gone_bound_s <= sample.asked <= sample.at <= end
                or overlaps_any(unreachable_intervals(record, sample.root), begin, sample.at)
            ):
                continue
            checked += 1
            if any(p.name == record.root_names[n] and p.state != "gone" for p in sample.view.peers):
                violations.append(
                    f"{sample.view.name} does not consider {record.root_names[n]} gone at "
                    f"{sample.at:.2f} s, although it has been down since {begin:.2f} s"
                )
    return Verdict(f"dead roots are gone within {record.gone_bound_s:g} s", checked, violations)


def is_fault_free(record, at):
    """Return whether no fault was active in the `agreement_bound_s` before."""
    intervals = (
        [(a, b) for _, a, b in (*record.down_intervals, *record.paused_intervals)]
        + [(a, b) for _, _, a, b in record.cut_intervals]
        + record.degraded_intervals
    )
    return not overlaps_any(intervals, at - record.agreement_bound_s, at)


def check_agreement(record):
    """Once no fault is active, each root sees all others as alive in their last incarnation."""
    violations, checked, incarnations = [], 0, {}
    for sample in sorted(record.samples, key=lambda s: s.at):
        incarnations[sample.view.name] = sample.view.incarnation
        if not is_fault_free(record, sample.at):
            continue
        peers = {p.name: p for p in sample.view.peers}
        for name in record.root_names:
            if name == sample.view.name:
                continue
            checked += 1
            peer = peers.get(name)
            if (
                peer is None
                or peer.state != "alive"
                or peer.incarnation < incarnations.get(name, peer.incarnation)
            ):
                violations.append(
                    f"{sample.view.name} sees {name} as {peer.state if peer else 'nobody'} at "
                    f"{sample.at:.2f} s"
                )
    return Verdict(f"all agree within {record.agreement_bound_s:g} s", checked, violations)


def check_incarnations(record):
    """A root that knows a newer incarnation of another never returns to an older one, and shows no
    facts of it.
    """
    violations, checked, newest = [], 0, {}
    for sample in sorted(record.samples, key=lambda s: s.at):
        viewer = sample.root, sample.view.incarnation
        for peer in sample.view.peers:
            known = newest.setdefault((viewer, peer.name), peer.incarnation)
            checked += 1
            if peer.incarnation < known:
                violations.append(
                    f"{sample.view.name} returned to an older incarnation of {peer.name} at "
                    f"{sample.at:.2f} s"
                )
            newest[viewer, peer.name] = max(known, peer.incarnation)
        for fact in sample.view.facts:
            if fact.incarnation < newest.get((viewer, fact.origin), fact.incarnation):
                violations.append(
                    f"{sample.view.name} shows a fact of an older incarnation of {fact.origin} at "
                    f"{sample.at:.2f} s"
                )
    return Verdict("no old life is believed", checked, violations)


def check_fact_ages(record):
    """A fact is never older than its stated age; its value is the time of its publication."""
    violations, checked = [], 0
    for sample in record.samples:
        for fact in sample.view.facts:
            if fact.key != "day":
                continue
            checked += 1
            true_age = sample.asked - float(fact.value)
            if fact.age_us / 1e6 < true_age - 0.005:
                violations.append(
                    f"{sample.view.name} takes a fact of {fact.origin} to be "
                    f"{fact.age_us / 1e6:.3f} s old, but it is {true_age:.3f} s old, at "
                    f"{sample.at:.2f} s"
                )
    return Verdict("facts are no older than said", checked, violations)


def check_facts_known(record):
    """While no fault is active, each root has the facts that the others publish every second."""
    violations, checked = [], 0
    for sample in record.samples:
        if not is_fault_free(record, sample.asked):
            continue
        for name in record.root_names:
            if name == sample.view.name:
                continue
            checked += 1
            published_at = max(
                (float(f.value) for f in sample.view.facts if f.origin == name and f.key == "day"),
                default=None,
            )
            if published_at is None or sample.asked - published_at > 1 + record.fact_bound_s:
                violations.append(
                    f"{sample.view.name} has no recent fact of {name} at {sample.at:.2f} s"
                )
    return Verdict(f"facts are known within {record.fact_bound_s:g} s", checked, violations)


RULES = (
    check_no_false_positives,
    check_dead_roots_detected,
    check_agreement,
    check_incarnations,
    check_fact_ages,
    check_facts_known,
)


def detection_times(record):
    """Return the longest times, in seconds, until a dead root was considered gone.

    One is measured until the first root did so, the other until the last one did.
    """
    first, last = [0.0], [0.0]
    for n, begin, end in record.down_intervals:
        delays = {}  # root -> time until it first considered root n gone
        for sample in sorted(record.samples, key=lambda s: s.at):
            if (
                sample.root != n
                and begin < sample.asked
                and sample.at < end
                and any(
                    p.name == record.root_names[n] and p.state == "gone" for p in sample.view.peers
                )
            ):
                delays.setdefault(sample.root, sample.at - begin)
        first += [min(delays.values())] if delays else []
        last += [max(delays.values())] if delays else []
    return {"first_gone_s": max(first), "all_gone_s": max(last)}


def evaluate_rules(record):
    """Return the verdicts of all rules on a fleet day."""
    return [rule(record) for rule in RULES]
