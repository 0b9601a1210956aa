"""Who is listed, where and in what phase: a table that costs little for each endpoint, awake or not.

A row is one string of bytes, which the collector need not look at: of tens of thousands most are never asked
for between two lists. Nothing here knows of calls, health or limits; what is known of those stands in
`amberlug/policy/state.py` while a destination is awake, and in `amberlug/policy/folding.py` while it sleeps.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import replace
from itertools import chain, islice

from amberlug.policy.interface import Entry, State

_ROW = struct.Struct("<qd?q")  # destination, rate, whether it drains, when it last started
_SEPARATOR = "\0"
LOOKS = 4  # of what was listed, so many are looked at for each entry told
BATCH = 100  # entries that a host reads, or applies in one round, at a time: a millisecond or two


def pack(entry: Entry) -> bytes:
    """A row for what the list says of an endpoint, but its name."""
    text = _SEPARATOR.join((entry.zone, entry.kind, entry.where))
    drains = entry.state is State.DRAINING
    return _ROW.pack(entry.destination, entry.rate, drains, entry.up_since_ms) + text.encode()


def unpack(name: str, row: bytes) -> Entry:
    """What the list says of the endpoint of that name, from its row."""
    destination, rate, drains, up_since_ms = _ROW.unpack_from(row)
    zone, kind, where = row[_ROW.size :].decode().split(_SEPARATOR, 2)
    state = State.DRAINING if drains else State.IN
    return Entry(name, zone, kind, destination, state, rate, where, up_since_ms)


class Members:
    """All endpoints that a list names, but those that are gone."""

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
        """What the newest list says of an endpoint."""
        row = self._rows.get(name)
        return unpack(name, row) if row is not None else None

    def serves(self, destination: int) -> bool:
        """Whether an endpoint is listed there; one that drains counts until it is gone."""
        return destination in self._of

    def at(self, destination: int) -> list[Entry]:
        """Endpoints listed there, in the order listed."""
        return [unpack(name, self._rows[name]) for name in self._of.get(destination, ())]

    def row(self, name: str) -> bytes | None:
        """What the table holds of an endpoint, to be compared with."""
        return self._rows.get(name)

    def put(self, entry: Entry) -> None:
        """List an endpoint, or what has changed of it; one that is back in service is the last of its own."""
        was = self.get(entry.endpoint)
        if was is not None and (was.state is not entry.state or was.destination != entry.destination):
            self.remove(entry.endpoint)
        name = entry.endpoint
        if name not in self._rows:
            # A copy: what is kept must not hold pages of all that was made to read a long list.
            name = name.encode().decode()
            self._of[entry.destination] = (*self._of.get(entry.destination, ()), name)
        self._rows[name] = pack(entry)

    def remove(self, name: str) -> Entry | None:
        """Forget an endpoint; what the table said of it."""
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
    """What a whole list or some news of it changes in the table; nothing is changed until all is read.

    It holds rows, not entries: of tens of thousands the collector would look at each, and hold all up.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._listed = iter(members)
        self._unseen: dict[str, None] = {}  # of those that were looked at: not told
        self._early: set[str] = set()  # told before they were looked at
        self._gone: dict[str, None] = {}
        self._drained: dict[str, bytes] = {}
        self._altered: dict[str, bytes] = {}
        self._added: dict[str, bytes] = {}

    def add(self, entry: Entry) -> None:
        """Take one entry in; of several for one endpoint the last counts."""
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
        self._look(LOOKS)  # so that neither a few changes nor a long list's end wait for a look at all

    def _look(self, count: int) -> bool:
        """Look at some more of what was listed: whether there were any."""
        more = False
        for name in islice(self._listed, count):
            more = True
            if name in self._early:
                self._early.discard(name)
            else:
                self._unseen[name] = None
        return more

    def batches(self, whole: bool) -> Iterator[tuple[Entry, ...]]:
        """All that changes, in parts for one round each; what wants nothing new comes first."""
        # What is gone drains at first, and goes last: a destination whose endpoint is replaced must not seem
        # to have nobody between two parts, which would end all that it holds.
        while whole and self._look(LOOKS * BATCH):
            yield ()
        gone = self._gone, self._unseen if whole else ()  # as they are: copies would hold the loop up
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
    for names in _parts(list(part)):  # used up as it goes: the table's rows take their place
        yield tuple(unpack(name, part.pop(name)) for name in names)
