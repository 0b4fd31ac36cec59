"""A heap of deadlines returns what is due in order, and does not keep what has ended."""

import math
import random

from mothnotch.net.deadline_heap import MIN_ITEMS, DeadlineHeap


class Item:
    """An item that may end."""

    def __init__(self):
        self.ended = False


def make_heap():
    return DeadlineHeap(lambda item: item.ended)


def test_items_that_have_ended_are_not_kept_until_their_deadlines():
    """Guards against memory that grows with the requests, as each stays until the deadline that its
    client states (operators' picture (b)).
    """
    heap, open_items = make_heap(), [Item() for _ in range(10)]
    for number, item in enumerate(open_items):
        heap.add(1e9 + number, item)
    for number in range(100_000):
        item = Item()
        heap.add(1e6 + number, item)
        item.ended = True
        assert len(heap) <= max(MIN_ITEMS, 2 * (len(open_items) + 1)) + 1
    assert [heap.pop_due(math.inf) for _ in open_items] == open_items


def test_due_items_come_in_order_unless_they_have_ended():
    """Guards against a deadline that is missed, or enforced twice."""
    rng = random.Random(1)
    heap, model = make_heap(), []
    for _ in range(5000):
        deadline = rng.randrange(1000)
        item = Item()
        heap.add(deadline, item)
        model.append((deadline, item))
        for _, other in rng.sample(model, min(2, len(model))):
            other.ended = other.ended or rng.random() < 0.4
    expected = [entry for entry in sorted(model, key=lambda entry: entry[0]) if not entry[1].ended]
    assert heap.first_deadline() == expected[0][0]
    found = []
    while (item := heap.pop_due(500)) is not None:
        found.append(item)
    assert found == [item for deadline, item in expected if deadline <= 500]
    assert heap.first_deadline() == next(deadline for deadline, _ in expected if deadline > 500)
