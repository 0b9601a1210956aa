"""Disk space policy of a journal: when to start a segment or compact, and how much to reserve. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

BLOCK = 512  # file sizes are rounded up to whole blocks
SEGMENTS = 16  # number of segments: with fewer, more of the space is tied up in the one being compacted
LEAST_SEGMENT, MOST_SEGMENT = 4096, 8 << 20  # bytes
SMALL = 1 << 18  # bytes below which compaction is not worthwhile
LOOSE = 2.0  # allowed ratio of used to live bytes: lower means more copying, higher more disk space
MANY = 48  # number of files above which it is compacted regardless of size, as after many restarts
RECORDS = 256  # bytes reserved per held message for its later records: attempts, results, outcome
SLICE_US = 1_000  # event loop time per compaction slice
RATE_WEIGHT = 0.3  # weight of the last freed segment in the moving average of the freeing rate
LEAST_RETRY_US, USUAL_RETRY_US, MOST_RETRY_US = 200_000, 1_000_000, 10_000_000


def blocks(size: int) -> int:
    """Return the disk space of a file in bytes, in whole blocks."""
    return -(-size // BLOCK) * BLOCK


@dataclass(slots=True)
class Use:
    """Disk usage of a journal in bytes; `used` counts whole blocks, `live` what compaction would keep."""

    used: int = 0
    live: int = 0
    held: int = 0  # messages whose outcome has yet to be recorded
    files: int = 0

    def opened(self, size: int) -> None:
        """Account for a new file."""
        self.used += blocks(size)
        self.files += 1

    def closed(self, size: int) -> None:
        """Account for a deleted file."""
        self.used -= blocks(size)
        self.files -= 1


class Room:
    """Space policy for a journal limited to `most` bytes."""

    def __init__(self, most: int) -> None:
        self.most = most // BLOCK * BLOCK
        self.segment = max(LEAST_SEGMENT, min(MOST_SEGMENT, self.most // SEGMENTS))
        self._rate = 0.0  # bytes freed per microsecond
        self._freed_us: int | None = None

    def rolls(self, size: int, record: int) -> bool:
        """Whether the next record does not fit into a segment of that size."""
        return size + record > self.segment

    def reserve(self, held: int) -> int:
        """Space reserved for later records of held messages and for copies during compaction."""
        return 2 * self.segment + held * RECORDS

    def takes(self, use: Use, size: int) -> bool:
        """Whether a message with a body of that size fits, together with all its later records."""
        kept = size + RECORDS + BLOCK + self.reserve(use.held)
        return max(use.used, use.live) + kept <= self.most

    def fits(self, use: Use, size: int) -> bool:
        """Whether a record may be written: the folder must never exceed its limit, not even briefly."""
        return use.used + size + BLOCK <= self.most

    def compacts(self, use: Use) -> bool:
        """Whether the oldest segment should be compacted."""
        if use.used - use.live <= self.segment:  # else mostly live records would be copied, over and over
            return False
        loose = use.used > SMALL and use.used > LOOSE * use.live + 2 * self.segment
        return loose or use.files > MANY or use.used + 3 * self.segment + self.reserve(use.held) > self.most

    def freed(self, size: int, now_us: int) -> None:
        """Update the rate at which space is freed."""
        if self._freed_us is not None and now_us > self._freed_us:
            rate = size / (now_us - self._freed_us)
            self._rate += (rate - self._rate) * (RATE_WEIGHT if self._rate else 1.0)
        self._freed_us = now_us

    def retry_us(self, use: Use, size: int) -> int:
        """Estimate from the rate at which space is freed when a message that did not fit may be retried."""
        missing = use.used + size + RECORDS + BLOCK + self.reserve(use.held) - self.most
        if not self._rate or missing <= 0:  # not out of space: the disk fails
            return USUAL_RETRY_US
        return int(min(max(missing / self._rate, LEAST_RETRY_US), MOST_RETRY_US))
