"""How a journal uses its room: when to roll, what and how much to compact, what to keep free. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

BLOCK = 512  # files count in whole blocks
SEGMENTS = 16  # into so many the room is cut: fewer leave more of it to a segment that is being emptied
LEAST_SEGMENT, MOST_SEGMENT = 4096, 8 << 20  # bytes
SMALL = 1 << 18  # bytes below which a journal is not worth compacting
LOOSE = 2.0  # times the live bytes that it may grow to: less writes more copies, more takes more room
MANY = 48  # files above which it is compacted for their number alone, as after many restarts
RECORDS = (
    256  # bytes kept free for what is still to be written of each message held: attempts, outcomes, its end
)
SLICE_US = 1_000  # loop time that one slice of compaction may take
RATE_WEIGHT = 0.3  # weight of the newest segment that was freed in the rate at which room comes back
LEAST_RETRY_US, USUAL_RETRY_US, MOST_RETRY_US = 200_000, 1_000_000, 10_000_000


def blocks(size: int) -> int:
    """The room that a file takes."""
    return -(-size // BLOCK) * BLOCK


@dataclass(slots=True)
class Use:
    """How full a journal is, in bytes; `used` counts whole blocks, `live` what compaction would keep."""

    used: int = 0
    live: int = 0
    held: int = 0  # messages with an end still to be written
    files: int = 0

    def opened(self, size: int) -> None:
        """Count one more file."""
        self.used += blocks(size)
        self.files += 1

    def closed(self, size: int) -> None:
        """Count one file less."""
        self.used -= blocks(size)
        self.files -= 1


class Room:
    """Decides for a journal that may take `most` bytes."""

    def __init__(self, most: int) -> None:
        self.most = most // BLOCK * BLOCK
        self.segment = max(LEAST_SEGMENT, min(MOST_SEGMENT, self.most // SEGMENTS))
        self._rate = 0.0  # bytes that came back in a microsecond
        self._freed_us: int | None = None

    def rolls(self, size: int, record: int) -> bool:
        """Whether a segment of that size is full, seen from the next record."""
        return size + record > self.segment

    def reserve(self, held: int) -> int:
        """What no new message may use: for outcomes and ends, and copies before their segment is freed."""
        return 2 * self.segment + held * RECORDS

    def takes(self, use: Use, size: int) -> bool:
        """Whether a message with a body of that size may be taken on: now, and with all that follows."""
        kept = size + RECORDS + BLOCK + self.reserve(use.held)
        return max(use.used, use.live) + kept <= self.most

    def fits(self, use: Use, size: int) -> bool:
        """Whether a record may be written at all: the folder stays under its room at every moment."""
        return use.used + size + BLOCK <= self.most

    def compacts(self, use: Use) -> bool:
        """Whether the oldest segment is to be emptied."""
        if use.used - use.live <= self.segment:  # copies would only chase each other
            return False
        loose = use.used > SMALL and use.used > LOOSE * use.live + 2 * self.segment
        return loose or use.files > MANY or use.used + 3 * self.segment + self.reserve(use.held) > self.most

    def freed(self, size: int, now_us: int) -> None:
        """Note that room came back."""
        if self._freed_us is not None and now_us > self._freed_us:
            rate = size / (now_us - self._freed_us)
            self._rate += (rate - self._rate) * (RATE_WEIGHT if self._rate else 1.0)
        self._freed_us = now_us

    def retry_us(self, use: Use, size: int) -> int:
        """When a message that did not fit may come again, by the rate at which room comes back."""
        missing = use.used + size + RECORDS + BLOCK + self.reserve(use.held) - self.most
        if not self._rate or missing <= 0:  # it is not for want of room, but for a disk that fails
            return USUAL_RETRY_US
        return int(min(max(missing / self._rate, LEAST_RETRY_US), MOST_RETRY_US))
