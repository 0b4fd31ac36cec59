"""Account for the bytes that the holders of one kind have, against one bound for all of them.

Pure: no I/O and no clock. The caller notes what each holder has, and decides who is to give way
once the bound is exceeded.
"""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

HolderT = TypeVar("HolderT", bound=Hashable)


class HeldBytes(Generic[HolderT]):
    """The bytes of each holder, and their total.

    `max_bytes`: the bound for all together. `most_bytes`: the largest total so far.
    """

    def __init__(self, max_bytes: int):
        """Start without holders."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.most_bytes = 0
        self._held_bytes = {}

    @property
    def is_exceeded(self) -> bool:
        """Return whether the holders together have more than they may."""
        return self.total_bytes > self.max_bytes

    @property
    def free_bytes(self) -> int:
        """Return how much is left, 0 if the bound is exceeded."""
        return max(0, self.max_bytes - self.total_bytes)

    def of(self, holder: HolderT) -> int:
        """Return how much a holder has."""
        return self._held_bytes.get(holder, 0)

    def set(self, holder: HolderT, held_bytes: int) -> None:
        """Note how much a holder has now; one without any is forgotten."""
        before_bytes = self._held_bytes.get(holder, 0)
        if held_bytes == before_bytes:
            return
        self.total_bytes += held_bytes - before_bytes
        if self.total_bytes > self.most_bytes:
            self.most_bytes = self.total_bytes
        if held_bytes:
            self._held_bytes[holder] = held_bytes
        else:
            del self._held_bytes[holder]

    def remove(self, holder: HolderT) -> None:
        """Forget a holder."""
        self.total_bytes -= self._held_bytes.pop(holder, 0)

    def holders(self) -> list[HolderT]:
        """Return the holders that have something."""
        return list(self._held_bytes)

    def largest(self, holders: Iterable[HolderT]) -> HolderT | None:
        """Return which of the holders has most; None if there is none."""
        return max(holders, key=self.of, default=None)
