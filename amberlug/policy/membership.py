"""Compact table of all listed endpoints, with their destination and listing state.

A row is one bytes object, which the garbage collector does not track: of tens of thousands of rows most are
never read between two list updates. Calls, health and limits are not stored here, but in
`amberlug/policy/state.py` for destinations in use and in `amberlug/policy/eviction.py` for evicted ones.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import replace
from itertools import chain, islice

from amberlug.policy.interface import Entry, State

_ROW = struct.Struct("<qd?q")  # destination, rate, draining flag, last start
_SEPARATOR = "\0"
SCANNED_PER_ENTRY = 4  # rows of the previous list that are compared per new entry
BATCH = 100  # entries that a host reads, or applies in one step, at a time: one to two milliseconds


def pack(entry: Entry) -> bytes:
    """Encode a list entry as a row, without the endpoint's name."""
    text = _SEPARATOR.join((entry.zone, entry.kind, entry.where))
    drains = entry.state is State.DRAINING
    return _ROW.pack(entry.destination, entry.rate, drains, entry.up_since_ms) + text.encode()


def unpack(name: str, row: bytes) -> Entry:
    """Decode the list entry of an endpoint from its row."""
    destination, rate, drains, up_since_ms = _ROW.unpack_from(row)
    zone, kind, where = row[_ROW.size :].decode().split(_SEPARATOR, 2)
    state = State.DRAINING if drains else State.IN
    return Entry(name, zone, kind, destination, state, rate, where, up_since_ms)


class Members:
    """All listed endpoints that are not gone."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._of: dict[int, tuple[str, ...]] = {}  # names at each destination, in the order listed

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, name: str) -> bool:
        return name in self._rows

    def __iter__(self) -> Iterator[str]:
        return iter(self._rows)

    def get(self, name: str) -> Entry | None:
        """Return the current list entry of an endpoint."""
        row = self._rows.get(name)
        return unpack(name, row) if row is not None else None

    def serves(self, destination: int) -> bool:
        """Whether an endpoint is listed for a destination; a draining one counts until it is gone."""
        return destination in self._of

    def at(self, destination: int) -> list[Entry]:
        """Return the entries of a destination in the order listed."""
        return [unpack(name, self._rows[name]) for name in self._of.get(destination, ())]

    def row(self, name: str) -> bytes | None:
        """Return the encoded row of an endpoint, for comparison."""
        return self._rows.get(name)

    def put(self, entry: Entry) -> None:
        """Add or update an endpoint; one that returns to service becomes the last of its destination."""
        was = self.get(entry.endpoint)
        if was is not None and (was.state is not entry.state or was.destination != entry.destination):
            self.remove(entry.endpoint)
        name = entry.endpoint
        if name not in self._rows:
            # Copies the name, so that it does not keep memory pages alive that were allocated to parse a
            # long list.
            name = name.encode().decode()
            self._of[entry.destination] = (*self._of.get(entry.destination, ()), name)
        self._rows[name] = pack(entry)

    def remove(self, name: str) -> Entry | None:
        """Remove an endpoint and return its entry."""
        if (row := self._rows.pop(name, None)) is None:
            return None
        entry = unpack(name, row)
        left = tuple(other for other in self._of[entry.destination] if other != name)
        if left:
            self._of[entry.destination] = left
        else:
            del self._of[entry.destination]
        return entry


class Comparison:
    """Difference between the table and a whole list or a patch; the table is not changed while it is built.

    It holds rows, not entries: garbage collection of tens of thousands of entries would block the event loop.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._listed = iter(members)
        self._unseen: dict[str, None] = {}  # scanned old names that are not in the new list so far
        self._early: set[str] = set()  # names in the new list that are not scanned yet
        self._gone: dict[str, None] = {}
        self._drained: dict[str, bytes] = {}
        self._altered: dict[str, bytes] = {}
        self._added: dict[str, bytes] = {}

    def add(self, entry: Entry) -> None:
        """Add one entry; of several for one endpoint the last one counts."""
        name = entry.endpoint
        for part in (self._gone, self._drained, self._altered, self._added):
            part.pop(name, None)
        self._see(name)
        if entry.state is State.GONE:
            self._gone[name] = None
        elif (was := self._members.row(name)) != (row := pack(entry)):
            drains, known = entry.state is State.DRAINING, was is not None
            (self._drained if drains else self._altered if known else self._added)[name] = row

    def _see(self, name: str) -> None:
        if name in self._unseen:
            del self._unseen[name]
        elif name in self._members:
            self._early.add(name)
        self._look(
            SCANNED_PER_ENTRY
        )  # amortized: no full scan for a short patch or at the end of a long list

    def _look(self, count: int) -> bool:
        """Scan up to `count` more names of the previous list; returns whether there were any."""
        more = False
        for name in islice(self._listed, count):
            more = True
            if name in self._early:
                self._early.discard(name)
            else:
                self._unseen[name] = None
        return more

    def batches(self, whole: bool) -> Iterator[tuple[Entry, ...]]:
        """Yield all changes in batches for one step each; endpoints that accept no new calls come first."""
        # Removed endpoints are first marked as draining and removed last: a destination whose endpoint is
        # replaced must not be without endpoints between two batches, which would end all its messages.
        while whole and self._look(SCANNED_PER_ENTRY * BATCH):
            yield ()
        gone = self._gone, self._unseen if whole else ()  # not copied, since that would block the event loop
        yield from _cut(self._drained)
        for part in _parts(chain(*gone)):
            rows = ((name, self._members.row(name)) for name in part)
            yield tuple(replace(unpack(name, row), state=State.DRAINING) for name, row in rows if row)
        yield from _cut(self._altered)
        yield from _cut(self._added)
        for part in _parts(chain(*gone)):
            yield tuple(Entry(name, "", "", 0, State.GONE, 0.0) for name in part)


def _parts(names: Iterable[str]) -> Iterator[list[str]]:
    left = iter(names)
    while part := list(islice(left, BATCH)):
        yield part


def _cut(part: dict[str, bytes]) -> Iterator[tuple[Entry, ...]]:
    for names in _parts(list(part)):  # emptied on the way: the rows move to the table
        yield tuple(unpack(name, part.pop(name)) for name in names)
