"""Returns freed memory from the C allocator to the operating system."""

import ctypes
import sys

_TRIM_THRESHOLD, _MMAP_THRESHOLD = -1, -3  # mallopt(3) of the GNU C library
# Larger allocations get a mapping of their own, which is unmapped when they are freed.
LARGE_ALLOCATION_BYTES = 128 * 1024


def return_freed_memory() -> None:
    """Have large allocations returned to the system when they are freed; only glibc supports this."""
    # Otherwise the process stays as large as the longest list it has read: glibc raises its threshold when
    # the first large allocation is freed, and keeps freed memory below the threshold. Costs a system call for
    # each large allocation; messages need none.
    if sys.platform == "linux" and hasattr(library := ctypes.CDLL(None), "mallopt"):
        library.mallopt(_MMAP_THRESHOLD, LARGE_ALLOCATION_BYTES)
        library.mallopt(_TRIM_THRESHOLD, LARGE_ALLOCATION_BYTES)
