"""A digest of all data that crosses the process boundaries of a simulation.

Two runs of one seed have the same digest exactly if they exchanged the same bytes at the same virtual times:
frames between machines, HTTP requests and responses of clients, endpoints and operators, and the SQL
statements of each disk commit. Class names, function names and log lines are not hashed, so renaming alone
does not change the digest.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any


class BoundaryDigest:
    """Hashes boundary crossings in the order in which they happen, each with its virtual time.

    Recording is off by default: most runs only check invariants, and hashing takes a fifth of their time.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.is_recording = False
        self._now = now
        self._hash = hashlib.sha256()
        self.crossings = 0
        self.on_frame: Callable[[str, str, bytes], None] = lambda tag, body, blob: None

    def add(self, kind: str, *fields: object) -> None:
        """Add a crossing to the digest."""
        if not self.is_recording:
            return
        self.crossings += 1
        self._hash.update(f"{self._now()!r} {kind} {fields!r}\n".encode())

    def frame(self, source: str, target: str, number: int | None, tag: str, body: str, blob: bytes) -> None:
        """Add a frame sent between machines; `number` is None for a notification, which has no reply."""
        if not self.is_recording:
            return
        self.add("frame", source, target, number, tag, body, blob)
        self.on_frame(tag, body, blob)

    def commit(self, disk: str, execute: Callable[[Any, Any], None], rows: Any) -> None:
        """Add the rows of a disk commit, as the SQL statements that the program would execute for them."""
        if not self.is_recording:
            return

        def statement(sql: str, values: object = ()) -> SimpleNamespace:
            """Add one SQL statement with its whitespace normalized; reports one changed row."""
            self.add("commit", disk, " ".join(sql.split()), values)
            return SimpleNamespace(rowcount=1)

        execute(SimpleNamespace(execute=statement), rows)

    def hexdigest(self) -> str:
        """Return the digest of all crossings so far."""
        return self._hash.hexdigest()
