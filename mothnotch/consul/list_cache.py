"""Asynchronous access to the list of leaves on disk: read at the start, saved after changes."""

from mothnotch.decisions.leaf_membership.membership import LeafMembership
from mothnotch.root.core import now_us


class ListCache:
    """Loads and saves the list in a thread; a disk error is logged and does not stop the root."""

    def __init__(self, store, max_age_s: float, network, log):
        """Use `store`, and ignore a list older than `max_age_s` by the wall clock."""
        self._store = store
        self._max_age_s = max_age_s
        self._network = network
        self._log = log

    async def restore(self, membership: LeafMembership) -> bool:
        """Restore the membership from the list on disk; return whether there was a usable one."""
        leaves, index, saved_s, problem = await self._network.run_in_thread(self._store.load)
        if problem:
            self._log.error("problem with the list cached on disk", wrong=problem)
        if leaves is None:
            return False
        age_s = self._network.wall_time() - saved_s
        if age_s > self._max_age_s:
            self._log.error(
                "the list cached on disk is too old; it is not used",
                age_s=round(age_s),
                most_s=self._max_age_s,
            )
            return False
        self._log.warning(
            "leaves restored from the list cached on disk",
            age_s=round(max(0.0, age_s)),
            leaves=len(leaves),
        )
        membership.restore(leaves, index, now_us(), self._network.wall_time())
        return True

    async def save(self, membership: LeafMembership) -> None:
        """Save the membership's list."""
        try:
            await self._network.run_in_thread(
                self._store.save,
                membership.leaves_to_cache(now_us(), self._network.wall_time()),
                membership.index,
                self._network.wall_time(),
            )
        except OSError as error:
            self._log.error("the list cannot be saved to disk", error=str(error))
