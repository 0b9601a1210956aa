"""Items of news by key, the newest version of each: told to others, compared by digests. No I/O.

A control relay sends items to all that have a session with it. Edges only say to a few others what they
have heard of, and who lacks it asks: nearly all have it already, and bytes between zones are dear.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from result import Ok, Result

from workshop.ports import Json, Lost, Reply, Respond, World, on

DIGEST_S = 1.0  # between comparisons with one other
PASS_ON = 2  # others that an edge tells of what it has heard
RUMOUR_S = 0.05  # until it does: by then they have it from their control relays
ASK_S = 1.0
PAGE = 400  # items in one message

Version = list[int]
Item = tuple[Version, Any]


def _mark(key: str, version: Version) -> int:
    return int.from_bytes(hashlib.blake2b(f"{key} {version}".encode(), digest_size=8).digest(), "big")


class News:
    """What this process has heard."""

    def __init__(
        self,
        world: World,
        others: Callable[[], list[str]],
        heard: Callable[[str, Any], None],
        pass_on: int = PASS_ON,
        to_all: bool = False,
    ) -> None:
        self.world, self._others, self._heard = world, others, heard
        self._pass_on, self._to_all = pass_on, to_all
        self.items: dict[str, Item] = {}
        self.sum = 0
        self.mended = 0  # items that came by a comparison
        self._turn = 0
        self._fresh: dict[str, Item] = {}

    def begin(self) -> None:
        self.world.later(self.world.chance.uniform(0.2, 1.0) * DIGEST_S, self._compare)

    def offer(self, key: str, version: Version, value: Any) -> bool:
        """Take an item if it is newer than what is known, and pass it on."""
        known = self.items.get(key)
        if known is not None and known[0] >= version:
            return False
        if known is not None:
            self.sum ^= _mark(key, known[0])
        self.sum ^= _mark(key, version)
        self.items[key] = version, value
        if not self._fresh:
            self.world.later(0.0 if self._to_all else RUMOUR_S, self._pass)
        self._fresh[key] = version, value
        self._heard(key, value)
        return True

    def _pass(self) -> None:
        fresh, self._fresh = self._fresh, {}
        others = self._others()
        if self._to_all:
            for to in others:
                self._send(to, [(key, *item) for key, item in fresh.items()])
            return
        versions = {key: item[0] for key, item in fresh.items()}
        for to in self.world.chance.sample(others, min(len(others), self._pass_on)):
            self.world.tell(to, "news.rumour", {"versions": versions})

    def _send(self, to: str, items: list[tuple[str, Version, Any]]) -> None:
        for at in range(0, len(items), PAGE):
            self.world.tell(to, "news", {"items": items[at : at + PAGE]})

    def everything(self) -> list[tuple[str, Version, Any]]:
        return [(key, *item) for key, item in self.items.items()]

    def take(self, items: Iterable[Any]) -> int:
        """Take several; how many were new."""
        return sum(self.offer(key, version, value) for key, version, value in items)

    @on("news")
    def on_news(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        self.take(body["items"])

    def _compare(self) -> None:
        self.world.later(DIGEST_S, self._compare)
        others = self._others()
        if others:
            self._turn += 1
            self.compare_with(others[self._turn % len(others)])

    def compare_with(self, to: str) -> None:
        """Have gaps on either side mended."""

        def hear(reply: Result[Reply, Lost]) -> None:
            if not isinstance(reply, Ok) or "versions" not in reply.ok_value.body:
                return
            theirs = reply.ok_value.body["versions"]
            more = [
                (key, *item) for key, item in self.items.items() if key not in theirs or theirs[key] < item[0]
            ]  # fmt: skip
            if more:
                self._send(to, more)
            self._fetch(to, theirs)

        self.world.ask(to, "news.digest", {"sum": f"{self.sum:x}"}, ASK_S, hear)

    def _fetch(self, to: str, theirs: Mapping[str, Version]) -> None:
        """Ask another for what it knows and is newer than what is known here."""
        items = self.items
        gaps = [key for key, version in theirs.items() if key not in items or items[key][0] < version]

        def take(reply: Result[Reply, Lost]) -> None:
            if isinstance(reply, Ok):
                self.mended += self.take(reply.ok_value.body["items"])

        for at in range(0, len(gaps), PAGE):
            self.world.ask(to, "news.want", {"keys": gaps[at : at + PAGE]}, ASK_S, take)

    @on("news.rumour")
    def on_rumour(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Another has heard of something."""
        self._fetch(origin, body["versions"])

    @on("news.digest")
    def on_digest(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        if body["sum"] == f"{self.sum:x}":
            respond({}, b"")
        else:
            respond({"versions": {key: version for key, (version, _) in self.items.items()}}, b"")

    @on("news.want")
    def on_want(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        items = self.items
        respond({"items": [(key, *items[key]) for key in body["keys"] if key in items]}, b"")
