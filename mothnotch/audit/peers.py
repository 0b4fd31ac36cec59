"""What a fleet day's roots believed of one another, held against what was done to them.

Pure: the record holds what was done, and when, and what each root's view said, several times a
second.
"""

from dataclasses import dataclass, field

from mothnotch.audit.rules import Verdict


@dataclass(slots=True)
class ViewSample:
    """One root's view at a time: between `asked` and `at` it was so. Seconds of the day's clock."""

    root: int
    asked: float
    at: float
    view: object  # peers.codec.View


@dataclass(slots=True)
class PeersRecord:
    root_names: list = field(default_factory=list)  # by number
    samples: list = field(default_factory=list)  # ViewSample
    down_intervals: list = field(default_factory=list)  # (root, from, to): it did not run
    paused_intervals: list = field(default_factory=list)  # (root, from, to): it stood still
    cut_intervals: list = field(
        default_factory=list
    )  # (root, other, from, to): nothing came from the one to the other
    degraded_intervals: list = field(
        default_factory=list
    )  # (from, to): links lost or delayed more than they do
    gone_bound_s: float = 8.0
    agreement_bound_s: float = 5.0
    fact_bound_s: float = 5.0
    view_timeout_s: float = 2.0  # that a root is waited for, at most, when it is asked


def overlaps(spans, begin, end):
    return any(a < end and b > begin for a, b in spans)


def spans_of(record, n):
    """When root n was not to be had: down, standing still, or cut off from all others on one way at
    least. While one link alone is cut, others speak for it.
    """
    cut = [(m + o - n, a, b) for m, o, a, b in record.cut_intervals if n in (m, o)]
    off = (
        [(a, b) for _, a, b in cut]
        if len({o for o, _, _ in cut}) == len(record.root_names) - 1
        else []
    )
    return [
        (a, b) for m, a, b in (*record.down_intervals, *record.paused_intervals) if m == n
    ] + off


def sound_not_gone(record):
    """Nobody holds a root for gone that was there, heard and reachable, all the time that a
    suspicion may last.
    """
    out, checked = [], 0
    for told in record.samples:
        begin = told.asked - record.gone_bound_s - record.agreement_bound_s
        for peer in told.view.peers:
            if peer.name not in record.root_names:
                continue
            n = record.root_names.index(peer.name)
            if any(overlaps(spans_of(record, m), begin, told.at) for m in (n, told.root)):
                continue
            checked += 1
            if peer.state == "gone":
                out.append(
                    f"{told.view.name} holds {peer.name} for gone at {told.at:.2f} s, which was there all the time"
                )
    return Verdict("sound roots are not held for gone", checked, out)


def dead_are_gone(record):
    """A root that has been down for the stated time is held for there by nobody."""
    out, checked = [], 0
    for n, begin, end in record.down_intervals:
        for told in record.samples:
            if (
                told.root == n
                or not begin + record.gone_bound_s <= told.asked <= told.at <= end
                or overlaps(spans_of(record, told.root), begin, told.at)
            ):
                continue
            checked += 1
            if any(p.name == record.root_names[n] and p.state != "gone" for p in told.view.peers):
                out.append(
                    f"{told.view.name} holds {record.root_names[n]} for there at {told.at:.2f} s, down since {begin:.2f} s"
                )
    return Verdict(f"dead roots are gone within {record.gone_bound_s:g} s", checked, out)


def quiet_since(record, at):
    """Whether nothing was wrong with anybody for `agreement_bound_s` before."""
    spans = (
        [(a, b) for _, a, b in (*record.down_intervals, *record.paused_intervals)]
        + [(a, b) for _, _, a, b in record.cut_intervals]
        + record.degraded_intervals
    )
    return not overlaps(spans, at - record.agreement_bound_s, at)


def all_agree(record):
    """Once nothing is wrong any more, each holds all others for there, in the life that they have."""
    out, checked, lives = [], 0, {}
    for told in sorted(record.samples, key=lambda t: t.at):
        lives[told.view.name] = told.view.incarnation
        if not quiet_since(record, told.at):
            continue
        held = {p.name: p for p in told.view.peers}
        for name in record.root_names:
            if name == told.view.name:
                continue
            checked += 1
            peer = held.get(name)
            if (
                peer is None
                or peer.state != "alive"
                or peer.incarnation < lives.get(name, peer.incarnation)
            ):
                out.append(
                    f"{told.view.name} holds {name} for {peer.state if peer else 'nobody'} at {told.at:.2f} s"
                )
    return Verdict(f"all agree within {record.agreement_bound_s:g} s", checked, out)


def no_old_life(record):
    """Who knew of a root's newer life never goes back to an older one, and shows no fact of it any
    more.
    """
    out, checked, newest = [], 0, {}
    for told in sorted(record.samples, key=lambda t: t.at):
        viewer = told.root, told.view.incarnation
        for peer in told.view.peers:
            known = newest.setdefault((viewer, peer.name), peer.incarnation)
            checked += 1
            if peer.incarnation < known:
                out.append(
                    f"{told.view.name} went back to an older life of {peer.name} at {told.at:.2f} s"
                )
            newest[viewer, peer.name] = max(known, peer.incarnation)
        for fact in told.view.facts:
            if fact.incarnation < newest.get((viewer, fact.origin), fact.incarnation):
                out.append(
                    f"{told.view.name} shows a fact of an older life of {fact.origin} at {told.at:.2f} s"
                )
    return Verdict("no old life is believed", checked, out)


def ages_bound(record):
    """A fact is never older than its age says. `value` states when it was said."""
    out, checked = [], 0
    for told in record.samples:
        for fact in told.view.facts:
            if fact.key != "day":
                continue
            checked += 1
            true = told.asked - float(fact.value)
            if fact.age_us / 1e6 < true - 0.005:
                out.append(
                    f"{told.view.name} takes a fact of {fact.origin} for {fact.age_us / 1e6:.3f} s old, which is "
                    f"{true:.3f}, at {told.at:.2f} s"
                )
    return Verdict("facts are no older than said", checked, out)


def facts_known(record):
    """While nothing is wrong, each has heard what the others say anew each second."""
    out, checked = [], 0
    for told in record.samples:
        if not quiet_since(record, told.asked):
            continue
        for name in record.root_names:
            if name == told.view.name:
                continue
            checked += 1
            at = max(
                (float(f.value) for f in told.view.facts if f.origin == name and f.key == "day"),
                default=None,
            )
            if at is None or told.asked - at > 1 + record.fact_bound_s:
                out.append(f"{told.view.name} has heard nothing new of {name} at {told.at:.2f} s")
    return Verdict(f"facts are known within {record.fact_bound_s:g} s", checked, out)


RULES = (sound_not_gone, dead_are_gone, all_agree, no_old_life, ages_bound, facts_known)


def detection_times(record):
    """{name: seconds} of the day's last line: the longest until the first, and until all, held a
    dead root for gone.
    """
    first, last = [0.0], [0.0]
    for n, begin, end in record.down_intervals:
        found = {}  # viewer -> when it was first seen to hold it for gone
        for told in sorted(record.samples, key=lambda t: t.at):
            if (
                told.root != n
                and begin < told.asked
                and told.at < end
                and any(
                    p.name == record.root_names[n] and p.state == "gone" for p in told.view.peers
                )
            ):
                found.setdefault(told.root, told.at - begin)
        first += [min(found.values())] if found else []
        last += [max(found.values())] if found else []
    return {"first_gone_s": max(first), "all_gone_s": max(last)}


def evaluate_rules(record):
    return [rule(record) for rule in RULES]
