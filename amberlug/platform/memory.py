"""What the process holds of memory that it no longer uses."""

import ctypes
import sys

_TRIM_THRESHOLD, _MMAP_THRESHOLD = -1, -3  # mallopt(3) of the GNU C library
LARGE = 128 * 1024  # bytes: what is larger is mapped on its own, and given back when it is let go of


def give_back() -> None:
    """Have large pieces given back to the system when they are let go of; of effect with glibc alone."""
    # Guards against a process that stays as large as the longest list it has read: the library raises its
    # threshold with the first large piece that is freed, and keeps what is below it. Costs a system call for
    # each large piece, of which messages make none.
    if sys.platform == "linux" and hasattr(library := ctypes.CDLL(None), "mallopt"):
        library.mallopt(_MMAP_THRESHOLD, LARGE)
        library.mallopt(_TRIM_THRESHOLD, LARGE)
