"""Versioned announcements: the newest version of each key, a digest of them, and pages of bounded size."""

from __future__ import annotations

import hashlib
import heapq
import json
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

PAGE_ITEMS = 400  # maximum number of announcements per message
PAGE_BYTES = 256 << 10  # maximum total size of the values in a message, unless a single value is larger

Version = list[int]
"""Numbers that are compared lexicographically; the first ones are the owner's epoch and sequence."""

Payload = Any
"""A JSON value that is opaque to gossip: only the publisher and the subscribers of a key know its format."""


class VersionedValue(NamedTuple):
    """The value of a key, and its version, which orders the values of that key."""

    version: Version
    value: Payload


class Announcement(NamedTuple):
    """A key with its value; encoded as an array of three elements."""

    key: str
    version: Version
    value: Payload


class Page(NamedTuple):
    """Announcements in key order.

    `next_after` is the key after which the next page begins; it is empty on the last page.
    """

    announcements: list[Announcement]
    next_after: str


class PageSplit(NamedTuple):
    """The announcements that fit into one message, and those left for later messages."""

    page: list[Announcement]
    rest: list[Announcement]


class VersionPage(NamedTuple):
    """Versions by key, in key order, and the key after which the next page begins; "" on the last page."""

    versions: Mapping[str, Version]
    next_after: str


def _item_digest(key: str, version: Version) -> int:
    return int.from_bytes(hashlib.blake2b(f"{key} {version}".encode(), digest_size=8).digest(), "big")


class AnnouncementMap:
    """The newest announcement of each key.

    `digest` is the XOR of a 64-bit hash of each key and version, and is updated in constant time. Maps with
    equal digests contain the same versions, except for hash collisions.
    """

    def __init__(self) -> None:
        self.items: dict[str, VersionedValue] = {}
        self.digest = 0
        self._sizes: dict[str, int] = {}  # cached sizes of values, in bytes

    def keep_if_newer(self, key: str, version: Version, value: Payload) -> bool:
        """Store a value if it is newer than the known one; returns whether it was stored."""
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
        """Whether this version is newer than the known one, or the key is unknown."""
        return key not in self.items or self.items[key].version < version

    def __iter__(self) -> Iterator[Announcement]:
        return (Announcement(key, *item) for key, item in self.items.items())

    def page_after(self, after: str) -> Page:
        """Return one page of the announcements whose keys follow `after`."""
        keys = heapq.nsmallest(PAGE_ITEMS, (key for key in self.items if key > after))
        page, rest = self.split_page([Announcement(key, *self.items[key]) for key in keys])
        return Page(page, page[-1].key if rest or len(keys) == PAGE_ITEMS else "")

    def versions_after(self, after: str, limit: int) -> VersionPage:
        """Return at most `limit` versions of the keys that follow `after`."""
        keys = heapq.nsmallest(limit, (key for key in self.items if key > after))
        next_after = keys[-1] if len(keys) == limit else ""
        return VersionPage({key: self.items[key].version for key in keys}, next_after)

    def split_page(self, announcements: list[Announcement]) -> PageSplit:
        """Split off the announcements that fit into one message, at least one."""
        remaining_bytes = PAGE_BYTES
        for index, announcement in enumerate(announcements[:PAGE_ITEMS]):
            remaining_bytes -= self._size_bytes(announcement)
            if remaining_bytes < 0 and index:
                return PageSplit(announcements[:index], announcements[index:])
        return PageSplit(announcements[:PAGE_ITEMS], announcements[PAGE_ITEMS:])

    def _size_bytes(self, announcement: Announcement) -> int:
        """Return the size of the value as JSON; cached for the newest version."""
        key, version, value = announcement
        newest = self.items.get(key)
        if newest is None or newest.version != version:
            return len(json.dumps(value))
        if key not in self._sizes:
            self._sizes[key] = len(json.dumps(value))
        return self._sizes[key]
