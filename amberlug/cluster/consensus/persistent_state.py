"""What a member keeps on disk: its name, the persistent state of figure 2 of Raft, and its snapshot."""

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
    """An entry of the log; it is encoded as the pair `[term, command]`."""

    term: int
    command: Command | None  # None: the first entry of a new leader (Raft, section 8)

    @property
    def members(self) -> Members | None:
        """The members that the entry puts in place; None where it is no configuration entry."""
        return None if self.command is None else Members.from_command(self.command)


@value
class StoredEntry:
    """An entry as it is read from disk."""

    index: int
    term: int
    command: Command | None


def encode(body: Json | None) -> str:
    """A command, a state or members as text, as they go to disk and to others."""
    return json.dumps(body, separators=(",", ":"))


@value
class Snapshot:
    """The state machine and the membership as of an index: what InstallSnapshot transfers."""

    state: MachineState | None
    members: Members

    def encoded(self) -> str:
        """The snapshot as text, as it goes to others."""
        return f'{{"state":{encode(self.state)},"members":{encode(self.members.to_wire())}}}'

    @classmethod
    def decode(cls, data: bytes) -> Snapshot:
        """Read what a leader has sent."""
        fields = json.loads(data)
        return cls(fields["state"], Members.from_wire(fields["members"]))


@dataclass(slots=True)
class PersistentState:
    """What a member has on disk: its name, the persistent state of figure 2, and its snapshot."""

    member_id: str
    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0  # the last entry that the snapshot covers
    snapshot_term: int = 0
    snapshot_state: MachineState | None = None
    members: Members = field(default_factory=Members)  # as of the snapshot
    entries: list[Entry] = field(default_factory=list)  # behind what the snapshot covers
    tail: list[Entry] = field(default_factory=list)  # the last ones that it covers, as far as they are kept
    acknowledged: dict[str, int] = field(default_factory=dict)  # by member: the input of the rollback guard


def assemble(saved: PersistentState, rows: Iterable[StoredEntry]) -> PersistentState | None:
    """Put the rows of a log, in their order, behind and before a snapshot.

    What the snapshot covers may have gaps: it came from a leader, or was written when entries before it were
    refused.

    :returns: None where entries behind the snapshot are missing.
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
