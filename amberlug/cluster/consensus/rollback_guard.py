"""What each member is known to have had on disk: it tells a folder that was put back from one that was away.

A leader knows up to which committed entry each member has acknowledged the log: its floor. What is committed
is never taken back, so a member whose log ends below its floor has lost what it had. All keep the floors, and
tell them: a leader with each message, any member when one asks that has just started. No one votes before as
many others have answered as make a majority with it, or a leader was heard.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from result import Ok, Result

from amberlug.cluster.interfaces import Json, Reply, RequestFailure

if TYPE_CHECKING:
    from amberlug.cluster.consensus.raft import RaftNode

ASK_S = 0.1  # between tries to hear of the own floor
WITHIN_S = 0.4  # for an answer
SPREAD_S = 0.5  # between two tellings of floors that have risen
AGAIN_S = 5.0  # between tellings of floors that have not; and between writes of those that have


class RollbackGuard:
    """The floors that one member knows, by member."""

    def __init__(self, raft: RaftNode, known: Json) -> None:
        self._vise = raft
        self.known: dict[str, int] = dict(known)
        self.cleared = True  # whether this member may vote; begin() asks
        self._heard: set[str] = set()  # who has told this member's floor
        self._told: dict[str, tuple[int, float]] = {}  # by member: the sum of the floors told last, and when
        self._kept = sum(self.known.values()), -1e9

    def _rise(self, floors: Json) -> None:
        for name, index in floors.items():
            if index > self.known.get(name, 0):
                self.known[name] = index
        for name in self.known.keys() - self._vise.members.keys():
            del self.known[name]  # it is no member any more, and comes back as another one
        total, now = sum(self.known.values()), self._vise.world.now()
        if total != self._kept[0] and now - self._kept[1] >= AGAIN_S:
            self._kept = total, now
            self._vise.disk.write([("floors", (dict(self.known),))], lambda error: None)

    # -- as a leader

    def note(self, matched: dict[str, int], committed: int) -> None:
        """Take what members have acknowledged."""
        self._rise({name: min(index, committed) for name, index in matched.items()})

    def said_to(self, name: str) -> Json:
        """What goes along with a message to a member."""
        now, total = self._vise.world.now(), sum(self.known.values())
        said: Json = {"floor": self.known.get(name, 0)}
        told, at = self._told.get(name, (-1, -1e9))
        if now - at >= (AGAIN_S if told == total else SPREAD_S):
            self._told[name] = total, now
            said["floors"] = self.known
        return said

    # -- as one that is told

    def short(self, said: Json) -> bool:
        """Take what another member says; whether it shows that this one has lost what it had."""
        self._rise(said.get("floors", {}))
        return bool(max(said.get("floor", 0), self.known.get(self._vise.me, 0)) > self._vise.last)

    def ask(self) -> None:
        """Begin: ask the other voters what they know of this member."""
        raft = self._vise
        if self.cleared or raft.floors is not self or not raft.voting:
            return  # whoever is made a voter hears of it from a leader
        if len(self._heard) >= len(raft.voters) // 2:
            self.cleared = True
            raft.stand_soon()
            return
        for name in raft.voters:
            if name != raft.me and name not in self._heard:
                to, body = raft.members[name]["addr"], {"of": raft.me, "to": name}
                raft.world.request(to, "vise.floor", body, WITHIN_S, partial(self._hear, name))
        raft.world.call_later(ASK_S, self.ask)

    def _hear(self, name: str, reply: Result[Reply, RequestFailure]) -> None:
        if not isinstance(reply, Ok) or "floor" not in reply.ok_value.body or self._vise.floors is not self:
            return
        self._heard.add(name)
        if self.short(reply.ok_value.body):
            self._vise.start_anew()
        elif not self.cleared and len(self._heard) >= len(self._vise.voters) // 2:
            self.ask()
