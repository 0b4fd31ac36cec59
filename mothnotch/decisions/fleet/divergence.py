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
    lines = [
        f"{len(seen)} roots use the name {name}"
        for name, seen in sorted(incarnations.items())
        if len(seen) > 1
    ]
    newest_incarnations = {name: max(seen) for name, seen in incarnations.items()}
    for view in sorted(views, key=lambda view: (view.name, view.incarnation)):
        lines += _wrong_entries(view, newest_incarnations)
    return lines + _disagreements_on_unresponsive(views, newest_incarnations)


def _wrong_entries(view, newest_incarnations: dict[str, tuple[int, int]]) -> list[str]:
    """Return where a view is wrong about roots that answered."""
    lines = []
    peers_by_name = {peer.name: peer for peer in view.peers}
    for name, incarnation in sorted(newest_incarnations.items()):
        if name == view.name:
            continue
        peer = peers_by_name.get(name)
        if peer is None:
            lines.append(f"{view.name} has no entry for {name}, which answers")
        elif peer.incarnation != incarnation:
            lines.append(
                f"{view.name} believes that {name} is in incarnation {peer.incarnation[0]}, "
                f"but it is in {incarnation[0]}"
            )
        elif peer.state != ALIVE:
            lines.append(f"{view.name} believes that {name} is {peer.state}, but it answers")
    return lines


def _disagreements_on_unresponsive(
    views: list, newest_incarnations: dict[str, tuple[int, int]]
) -> list[str]:
    """Return where views differ on roots that did not answer and whose true state is unknown."""
    lines = []
    unresponsive = {peer.name for view in views for peer in view.peers} - set(newest_incarnations)
    for name in sorted(unresponsive):
        state_by_viewer = {
            view.name: next((peer.state for peer in view.peers if peer.name == name), "unknown")
            for view in views
        }
        if len(set(state_by_viewer.values())) > 1:
            beliefs = ", ".join(
                f"{viewer} believes that it is {state}"
                for viewer, state in sorted(state_by_viewer.items())
            )
            lines.append(f"{name} does not answer: {beliefs}")
    return lines
