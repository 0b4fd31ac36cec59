"""The memory of this process, as the system accounts for it."""

import os
import resource

STATM_PATH = "/proc/self/statm"
STATM_BYTES = 128
RESIDENT_FIELD = 1
SHARED_FIELD = 2


class ProcessMemory:
    """Reads the memory of this process; `own_kb` returns 0 where the system does not tell."""

    def __init__(self):
        """Open the system's account, if there is one."""
        self._page_kb = resource.getpagesize() // 1024
        try:
            self._statm = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm = None

    def own_kb(self) -> int:
        """Return the resident memory without mapped files."""
        resident_kb, shared_kb = self._read()
        return resident_kb - shared_kb

    def resident_kb(self) -> int:
        """Return the resident memory with mapped files."""
        return self._read()[0]

    def close(self) -> None:
        """Close the system's account."""
        if self._statm is not None:
            os.close(self._statm)
            self._statm = None

    def _read(self):
        if self._statm is None:
            return 0, 0
        try:
            fields = os.pread(self._statm, STATM_BYTES, 0).split()
        except OSError:
            return 0, 0
        return (
            int(fields[RESIDENT_FIELD]) * self._page_kb,
            int(fields[SHARED_FIELD]) * self._page_kb,
        )
