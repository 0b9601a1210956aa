"""A digest of all that crosses the borders of the simulated processes.

Two plays of one seed have the same digest exactly if they exchanged the same bytes at the same times:
frames between machines, HTTP requests and answers of clients, endpoints and operators, and the SQL statements
of each disk commit. Names of classes, functions and log lines do not enter it, so that a change of names
alone leaves it as it is.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any


class BoundaryDigest:
    """Hashes border crossings in the order in which they happen; each with its virtual time.

    It does nothing until it is switched on: most plays look for broken invariants alone, and hashing takes
    a fifth of their time.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.is_recording = False
        self._now = now
        self._hash = hashlib.sha256()
        self.crossings = 0
        self.on_frame: Callable[[str, str, bytes], None] = lambda tag, body, blob: None

    def add(self, kind: str, *fields: object) -> None:
        """Take a crossing into the digest."""
        if not self.is_recording:
            return
        self.crossings += 1
        self._hash.update(f"{self._now()!r} {kind} {fields!r}\n".encode())

    def frame(self, source: str, target: str, number: int | None, tag: str, body: str, blob: bytes) -> None:
        """A frame that one machine sends to another; `number` is None where no reply is awaited."""
        if not self.is_recording:
            return
        self.add("frame", source, target, number, tag, body, blob)
        self.on_frame(tag, body, blob)

    def commit(self, disk: str, execute: Callable[[Any, Any], None], rows: Any) -> None:
        """Rows that a disk commits, as the SQL statements which the program would execute for them."""
        if not self.is_recording:
            return

        def statement(sql: str, values: object = ()) -> SimpleNamespace:
            self.add("commit", disk, " ".join(sql.split()), values)
            return SimpleNamespace(rowcount=1)

        execute(SimpleNamespace(execute=statement), rows)

    def hexdigest(self) -> str:
        """The digest of all that crossed up to now."""
        return self._hash.hexdigest()
