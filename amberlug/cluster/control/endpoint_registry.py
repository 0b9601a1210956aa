"""The endpoints of a cell: what they announce, who is silent, who leaves. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trafaret as t
from result import Err, Ok, Result

from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.interfaces import Json, Runtime

MISSED = 3.2  # beats that an endpoint may miss until nothing is sent to it
MOST = 4096  # bytes of a call
_NAME = t.String(min_length=1, max_length=256)
ANNOUNCE = t.Dict(
    {
        t.Key("targetService"): _NAME,
        t.Key("address"): _NAME & t.Regexp(r"^[0-9.]+:\d{1,5}$"),
        t.Key("zone", default=""): t.String(allow_blank=True),
        t.Key("edition", default=""): t.String(allow_blank=True) | t.Int() | t.Float(),
        t.Key("capacity", default=1): t.Int(gte=0),
        t.Key("condition", default="ready"): t.Enum("ready", "draining"),
        t.Key("warmupLeftMs", default=0): t.Int(gte=0) | t.Float(gte=0),
        t.Key("sequence"): t.Int(gte=0),
    },
    ignore_extra="*",
)
READY, DRAINING, GONE = 0, 1, 2
CONDITIONS = ("ready", "draining", "gone")


def read_announce(body: Any) -> Result[Json, str]:
    """An endpoint's announcement, checked."""
    try:
        return Ok(ANNOUNCE.check(body))
    except t.DataError as error:
        said = error.as_dict()
        return Err(
            "; ".join(f"{key}: {it}" for key, it in said.items()) if isinstance(said, dict) else str(said)
        )


class EndpointRegistry:
    """What one control relay knows of endpoints; the news carries it to all."""

    def __init__(self, world: Runtime, gossip: GossipStore, beat_s: float) -> None:
        self.world, self.gossip, self.silent_s = world, gossip, MISSED * beat_s
        self.seen: dict[str, float] = {}  # when each was last heard, here or by another control relay
        self.beaten: set[str] = set()  # heard here since the last report to the others
        self.lost = 0

    def known(self, name: str) -> tuple[list[int], Json] | None:
        return self.gossip.items.get("ep/" + name)

    def announced(self, name: str, said: Json) -> bool:
        """A ready endpoint's beat; False where it is late or the endpoint has said that it leaves."""
        self.seen[name] = self.world.now()
        self.beaten.add(name)
        known = self.known(name)
        if known is not None:
            (rank, sequence, _), value = known
            if rank != READY or said["sequence"] < sequence:
                return False
            same = value["cond"] == "ready" and all(
                value[key] == said[name_]
                for key, name_ in (("service", "targetService"), ("addr", "address"), ("slots", "capacity"))
            )
            if same:
                return True
        self.gossip.offer("ep/" + name, [READY, said["sequence"], 0], self._value(said, "ready"))
        return True

    def leaves(self, name: str, rank: int, sequence: int, said: Json | None) -> None:
        """It leaves or has gone: told to all at once, and never taken back."""
        known = self.known(name)
        value = dict(known[1]) if known is not None else self._value(said or {}, "")
        value["cond"] = CONDITIONS[rank]
        self.seen.pop(name, None)
        self.gossip.offer("ep/" + name, [rank, sequence, 0], value)

    @staticmethod
    def _value(said: Json, condition: str) -> Json:
        return {
            "service": said.get("targetService", ""),
            "addr": said.get("address", ""),
            "zone": said.get("zone", ""),
            "slots": said.get("capacity", 0),
            "edition": said.get("edition", ""),
            "warm_ms": said.get("warmupLeftMs", 0),
            "cond": condition,
        }

    def heard_elsewhere(self, names: list[str]) -> None:
        now = self.world.now()
        for name in names:
            self.seen[name] = now

    def heard_all(self) -> None:
        """All that are known get their time anew: this machine has heard nobody for a while."""
        now = self.world.now()
        for name in self.seen:
            self.seen[name] = now

    def report(self) -> list[str]:
        beaten, self.beaten = sorted(self.beaten), set()
        return beaten

    def sweep(self, on_lost: Callable[[str], None]) -> None:
        """Tell of the endpoints that have been silent for too long."""
        now = self.world.now()
        for key, (version, value) in list(self.gossip.items.items()):
            if not key.startswith("ep/") or version[0] != READY or value["cond"] != "ready":
                continue
            name, sequence = key[3:], version[1]
            if now - self.seen.setdefault(name, now) > self.silent_s:
                self.lost += 1
                self.gossip.offer(key, [READY, sequence, 1], {**value, "cond": "lost"})
                on_lost(name)
