"""The counters of a root's requests, and the subset that counts final answers."""

# All counters, in the order in which they are logged.
COUNTERS = (
    "queries",  # accepted
    "answered",  # completely or partially
    "refused",  # rejected by the balancer
    "failed",  # by a decision of the balancer
    "gone",  # the client disconnected before the final answer
    "sends",  # attempts
    "turns",  # turns of the event loop
    "in_part",  # partial answers; also counted in "answered"
    "faults",  # ended by an error that the query itself caused
    "overdue",  # ended by the deadline guard at the client's deadline
    "hurried",  # ended by the deadline guard at a shortened deadline
    "no_room",  # not accepted: rows of other queries fill memory or disk
    "full",  # not accepted: too many queries or parts are open
    "broken",  # ended because of an unexpected error in the balancer
)

# Each accepted query is counted in exactly one of these.
FINAL_ANSWER_COUNTERS = (
    "answered",
    "refused",
    "failed",
    "gone",
    "overdue",
    "hurried",
    "faults",
    "broken",
)


def new_counters() -> dict[str, int]:
    """Return all counters, set to 0."""
    return dict.fromkeys(COUNTERS, 0)


def count_final_answers(counts: dict[str, int]) -> int:
    """Return the number of queries that have had their final answer."""
    return sum(counts[name] for name in FINAL_ANSWER_COUNTERS)
