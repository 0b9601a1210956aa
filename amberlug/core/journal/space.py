"""Disk space policy of a journal: when to start a segment or compact, and how much to reserve. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

BLOCK = 512  # file sizes are rounded up to whole blocks
# Segment size = limit / this, within the bounds below; with fewer, more of the space is tied up in the
# segment being compacted.
SEGMENT_COUNT = 16
MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = 4096, 8 << 20
MIN_COMPACTION_BYTES = 1 << 18  # used bytes up to which the garbage ratio alone is no reason to compact
MAX_USED_TO_LIVE_RATIO = 2.0  # lower means more copying, higher more disk space
MAX_FILES = 48  # number of files above which the journal is compacted in any case, as after many restarts
RESERVED_PER_MESSAGE = 256  # bytes for the later records of a held message: attempts, results, outcome
SLICE_US = 1_000  # event loop time per compaction slice
RATE_WEIGHT = 0.3  # weight of the last freed segment in the moving average of the freeing rate
MIN_RETRY_US, DEFAULT_RETRY_US, MAX_RETRY_US = 200_000, 1_000_000, 10_000_000


def round_up_to_blocks(size: int) -> int:
    """Return the disk space of a file in bytes, in whole blocks."""
    return -(-size // BLOCK) * BLOCK


@dataclass(slots=True)
class DiskUsage:
    """Disk usage of a journal in bytes; `used` counts whole blocks, `live` the records of held messages."""

    used: int = 0
    live: int = 0
    held_messages: int = 0  # messages not ended, or whose outcome is not acknowledged
    files: int = 0

    def add_file(self, size: int) -> None:
        """Account for a new file."""
        self.used += round_up_to_blocks(size)
        self.files += 1

    def remove_file(self, size: int) -> None:
        """Account for a deleted file."""
        self.used -= round_up_to_blocks(size)
        self.files -= 1


class SpacePolicy:
    """Space policy for a journal limited to `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes // BLOCK * BLOCK
        self.segment_bytes = max(MIN_SEGMENT_BYTES, min(MAX_SEGMENT_BYTES, self.max_bytes // SEGMENT_COUNT))
        self._rate = 0.0  # bytes freed per microsecond
        self._last_freed_us: int | None = None

    def needs_new_segment(self, size: int, record_bytes: int) -> bool:
        """Whether a record of `record_bytes` bytes does not fit into a segment that holds `size` bytes."""
        return size + record_bytes > self.segment_bytes

    def reserve(self, held_messages: int) -> int:
        """Space reserved for later records of held messages and for copies during compaction."""
        return 2 * self.segment_bytes + held_messages * RESERVED_PER_MESSAGE

    def accepts_message(self, usage: DiskUsage, size: int) -> bool:
        """Whether a message with a body of that size fits, together with all its later records."""
        needed = size + RESERVED_PER_MESSAGE + BLOCK + self.reserve(usage.held_messages)
        return max(usage.used, usage.live) + needed <= self.max_bytes

    def fits_record(self, usage: DiskUsage, size: int) -> bool:
        """Whether a record may be written: the folder must never exceed its limit, not even briefly."""
        return usage.used + size + BLOCK <= self.max_bytes

    def should_compact(self, usage: DiskUsage) -> bool:
        """Whether the oldest segment should be compacted."""
        # With little garbage, mostly live records would be copied over and over.
        if usage.used - usage.live <= self.segment_bytes:
            return False
        garbage_limit = MAX_USED_TO_LIVE_RATIO * usage.live + 2 * self.segment_bytes
        too_much_garbage = usage.used > MIN_COMPACTION_BYTES and usage.used > garbage_limit
        nearly_full = usage.used + 3 * self.segment_bytes + self.reserve(usage.held_messages) > self.max_bytes
        return too_much_garbage or usage.files > MAX_FILES or nearly_full

    def record_freed_segment(self, size: int, now_us: int) -> None:
        """Update the average rate at which space is freed."""
        if self._last_freed_us is not None and now_us > self._last_freed_us:
            segment_rate = size / (now_us - self._last_freed_us)
            self._rate += (segment_rate - self._rate) * (RATE_WEIGHT if self._rate else 1.0)
        self._last_freed_us = now_us

    def retry_us(self, usage: DiskUsage, size: int) -> int:
        """Estimate after how many microseconds a message that did not fit may be retried.

        The estimate is based on the rate at which space is freed.
        """
        excess = (
            usage.used
            + size
            + RESERVED_PER_MESSAGE
            + BLOCK
            + self.reserve(usage.held_messages)
            - self.max_bytes
        )
        if not self._rate or excess <= 0:  # no rate known yet, or not out of space: a write or sync failed
            return DEFAULT_RETRY_US
        return int(min(max(excess / self._rate, MIN_RETRY_US), MAX_RETRY_US))
