"""A message, as its owner holds it."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from amberlug.cluster.interfaces import Json


@dataclass(slots=True, eq=False)
class Message:
    """One message that was taken, or is about to be; its times are seconds of the time of day."""

    id: str
    shard: int
    attempt: str
    host: str
    method: str
    target: str
    route: str
    key: str
    taken: float  # time of day
    due_at: float  # time of day: no run before it
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b""
    size: int = 0
    order: tuple[int, int] = (0, 0)  # epoch and number in it: the order within a key
    holders: set[str] = field(default_factory=set)  # disks that have said that they hold it
    asked: set[str] = field(default_factory=set)  # disks that may hold it
    keep_until: float = 0.0  # time of day: its end is told until then at least
    failures: int = 0  # answers of 500
    tries: int = 0
    out: bool = False  # a call of it is under way, here or at the owner before
    ended: bool = False
    service: str = ""
    rank: int = 0  # the route's precedence
    end: str = ""  # how it ended, and the seal of its success
    seal: str = ""
    seen: int = 0  # the newest configuration at the edge that took it, as an index of the log
    last: str = ""  # the endpoint that it was last sent to

    def meta(self) -> Json:
        """What is kept of it beside its body."""
        return {
            "a": self.attempt,
            "h": self.host,
            "m": self.method,
            "t": self.target,
            "r": self.route,
            "k": self.key,
            "w": round(self.taken, 4),
            "d": round(self.due_at, 4),
            "x": self.headers,
            "c": self.seen,
        }


def read(name: str, shard: int, epoch: int, seq: int, meta: Json, body: bytes | None, size: int) -> Message:
    """A message from what is kept of it."""
    return Message(
        name,
        shard,
        meta["a"],
        meta["h"],
        meta["m"],
        meta["t"],
        meta["r"],
        meta["k"],
        meta["w"],
        meta["d"],
        tuple((key, value) for key, value in meta["x"]),
        body,
        size,
        (epoch, seq),
        seen=meta["c"],
    )


def shard_of(key: str, count: int) -> int:
    """The shard of a sequence key."""
    return zlib.crc32(key.encode()) % count


def name_of(shard: int, attempt: str) -> str:
    """A message's name: it carries its shard, so that any edge finds its owner."""
    return f"{shard:x}-{attempt}"


def shard_in(name: str) -> int:
    """The shard that a name carries; -1 where it is none of ours."""
    text, dash, _ = name.partition("-")
    try:
        return int(text, 16) if dash and len(text) <= 4 else -1
    except ValueError:
        return -1
