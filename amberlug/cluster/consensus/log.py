"""A member's entries, in memory and on their way to disk, and the snapshot that takes their place.

Nothing here is written but through `Disk`. Entries are counted by bytes as well as by number, since one may
have 4 MiB: a snapshot is made after so many of either, never more often than its own size warrants, and a
tail of entries before it stays for members that lack only a little.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

from amberlug.cluster.consensus.snapshot_transfer import PART
from amberlug.cluster.interfaces import Disk, Json, Runtime

BATCH = 64  # entries in one message, which are of PART bytes at most in all
COMPACT = 512  # entries since the last snapshot until another one is made
COMPACT_BYTES = 4 << 20  # the same in bytes, or as many as the snapshot has: it is not written at each change
TAIL = 128  # entries before the snapshot that are kept for members that lack only a few
TAIL_BYTES = 1 << 20  # of these
AGAIN_S = (0.1, 1.6)  # between tries to write what the disk refuses: at first, and at most

Entry = tuple[int, Json | None]  # term and command; None: a new leader's first entry
Row = tuple[str, tuple[object, ...]]


def text_of(value: Json | None) -> str:
    """A command or a snapshot as it goes to disk and to others."""
    return json.dumps(value, separators=(",", ":"))


@dataclass(slots=True)
class PersistentState:
    """What a member has on disk."""

    me: str
    term: int = 0
    vote: str = ""
    start: int = 0  # the last entry that the snapshot covers
    start_term: int = 0
    state: Json | None = None
    members: Json = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)  # behind what the snapshot covers
    tail: list[Entry] = field(default_factory=list)  # the last ones that it covers, as far as they are kept
    floors: Json = field(default_factory=dict)  # what members are known to have had, by member


def assemble(saved: PersistentState, rows: Iterable[tuple[int, int, Json | None]]) -> PersistentState | None:
    """Put the rows of a log, in their order, behind and before a snapshot; None where some are missing.

    What the snapshot covers may have gaps: it came whole from a leader, or was written when entries before it
    were refused.
    """
    before = 0
    for at, term, command in rows:
        if at <= saved.start:
            if at != before + 1:
                saved.tail.clear()
            saved.tail.append((term, command))
            before = at
        elif at == saved.start + len(saved.entries) + 1:
            saved.entries.append((term, command))
        else:
            return None
    if before != saved.start or (saved.tail and saved.tail[-1][0] != saved.start_term):
        saved.tail.clear()
    return saved


@dataclass(slots=True, eq=False)
class _Write:
    """Entries on their way to the disk."""

    first: int
    last: int


class Log:
    """Entries after `start`, and a snapshot up to `snap`, which is the same entry or a later one."""

    def __init__(
        self, world: Runtime, disk: Disk, saved: PersistentState, on_synced: Callable[[], None]
    ) -> None:
        self._world, self._disk, self._on_synced = world, disk, on_synced
        self.snap, self.snap_term, self.state = saved.start, saved.start_term, saved.state
        self.base_members = saved.members  # as the snapshot has them
        self.start, self.start_term, self.entries = saved.start, saved.start_term, list(saved.entries)
        if saved.tail:
            self.start, self.start_term = saved.start - len(saved.tail) + 1, saved.tail[0][0]
            self.entries = saved.tail[1:] + self.entries
        self.sizes = [len(text_of(command)) for _, command in self.entries]  # bytes of each
        self._text = 0, 0, ""  # the newest long entry, its term and its text: each peer is sent it
        self.synced = self.last  # entries up to here are on disk, by themselves or in a snapshot
        self._snap_synced = self.snap
        self._snap_size = len(text_of(self.state))
        self._since = 0  # bytes applied since the snapshot
        self._writing: list[_Write] = []
        self._refused = False  # whether the disk has refused what is not written again yet
        self._ended = False
        self._again_s = AGAIN_S[0]

    @property
    def last(self) -> int:
        return self.start + len(self.entries)

    def term_at(self, index: int) -> int:
        if index == self.start:
            return self.start_term
        return self.entries[index - self.start - 1][0] if self.start < index <= self.last else -1

    def members(self) -> tuple[Json, int]:
        """The newest membership in the log, and at which entry it came."""
        for offset in range(len(self.entries) - 1, -1, -1):
            command = self.entries[offset][1]
            if command is not None and "members" in command:
                return command["members"], self.start + offset + 1
        return self.base_members, self.start

    def members_until(self, index: int) -> Json:
        """The membership that holds at an entry of the log."""
        members = self.base_members
        for _, command in self.entries[: index - self.start]:
            if command is not None and "members" in command:
                members = command["members"]
        return members

    def batch(self, before: int) -> list[Entry]:
        """What one message takes of the entries behind one: so many, of so many bytes."""
        entries: list[Entry] = []
        room, at = PART, before - self.start
        for entry, size in islice(zip(self.entries, self.sizes, strict=True), at, at + BATCH):
            if size > room:
                break
            entries.append(entry)
            room -= size
        return entries

    def size(self, first: int, count: int = 1) -> int:
        """The bytes of so many entries, from one on."""
        return sum(self.sizes[first - self.start - 1 : first - self.start - 1 + count])

    def text(self, index: int) -> str:
        """An entry's command as text."""
        known, term, text = self._text
        if (known, term) == (index, self.term_at(index)):
            return text
        return text_of(self.entries[index - self.start - 1][1])

    def snapshot_text(self) -> str:
        """The snapshot with its membership as text, as it goes to others."""
        return f'{{"state":{text_of(self.state)},"members":{text_of(self.base_members)}}}'

    # -- changes

    def append(self, entries: list[Entry], cut: int = 0) -> None:
        """Put entries behind the last one, or in the place of those from `cut` on: none was committed."""
        if cut:
            del self.entries[cut - self.start - 1 :]
            del self.sizes[cut - self.start - 1 :]
            self.synced = min(self.synced, cut - 1)
            for write in self._writing:
                write.last = min(write.last, cut - 1)
        first = self.last + 1
        for term, command in entries:
            text = text_of(command)
            self.entries.append((term, command))
            self.sizes.append(len(text))
            if len(text) > PART:
                self._text = self.last, term, text
        rows: list[Row] = [("cut", (cut,))] if cut else []
        rows += [("entry", (first + at, term, command)) for at, (term, command) in enumerate(entries)]
        self._save(rows, _Write(first, self.last))

    def applied(self, index: int) -> bool:
        """Count an entry that was applied; whether it is time for a snapshot."""
        self._since += self.size(index)
        return index - self.snap >= COMPACT or self._since >= max(COMPACT_BYTES, self._snap_size)

    def compact(self, index: int, state: Json) -> None:
        """Put a snapshot in the place of the entries up to one, but for a tail."""
        members = self.members_until(index)
        self.snap, self.snap_term, self.state, self.base_members = index, self.term_at(index), state, members
        self._snap_size, self._since = len(text_of(state)), 0
        keep, room = 0, TAIL_BYTES
        while keep < min(TAIL, index - self.start - 1):
            room -= self.sizes[index - self.start - keep - 1]
            if room < 0:
                break
            keep += 1
        base = index - keep
        self.start_term = self.term_at(base)
        del self.entries[: base - self.start]
        del self.sizes[: base - self.start]
        self.start = base
        # What is not on disk yet counts as being there once the snapshot is: a disk may refuse it.
        self._text = 0, 0, ""
        self._save([self._snap_row()], _Write(index + 1, index), index)

    def install(self, index: int, term: int, snapshot: Json, committed: int, size: int) -> None:
        """Put a leader's snapshot in the place of all that it covers, its membership with it."""
        keep = self.term_at(index) == term
        self.entries = self.entries[index - self.start :] if keep else []
        self.sizes = self.sizes[index - self.start :] if keep else []
        if not keep:
            self.synced = min(self.synced, committed)
            for write in self._writing:
                write.last = min(write.last, committed)
        self.start = self.snap = index
        self.start_term = self.snap_term = term
        self.state, self.base_members = snapshot["state"], snapshot["members"]
        self._snap_size, self._since = size, 0
        rows: list[Row] = [] if keep else [("cut", (1,))]
        self._save([*rows, self._snap_row()], _Write(index + 1, index), index)

    # -- the disk

    def end(self) -> None:
        """Write nothing more: what follows is another member's log."""
        self._ended = True

    def _save(self, rows: list[Row], write: _Write, snap: int = 0) -> None:
        """Write entries, and a snapshot if its index is named; what has lasted is counted then."""

        def done(error: str | None) -> None:
            if self._ended:
                return
            if write in self._writing:
                self._writing.remove(write)
            if error is not None:
                if not self._refused:
                    self._refused = True
                    self._world.call_later(self._again_s, self._save_rest)
                    self._again_s = min(AGAIN_S[1], 2 * self._again_s)
                return
            self._again_s = AGAIN_S[0]
            self._snap_synced = max(self._snap_synced, snap)
            self.synced = max(self.synced, snap)
            if write.first <= self.synced + 1:
                self.synced = max(self.synced, write.last)
            self._on_synced()

        if not self._refused:  # else it is written with the rest
            self._writing.append(write)
            self._disk.write(rows, done)

    def _save_rest(self) -> None:
        """Write all that is not known to be on disk: a log with a gap would be worth nothing at a start."""
        if self._ended:
            return
        self._refused = False
        rows: list[Row] = [self._snap_row()] if self._snap_synced < self.snap else []
        first = max(self.synced, self.start) + 1
        rows.append(("cut", (first,)))
        rest = self.entries[first - self.start - 1 :]
        rows += [("entry", (first + at, term, command)) for at, (term, command) in enumerate(rest)]
        self._save(rows, _Write(first, self.last), self.snap)

    def _snap_row(self) -> Row:
        return "snap", (self.snap, self.snap_term, self.state, self.base_members, self.start)
