"""Detects divergence between the membership views of several roots.

Pure. A view has `name`, `incarnation` and `peers`, and each peer has `name`, `incarnation` and
`state`.
"""

from mothnotch.decisions.fleet.swim_messages import ALIVE


def disagreements(views: list) -> list[str]:
    """Return a line for each disagreement between views.

    Disagreements are a missing root, a wrong incarnation or state, different states of a root that
    does not answer, and several roots with the same name.
    """
    incarnations = {}
    for view in views:
        incarnations.setdefault(view.name, []).append(view.incarnation)
    out = [
        f"{len(found)} roots use the name {name}"
        for name, found in sorted(incarnations.items())
        if len(found) > 1
    ]
    newest = {name: max(found) for name, found in incarnations.items()}
    for view in sorted(views, key=lambda view: (view.name, view.incarnation)):
        out += _wrong_entries(view, newest)
    return out + _disagreements_on_unresponsive(views, newest)


def _wrong_entries(view, newest: dict[str, tuple[int, int]]) -> list[str]:
    """Return where a view is wrong about roots that answered."""
    out = []
    held = {peer.name: peer for peer in view.peers}
    for name, incarnation in sorted(newest.items()):
        if name == view.name:
            continue
        peer = held.get(name)
        if peer is None:
            out.append(f"{view.name} has no entry for {name}, which answers")
        elif peer.incarnation != incarnation:
            out.append(
                f"{view.name} believes that {name} is in incarnation {peer.incarnation[0]}, "
                f"but it is in {incarnation[0]}"
            )
        elif peer.state != ALIVE:
            out.append(f"{view.name} believes that {name} is {peer.state}, but it answers")
    return out


def _disagreements_on_unresponsive(views: list, newest: dict[str, tuple[int, int]]) -> list[str]:
    """Return where views differ on roots that did not answer and whose true state is unknown."""
    out = []
    silent = {peer.name for view in views for peer in view.peers} - set(newest)
    for name in sorted(silent):
        said = {
            view.name: next((peer.state for peer in view.peers if peer.name == name), "unknown")
            for view in views
        }
        if len(set(said.values())) > 1:
            each = ", ".join(
                f"{who} believes that it is {state}" for who, state in sorted(said.items())
            )
            out.append(f"{name} does not answer: {each}")
    return out
