"""The members of the group, and which of them vote: a configuration (Raft, section 6).

The JSON field names are historical. They are a protocol between versions, on disk too, so they stay as they
are, and stand in this module only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Set
from functools import cached_property

from amberlug.cluster.consensus.opaque import Command
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

INCARNATION_BITS = 48  # random: two incarnations of a machine never have the same name


def new_member_id(host: str, random_bits: Callable[[int], int]) -> str:
    """The name of another incarnation of a machine: `host/incarnation`.

    :param random_bits: returns a random integer of so many bits.
    """
    return f"{host}/{random_bits(INCARNATION_BITS):x}"


@value
class Member:
    """One member of the group, as the membership in the log describes it.

    The JSON object is kept as it was read: its fields go on to disk and to peers in their order, also those
    that only a newer version knows.
    """

    _record: Json

    @classmethod
    def founder(cls, address: str, control_address: str) -> Member:
        """A voter that founds the group; its name and placement are not known before it announces itself.

        :param address: where its peers reach it, `host:port`.
        :param control_address: where it serves the control API, `host:port`.
        """
        unknown = {"name": "", "zone": "", "region": ""}
        return cls({"voter": True, **unknown, "addr": address, "control": control_address})

    @classmethod
    def from_wire(cls, body: Json) -> Member:
        """Read a member from its JSON object, on disk or in a message."""
        return cls(body)

    def to_wire(self) -> Json:
        """The JSON object, as it was read."""
        return self._record

    @property
    def address(self) -> str:
        """Where its peers reach it, `host:port`."""
        return str(self._record["addr"])

    @property
    def control_address(self) -> str:
        """Where it serves the control API, `host:port`; empty where it serves none."""
        return str(self._record["control"])

    @property
    def zone(self) -> str:
        """Its failure domain; empty where it is not known."""
        return str(self._record.get("zone", ""))

    @property
    def region(self) -> str:
        """The failure domain of its zone; empty where it is not known."""
        return str(self._record.get("region", ""))

    @property
    def is_voter(self) -> bool:
        """Whether it counts for majorities; a learner only receives the log (dissertation, section 4.2.1)."""
        return bool(self._record["voter"])

    @property
    def is_superseded(self) -> bool:
        """Whether another incarnation has joined at its address."""
        return bool(self._record.get("gone", False))

    def with_vote(self, is_voter: bool) -> Member:
        """The same member as a voter, or as a learner."""
        return Member({**self._record, "voter": is_voter})

    def superseded(self) -> Member:
        """The same member after another incarnation has joined at its address."""
        return Member({**self._record, "gone": True})


class Members(Mapping[str, Member]):
    """All members by name, in the order in which they are sent and stored. It does not change.

    A name is `host/incarnation`: a machine that comes back empty is another member, so that the vote which
    its old incarnation cast is not cast again.
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
        """Read the members from the command of a configuration entry; None where it is another command."""
        records = command.get("members")
        return None if records is None else cls.from_wire(records)

    def to_command(self) -> Command:
        """The command of the configuration entry that puts these members in place."""
        return {"members": self.to_wire()}

    def with_member(self, name: str, member: Member) -> Members:
        """These members and another one, or with one of them replaced, whose position stays."""
        return Members({**self._by_name, name: member})

    def without(self, name: str) -> Members:
        """These members but one."""
        return Members({other: member for other, member in self.items() if other != name})

    @cached_property
    def voters(self) -> tuple[str, ...]:
        """The names of the members that vote, in the order of all; looked at with each reply of a peer."""
        return tuple([name for name, member in self._by_name.items() if member.is_voter])

    def is_voter(self, name: str) -> bool:
        """Whether there is a voter of that name."""
        return name in self.voters

    def has_majority(self, names: Set[str]) -> bool:
        """Whether these members have a majority of the voters among them.

        Any two majorities have a voter in common, which is what Election Safety and Leader Completeness rest
        on (Raft, sections 5.2, 5.4.3).
        """
        return 2 * sum(1 for name in self.voters if name in names) > len(self.voters)


@value
class Membership:
    """The members of a configuration, and the index of the entry that put them in place."""

    members: Members
    index: int
