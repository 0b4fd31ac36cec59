"""Derive the drain state, health, weight, cell and stated start of one catalogue instance."""

import math

from mothnotch.decisions.leaf_membership.catalogue_answers import (
    CRITICAL,
    PASSING,
    WARNING,
    Instance,
)
from mothnotch.decisions.leaf_membership.settings import MembershipSettings

NODE_MAINTENANCE = "_node_maintenance"
SERVICE_MAINTENANCE_PREFIX = "_service_maintenance"


def is_draining(instance: Instance, settings: MembershipSettings) -> bool:
    """Return whether an instance is marked as draining in any way that the settings enable."""
    if settings.drain_maintenance and _in_maintenance(instance):
        return True
    if not settings.drain_tags.isdisjoint(instance.tags):
        return True
    if any(instance.meta.get(key) == value for key, value in settings.drain_meta):
        return True
    return settings.drain_weight and effective_weight(instance, worst_health(instance)) <= 0


def worst_health(instance: Instance) -> str:
    """Return the status of the instance's worst check, maintenance checks excepted.

    An unknown status counts as critical, since its meaning cannot be guessed.
    """
    worst = PASSING
    for check_id, status in instance.checks:
        if _is_maintenance(check_id):
            continue
        if status == WARNING and worst == PASSING:
            worst = WARNING
        elif status not in (PASSING, WARNING):
            return CRITICAL
    return worst


def effective_weight(instance: Instance, health: str) -> int:
    """Return the weight of an instance at the given health."""
    return instance.weights[health == WARNING]


def parse_cell_and_start(
    instance: Instance, settings: MembershipSettings
) -> tuple[int, float | None]:
    """Return the cell and the stated start (seconds of the wall clock, or None) of an instance.

    Raise ValueError if the metadata of either is missing or invalid.
    """
    cell_text = instance.meta.get(settings.cell_key)
    if (
        cell_text is None
        or not cell_text.isascii()
        or not cell_text.isdigit()
        or int(cell_text) >= settings.cells
    ):
        raise ValueError(
            f"meta {settings.cell_key!r} is {cell_text!r}; expected 0..{settings.cells - 1}"
        )
    start_text = instance.meta.get(settings.started_key)
    if start_text is None:
        return int(cell_text), None
    try:
        stated_start_s = float(start_text)
    except ValueError:
        stated_start_s = math.nan
    if not math.isfinite(stated_start_s):
        raise ValueError(
            f"meta {settings.started_key!r} is {start_text!r}; expected seconds since 1970"
        )
    return int(cell_text), stated_start_s


def _in_maintenance(instance):
    return any(
        _is_maintenance(check_id) for check_id, status in instance.checks if status == CRITICAL
    )


def _is_maintenance(check_id):
    return check_id == NODE_MAINTENANCE or check_id.startswith(SERVICE_MAINTENANCE_PREFIX)
