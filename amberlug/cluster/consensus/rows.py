"""What a member writes to stable storage: one value a kind of row.

A disk is given a row as its kind and values (`raw_rows`); `row_from` reads it back, for `storage` and for
the disks of the simulation. The kinds are not stored: they name SQL statements.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import fields
from typing import Any, ClassVar

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.opaque import Command, MachineState
from amberlug.cluster.values import value

RawRow = tuple[str, tuple[Any, ...]]
"""A row's kind, and its values as JSON has them."""


@value
class TermRow:
    """The current term and the vote in it: persistent state of each server (Raft, figure 2)."""

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
    """Entries from an index on are deleted: a leader has others there (Raft, section 5.3)."""

    kind: ClassVar[str] = "cut"
    first_index: int


@value
class SnapshotRow:
    """A snapshot takes the place of a prefix of the log (Raft, section 7)."""

    kind: ClassVar[str] = "snap"
    index: int
    term: int
    state: MachineState | None
    members: Members
    first_kept_index: int  # rows of entries before this one are deleted

    def raw_values(self) -> tuple[Any, ...]:
        """The values as a disk is given them."""
        return self.index, self.term, self.state, self.members.to_wire(), self.first_kept_index

    @classmethod
    def from_raw(cls, values: Sequence[Any]) -> SnapshotRow:
        """Read the values that a disk was given."""
        index, term, state, members, first_kept_index = values
        return cls(index, term, state, Members.from_wire(members), first_kept_index)


@value
class AcknowledgedRow:
    """Up to which index each member is known to have acknowledged the log."""

    kind: ClassVar[str] = "floors"
    indexes: dict[str, int]


@value
class NewIncarnationRow:
    """The member continues with an empty log under another name."""

    kind: ClassVar[str] = "anew"
    member_id: str


Row = TermRow | EntryRow | TruncateRow | SnapshotRow | AcknowledgedRow | NewIncarnationRow
_ROW_TYPES: dict[str, type[Row]] = {
    row_type.kind: row_type
    for row_type in (TermRow, EntryRow, TruncateRow, SnapshotRow, AcknowledgedRow, NewIncarnationRow)
}


def row_from(kind: str, values: Sequence[Any]) -> Row:
    """The row that a disk was given.

    :raises KeyError: where no row is of that kind.
    """
    return SnapshotRow.from_raw(values) if kind == SnapshotRow.kind else _ROW_TYPES[kind](*values)


def raw_rows(rows: Sequence[Row]) -> list[RawRow]:
    """Rows as a disk is given them."""
    return [(row.kind, _raw_values(row)) for row in rows]


def _raw_values(row: Row) -> tuple[Any, ...]:
    if isinstance(row, SnapshotRow):
        return row.raw_values()
    return tuple(getattr(row, field.name) for field in fields(row))
