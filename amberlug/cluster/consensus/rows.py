"""The rows that a member writes to stable storage: one value class per kind of row.

Rows are passed to a disk as a kind and raw values (`raw_rows`); `row_from` decodes them for `storage` and for
the simulated disks. The kinds themselves are not stored: they select SQL statements.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import fields
from typing import Any, ClassVar

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.opaque import Command, MachineState
from amberlug.cluster.values import value

RawRow = tuple[str, tuple[Any, ...]]
"""A row's kind and its JSON values."""


@value
class TermRow:
    """The current term and the vote in it: part of the persistent state (Raft, figure 2)."""

    kind: ClassVar[str] = "term"
    term: int
    voted_for: str


@value
class EntryRow:
    """One entry of the log."""

    kind: ClassVar[str] = "entry"
    index: int
    term: int
    command: Command | None


@value
class TruncateRow:
    """Deletes the entries from an index on, which conflict with the leader's log (Raft, section 5.3)."""

    kind: ClassVar[str] = "cut"
    first_index: int


@value
class SnapshotRow:
    """A snapshot that replaces a prefix of the log (Raft, section 7)."""

    kind: ClassVar[str] = "snap"
    index: int
    term: int
    state: MachineState | None
    members: Members
    first_kept_index: int  # rows of entries before this one are deleted

    def raw_values(self) -> tuple[Any, ...]:
        """Return the raw values for a disk."""
        return self.index, self.term, self.state, self.members.to_wire(), self.first_kept_index

    @classmethod
    def from_raw(cls, values: Sequence[Any]) -> SnapshotRow:
        """Decode the raw values passed to a disk."""
        index, term, state, members, first_kept_index = values
        return cls(index, term, state, Members.from_wire(members), first_kept_index)


@value
class AcknowledgedRow:
    """The highest log index that each member is known to have acknowledged."""

    kind: ClassVar[str] = "floors"
    indexes: dict[str, int]


@value
class NewIncarnationRow:
    """The member restarts with an empty log under a new member ID."""

    kind: ClassVar[str] = "anew"
    member_id: str


Row = TermRow | EntryRow | TruncateRow | SnapshotRow | AcknowledgedRow | NewIncarnationRow
_ROW_TYPES: dict[str, type[Row]] = {
    row_type.kind: row_type
    for row_type in (TermRow, EntryRow, TruncateRow, SnapshotRow, AcknowledgedRow, NewIncarnationRow)
}


def row_from(kind: str, values: Sequence[Any]) -> Row:
    """Decode a row passed to a disk.

    :raises KeyError: if the kind is unknown.
    """
    return SnapshotRow.from_raw(values) if kind == SnapshotRow.kind else _ROW_TYPES[kind](*values)


def raw_rows(rows: Sequence[Row]) -> list[RawRow]:
    """Encode rows for a disk."""
    return [(row.kind, _raw_values(row)) for row in rows]


def _raw_values(row: Row) -> tuple[Any, ...]:
    if isinstance(row, SnapshotRow):
        return row.raw_values()
    return tuple(getattr(row, field.name) for field in fields(row))
