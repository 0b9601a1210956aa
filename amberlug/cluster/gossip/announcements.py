"""Versioned announcements: the newest version of each key, a digest over them, and pages of bounded size."""

from __future__ import annotations

import hashlib
import heapq
import json
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

PAGE_ITEMS = 400  # announcements in one message
PAGE_BYTES = 256 << 10  # of the values in one message, but for a single value that is larger

Version = list[int]
"""Numbers that are compared from the left; the first ones are the owner's epoch and sequence."""

Payload = Any
"""A JSON value that gossip passes on unread: only publisher and subscribers of a key know its form."""


class VersionedValue(NamedTuple):
    """The value of a key, and the version that orders it among the values of that key."""

    version: Version
    value: Payload


class Announcement(NamedTuple):
    """A key with its value; in a frame it stands as an array of three."""

    key: str
    version: Version
    value: Payload


class Page(NamedTuple):
    """Announcements in the order of their keys.

    `next_after` is the key after which the next page begins; it is empty on the last one.
    """

    announcements: list[Announcement]
    next_after: str


class PageSplit(NamedTuple):
    """What fits into one message, and what has to follow in others."""

    page: list[Announcement]
    rest: list[Announcement]


class VersionPage(NamedTuple):
    """Versions by key, in the order of keys, and the key after which the next page begins or ""."""

    versions: Mapping[str, Version]
    next_after: str


def _item_digest(key: str, version: Version) -> int:
    return int.from_bytes(hashlib.blake2b(f"{key} {version}".encode(), digest_size=8).digest(), "big")


class AnnouncementMap:
    """The newest announcement of each key.

    `digest` is the exclusive or of a 64-bit hash of each key with its version. It is kept up to date in
    constant time. Two maps with equal digests contain the same versions, but for collisions.
    """

    def __init__(self) -> None:
        self.items: dict[str, VersionedValue] = {}
        self.digest = 0
        self._sizes: dict[str, int] = {}  # bytes of values that were put into pages

    def keep_if_newer(self, key: str, version: Version, value: Payload) -> bool:
        """Keep a value unless the newest known one is as new; returns whether it was kept."""
        newest = self.items.get(key)
        if newest is not None:
            if newest.version >= version:
                return False
            self.digest ^= _item_digest(key, newest.version)
        self.digest ^= _item_digest(key, version)
        self.items[key] = VersionedValue(version, value)
        self._sizes.pop(key, None)
        return True

    def lacks(self, key: str, version: Version) -> bool:
        """Whether this version is newer than the known one."""
        return key not in self.items or self.items[key].version < version

    def __iter__(self) -> Iterator[Announcement]:
        return (Announcement(key, *item) for key, item in self.items.items())

    def page_after(self, after: str) -> Page:
        """One page of the announcements whose keys come after that one."""
        keys = heapq.nsmallest(PAGE_ITEMS, (key for key in self.items if key > after))
        page, rest = self.split_page([Announcement(key, *self.items[key]) for key in keys])
        return Page(page, page[-1].key if rest or len(keys) == PAGE_ITEMS else "")

    def versions_after(self, after: str, limit: int) -> VersionPage:
        """At most `limit` versions, of the keys that come after that one."""
        keys = heapq.nsmallest(limit, (key for key in self.items if key > after))
        next_after = keys[-1] if len(keys) == limit else ""
        return VersionPage({key: self.items[key].version for key in keys}, next_after)

    def split_page(self, announcements: list[Announcement]) -> PageSplit:
        """Split off what fits into one message, at least one announcement."""
        remaining_bytes = PAGE_BYTES
        for index, announcement in enumerate(announcements[:PAGE_ITEMS]):
            remaining_bytes -= self._size_bytes(announcement)
            if remaining_bytes < 0 and index:
                return PageSplit(announcements[:index], announcements[index:])
        return PageSplit(announcements[:PAGE_ITEMS], announcements[PAGE_ITEMS:])

    def _size_bytes(self, announcement: Announcement) -> int:
        """Length of the value as JSON; it is computed once for the newest version."""
        key, version, value = announcement
        newest = self.items.get(key)
        if newest is None or newest.version != version:
            return len(json.dumps(value))
        if key not in self._sizes:
            self._sizes[key] = len(json.dumps(value))
        return self._sizes[key]
