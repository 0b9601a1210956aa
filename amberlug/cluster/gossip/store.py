"""Items of news by key, the newest version of each: told to others, compared by digests. No I/O.

A control relay sends items to all that have a session with it. Edges only say to a few others what they
have heard of, and who lacks it asks: nearly all have it already, and bytes between zones are dear.
"""

from __future__ import annotations

import hashlib
import heapq
import json
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from result import Ok, Result

from amberlug.cluster.interfaces import Json, Reply, RequestFailure, Respond, Runtime, on

DIGEST_S = 1.0  # between comparisons with one other
PASS_ON = 2  # others that an edge tells of what it has heard
RUMOUR_S = 0.05  # until it does: by then they have it from their control relays
ASK_S = 1.0
FETCH_S = 5.0  # for items to come: a large one takes 2.2 s over a link of 15 Mbit/s
PAGE = 400  # items in one message
PAGE_BYTES = 256 << 10  # of their values, but for a single one that is larger
VERSIONS = 10_000  # versions in one comparison

Version = list[int]
Item = tuple[Version, Any]
Told = tuple[str, Version, Any]


def _mark(key: str, version: Version) -> int:
    return int.from_bytes(hashlib.blake2b(f"{key} {version}".encode(), digest_size=8).digest(), "big")


class GossipStore:
    """What this process has heard."""

    def __init__(
        self,
        world: Runtime,
        others: Callable[[], list[str]],
        heard: Callable[[str, Any], None],
        pass_on: int = PASS_ON,
        to_all: bool = False,
        known_at: Callable[[str], Collection[str]] = lambda to: (),
    ) -> None:
        self.world, self._others, self._heard = world, others, heard
        self._pass_on, self._to_all = pass_on, to_all
        self._known_at = known_at  # keys that another one has of its own, as this one does
        self.items: dict[str, Item] = {}
        self._sizes: dict[str, int] = {}  # of values that were paged
        self._coming: dict[str, tuple[str, Version]] = {}  # what was asked for, of whom
        self.sum = 0
        self.mended = 0  # items that came by a comparison
        self._turn = 0
        self._fresh: dict[str, Item] = {}

    def begin(self) -> None:
        self.world.call_later(self.world.chance.uniform(0.2, 1.0) * DIGEST_S, self._compare)

    def offer(self, key: str, version: Version, value: Any) -> bool:
        """Take an item if it is newer than what is known, and pass it on."""
        known = self.items.get(key)
        if known is not None and known[0] >= version:
            return False
        if known is not None:
            self.sum ^= _mark(key, known[0])
        self.sum ^= _mark(key, version)
        self.items[key] = version, value
        self._sizes.pop(key, None)
        if not self._fresh:
            self.world.call_later(0.0 if self._to_all else RUMOUR_S, self._pass)
        self._fresh[key] = version, value
        self._heard(key, value)
        return True

    def _pass(self) -> None:
        fresh, self._fresh = self._fresh, {}
        others = self._others()
        if self._to_all:
            for to in others:
                known = self._known_at(to)
                self._send(to, [(key, *item) for key, item in fresh.items() if key not in known])
            return
        versions = [(key, item[0]) for key, item in fresh.items()]
        for to in self.world.chance.sample(others, min(len(others), self._pass_on)):
            for at in range(0, len(versions), VERSIONS):
                self.world.send(to, "news.rumour", {"versions": dict(versions[at : at + VERSIONS])})

    def _send(self, to: str, items: list[Told]) -> None:
        """Tell another; several pages go one after another, so that beats do not wait behind all of them."""
        if not items:
            return
        page, rest = self._page(items)
        if not rest:
            self.world.send(to, "news", {"items": page})
            return

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            if isinstance(reply, Ok):  # else the next comparison finds what is missing
                self._send(to, rest)

        self.world.request(to, "news", {"items": page}, FETCH_S, hear)

    def _page(self, items: list[Told]) -> tuple[list[Told], list[Told]]:
        """What goes into one message, at least one item, and the rest."""
        room = PAGE_BYTES
        for at, (key, version, value) in enumerate(items[:PAGE]):
            room -= self._size(key, version, value)
            if room < 0 and at:
                return items[:at], items[at:]
        return items[:PAGE], items[PAGE:]

    def _size(self, key: str, version: Version, value: Any) -> int:
        """How long a value is as text; of the newest one it is found once."""
        known = self.items.get(key)
        if known is None or known[0] != version:
            return len(json.dumps(value))
        if key not in self._sizes:
            self._sizes[key] = len(json.dumps(value))
        return self._sizes[key]

    def everything(self) -> list[Told]:
        return [(key, *item) for key, item in self.items.items()]

    def page_after(self, after: str) -> tuple[list[Told], str]:
        """One page of all items by the order of keys, and after which the next one begins; "" at the end."""
        items = self.items
        keys = heapq.nsmallest(PAGE, (key for key in items if key > after))
        page, rest = self._page([(key, *items[key]) for key in keys])
        return page, page[-1][0] if rest or len(keys) == PAGE else ""

    def take(self, items: Iterable[Any]) -> int:
        """Take several; how many were new."""
        return sum(self.offer(key, version, value) for key, version, value in items)

    @on("news")
    def on_news(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        self.take(body["items"])
        respond({}, b"")

    def _compare(self) -> None:
        self.world.call_later(DIGEST_S, self._compare)
        others = self._others()
        if others:
            self._turn += 1
            self.compare_with(others[self._turn % len(others)])

    def compare_with(self, to: str, after: str = "") -> None:
        """Have gaps on either side mended, of keys after that one, some at a time."""

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            if not isinstance(reply, Ok) or "versions" not in reply.ok_value.body:
                return
            theirs, upto = reply.ok_value.body["versions"], reply.ok_value.body.get("next", "")
            known = self._known_at(to)
            more = [
                (key, *item)
                for key, item in self.items.items()
                if after < key and (not upto or key <= upto) and key not in known
                if key not in theirs or theirs[key] < item[0]
            ]
            self._send(to, more)
            self._fetch(to, {key: version for key, version in theirs.items() if key not in known})
            if upto:
                self.compare_with(to, upto)

        self.world.request(to, "news.digest", {"sum": f"{self.sum:x}", "after": after}, ASK_S, hear)

    def _fetch(self, to: str, theirs: Mapping[str, Version]) -> None:
        """Ask another for what it knows and is newer than what is known here, and not on its way already."""
        items = self.items
        gaps = [
            key
            for key, version in theirs.items()
            if (key not in items or items[key][0] < version) and self._coming.get(key) != (to, version)
        ]
        self._coming |= {key: (to, theirs[key]) for key in gaps}
        self._want(to, gaps)

    def _want(self, to: str, keys: list[str]) -> None:
        """Ask for items, some at a time."""
        if not keys:
            return
        first, later = keys[:PAGE], keys[PAGE:]

        def take(reply: Result[Reply, RequestFailure]) -> None:
            rest: list[str] = []
            if isinstance(reply, Ok):
                self.mended += self.take(reply.ok_value.body["items"])
                rest = reply.ok_value.body.get("rest", [])
                rest = (rest if len(rest) < len(first) else []) + later
            for key in set(keys) - set(rest):
                if self._coming.get(key, ("", []))[0] == to:
                    del self._coming[key]
            self._want(to, rest)

        self.world.request(to, "news.want", {"keys": first}, FETCH_S, take)

    @on("news.rumour")
    def on_rumour(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Another has heard of something."""
        self._fetch(origin, body["versions"])

    @on("news.digest")
    def on_digest(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        if body["sum"] == f"{self.sum:x}":
            respond({}, b"")
            return
        after = body.get("after", "")
        keys = heapq.nsmallest(VERSIONS, (key for key in self.items if key > after))
        upto = keys[-1] if len(keys) == VERSIONS else ""
        respond({"versions": {key: self.items[key][0] for key in keys}, "next": upto}, b"")

    @on("news.want")
    def on_want(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Give as many as fit into one message, and name the others."""
        items = self.items
        page, rest = self._page([(key, *items[key]) for key in body["keys"] if key in items])
        respond({"items": page, "rest": [key for key, _, _ in rest]}, b"")
