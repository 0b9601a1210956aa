"""The members of the group and which of them vote: a configuration (Raft, section 6).

The JSON field names are historical. They are part of the protocol between versions and of the file format, so
they must not change, and appear in this module only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Set
from functools import cached_property

from amberlug.cluster.consensus.opaque import Command
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

INCARNATION_BITS = 48  # random, so that no two incarnations of a machine have the same name


def new_member_id(host: str, random_bits: Callable[[int], int]) -> str:
    """Generate the name of a new incarnation of a machine: `host/incarnation`.

    :param random_bits: returns a random integer with the given number of bits.
    """
    return f"{host}/{random_bits(INCARNATION_BITS):x}"


@value
class Member:
    """A member of the group, as described by the membership in the log.

    The JSON object is kept as it was read, so that all fields are stored and sent in their original order,
    including those that only a newer version knows.
    """

    _record: Json

    @classmethod
    def founder(cls, address: str, control_address: str) -> Member:
        """Create a founding voter; its name and placement are unknown until it announces itself.

        :param address: its address for peers, `host:port`.
        :param control_address: the address of its control API, `host:port`.
        """
        unknown = {"name": "", "zone": "", "region": ""}
        return cls({"voter": True, **unknown, "addr": address, "control": control_address})

    @classmethod
    def from_wire(cls, body: Json) -> Member:
        """Read a member from its JSON object, from disk or from a message."""
        return cls(body)

    def to_wire(self) -> Json:
        """The JSON object, as read."""
        return self._record

    @property
    def address(self) -> str:
        """Its address for peers, `host:port`."""
        return str(self._record["addr"])

    @property
    def control_address(self) -> str:
        """The address of its control API, `host:port`; empty if it serves none."""
        return str(self._record["control"])

    @property
    def zone(self) -> str:
        """Its failure domain; empty if unknown."""
        return str(self._record.get("zone", ""))

    @property
    def region(self) -> str:
        """The failure domain that contains its zone; empty if unknown."""
        return str(self._record.get("region", ""))

    @property
    def is_voter(self) -> bool:
        """Whether it counts towards majorities; learners only receive the log (dissertation, 4.2.1)."""
        return bool(self._record["voter"])

    @property
    def is_superseded(self) -> bool:
        """Whether another incarnation has joined at its address."""
        return bool(self._record.get("gone", False))

    def with_vote(self, is_voter: bool) -> Member:
        """Return this member as a voter or as a learner."""
        return Member({**self._record, "voter": is_voter})

    def superseded(self) -> Member:
        """Return this member marked as superseded by another incarnation at its address."""
        return Member({**self._record, "gone": True})


class Members(Mapping[str, Member]):
    """An immutable mapping of all members by name, in the order in which they are sent and stored.

    A name is `host/incarnation`: a machine that returns with an empty disk is a new member, so that it cannot
    repeat a vote that its old incarnation cast.
    """

    def __init__(self, by_name: Mapping[str, Member] | None = None) -> None:
        self._by_name = dict(by_name or {})

    def __getitem__(self, name: str) -> Member:
        return self._by_name[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._by_name)

    def __len__(self) -> int:
        return len(self._by_name)

    def __repr__(self) -> str:
        return f"Members({self._by_name!r})"

    @classmethod
    def from_wire(cls, body: Json) -> Members:
        """Read members from their JSON objects, by name."""
        return cls({name: Member.from_wire(record) for name, record in body.items()})

    def to_wire(self) -> Json:
        """The JSON objects of the members, by name."""
        return {name: member.to_wire() for name, member in self.items()}

    @classmethod
    def from_command(cls, command: Command) -> Members | None:
        """Read the members from the command of a configuration entry; None for other commands."""
        records = command.get("members")
        return None if records is None else cls.from_wire(records)

    def to_command(self) -> Command:
        """Return the command of the configuration entry that puts these members in place."""
        return {"members": self.to_wire()}

    def with_member(self, name: str, member: Member) -> Members:
        """Return a copy with a member added or replaced; a replaced member keeps its position."""
        return Members({**self._by_name, name: member})

    def without(self, name: str) -> Members:
        """Return a copy without one member."""
        return Members({other: member for other, member in self.items() if other != name})

    @cached_property
    def voters(self) -> tuple[str, ...]:
        """The names of the voters, in membership order; cached, since it is read at each peer reply."""
        return tuple([name for name, member in self._by_name.items() if member.is_voter])

    def is_voter(self, name: str) -> bool:
        """Whether there is a voter with this name."""
        return name in self.voters

    def has_majority(self, names: Set[str]) -> bool:
        """Whether these members contain a majority of the voters.

        Any two majorities share a voter, on which Election Safety and Leader Completeness depend (Raft,
        sections 5.2, 5.4.3).
        """
        return 2 * sum(1 for name in self.voters if name in names) > len(self.voters)


@value
class Membership:
    """The members of a configuration and the index of the entry that put them in place."""

    members: Members
    index: int
