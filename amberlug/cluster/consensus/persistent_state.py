"""The persistent state of a member: its name, the persistent state of Raft, figure 2, and its snapshot."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.opaque import Command, MachineState
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


class Entry(NamedTuple):
    """An entry of the log, encoded as the pair `[term, command]`."""

    term: int
    command: Command | None  # None: the no-op entry of a new leader (Raft, section 8)

    @property
    def members(self) -> Members | None:
        """The members that a configuration entry puts in place; None for other entries."""
        return None if self.command is None else Members.from_command(self.command)


@value
class StoredEntry:
    """An entry as read from disk."""

    index: int
    term: int
    command: Command | None


def encode(body: Json | None) -> str:
    """Encode a command, a state or members as they are stored and sent."""
    return json.dumps(body, separators=(",", ":"))


@value
class Snapshot:
    """The state machine and the membership at an index, as transferred by InstallSnapshot."""

    state: MachineState | None
    members: Members

    def encoded(self) -> str:
        """Return the snapshot as it is sent to peers."""
        return f'{{"state":{encode(self.state)},"members":{encode(self.members.to_wire())}}}'

    @classmethod
    def decode(cls, data: bytes) -> Snapshot:
        """Decode a snapshot sent by a leader."""
        fields = json.loads(data)
        return cls(fields["state"], Members.from_wire(fields["members"]))


@dataclass(slots=True)
class PersistentState:
    """The state that a member has on disk: its name, the persistent state of figure 2, and its snapshot."""

    member_id: str
    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0  # of the last entry that the snapshot covers
    snapshot_term: int = 0
    snapshot_state: MachineState | None = None
    members: Members = field(default_factory=Members)  # at the snapshot
    entries: list[Entry] = field(default_factory=list)  # after the snapshot
    tail: list[Entry] = field(default_factory=list)  # the last entries that the snapshot covers, if retained
    acknowledged: dict[str, int] = field(default_factory=dict)  # by member; input of the rollback guard


def assemble(saved: PersistentState, rows: Iterable[StoredEntry]) -> PersistentState | None:
    """Assign the rows of a log, in index order, to the entries after a snapshot and the tail before it.

    Rows that the snapshot covers may have gaps: the snapshot may have come from a leader, or may have been
    written after the writes of earlier entries had failed.

    :returns: None if entries after the snapshot are missing.
    """
    previous = 0
    for row in rows:
        entry = Entry(row.term, row.command)
        if row.index <= saved.snapshot_index:
            if row.index != previous + 1:
                saved.tail.clear()
            saved.tail.append(entry)
            previous = row.index
        elif row.index == saved.snapshot_index + len(saved.entries) + 1:
            saved.entries.append(entry)
        else:
            return None
    if previous != saved.snapshot_index or (saved.tail and saved.tail[-1].term != saved.snapshot_term):
        saved.tail.clear()
    return saved
