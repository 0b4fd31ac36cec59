"""The budgets of what a root holds in bytes, one for each kind of holder."""

from dataclasses import dataclass

from mothnotch.decisions.answer_memory import AnswerBudget
from mothnotch.decisions.client_input import InputBudget
from mothnotch.decisions.held_bytes import HeldBytes
from mothnotch.decisions.leaf_memory import LeafInputBudget
from mothnotch.decisions.resource_limits import ResourceLimits


@dataclass(slots=True, frozen=True, eq=False)
class MemoryBudgets:
    """`client_input`: input and texts, by client. `answers`: values by query, and unsent answers by
    client. `leaf_input`: incomplete frames, and `unsent_calls`: calls that are not taken, by leaf
    connection. `max_call_bytes`: the maximum size of the texts of one call.
    """

    client_input: InputBudget
    answers: AnswerBudget
    leaf_input: LeafInputBudget
    unsent_calls: HeldBytes
    max_call_bytes: int

    @classmethod
    def from_limits(cls, limits: ResourceLimits) -> "MemoryBudgets":
        """Return empty budgets with these limits."""
        return cls(
            InputBudget(limits.max_input_bytes, limits.max_client_input_bytes),
            AnswerBudget(limits.max_answer_bytes, limits.max_query_answer_bytes),
            LeafInputBudget(limits.max_leaf_input_bytes),
            HeldBytes(limits.max_unsent_call_bytes),
            limits.max_call_bytes,
        )

    def by_holder(self) -> dict[str, HeldBytes]:
        """Return the budgets by the names under which logs and counts show them."""
        return {
            "client_input": self.client_input,
            "answers": self.answers,
            "leaf_input": self.leaf_input,
            "unsent_calls": self.unsent_calls,
        }
