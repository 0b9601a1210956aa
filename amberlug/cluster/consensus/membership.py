"""The members of the group, and which of them vote: a configuration (Raft, section 6)."""

from __future__ import annotations

from collections.abc import Set

from amberlug.cluster.consensus.opaque import MemberRecords
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


@value
class Member:
    """A typed view of a member's record.

    The record itself is kept as it was written: its fields go to disk and to peers in their order.
    """

    record: Json

    @property
    def address(self) -> str:
        """Where its peers reach it."""
        return str(self.record["addr"])

    @property
    def is_voter(self) -> bool:
        """Whether it counts for majorities; a learner only receives the log (dissertation, section 4.2.1)."""
        return bool(self.record["voter"])


@value
class Membership:
    """All members by name, and the index of the entry that put them in place.

    A name is `ip/incarnation`: a machine that comes back empty is another member, so that the vote which its
    old incarnation cast is not cast again.
    """

    records: MemberRecords
    index: int

    def __contains__(self, name: str) -> bool:
        return name in self.records

    def __getitem__(self, name: str) -> Member:
        return Member(self.records[name])

    @property
    def names(self) -> list[str]:
        """All members, in the order of their records."""
        return list(self.records)

    @property
    def voters(self) -> list[str]:
        """The members that vote, in the order of their records."""
        return [name for name in self.records if self[name].is_voter]

    def is_voter(self, name: str) -> bool:
        """Whether there is a voter of that name."""
        return name in self and self[name].is_voter

    def has_majority(self, names: Set[str]) -> bool:
        """Whether these are a majority of the voters: any two majorities have a voter in common."""
        voters = self.voters
        return 2 * sum(1 for name in voters if name in names) > len(voters)
