"""The durable log: what this relay has taken on, sent and ended, in one file that outlasts the process.

`write()` outlasts SIGKILL with no sync. A record is a head (mark, kind, length, checksum) and its payload:
JSON, and for a message taken a line end and its body.
"""

from __future__ import annotations

import errno
import json
import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import astuple
from pathlib import Path
from typing import Any

from amberlug.core.log import log
from amberlug.core.messages import Attempt, End, Ending, Message, Outcome
from amberlug.core.ports import Held, Memory, Tried
from stoatusher import interface as api
from stoatusher.interface import Result

_HEAD = struct.Struct(">2scII")
_MARK = b"\xa7\x1e"
_encode = json.JSONEncoder(separators=(",", ":")).encode  # dumps() would make an encoder for each record
SHARE = 0.4  # of the folder's room for the file: an old and a new one together stay well under it
SPARE = 0.75  # part of that for messages held; the rest is for what else is written of them
SMALL = 1 << 18  # bytes below which a file is not worth compacting
BLOCK = 512  # files count in whole blocks


def _record(kind: bytes, fields: dict[str, Any], body: bytes | None = None) -> bytes:
    payload = _encode(fields).encode()
    return _packed(kind, payload if body is None else payload + b"\n" + body)


def _packed(kind: bytes, payload: bytes) -> bytes:
    return _HEAD.pack(_MARK, kind, len(payload), zlib.crc32(kind + payload)) + payload


def _records(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Read records; a torn last one is dropped, anything else that is corrupt is skipped and logged."""
    at = 0
    while at < len(data):
        if len(data) - at >= _HEAD.size:
            mark, kind, size, check = _HEAD.unpack_from(data, at)
            payload = data[at + _HEAD.size : at + _HEAD.size + size]
            if mark == _MARK and len(payload) == size and zlib.crc32(kind + payload) == check:
                yield kind, payload
                at += _HEAD.size + size
                continue
        following = data.find(_MARK, at + 1)
        if following < 0:
            log(f"journal: {len(data) - at} bytes at the end can't be read: dropped")
            return
        log(f"journal: {following - at} bytes at {at} can't be read: skipped")
        at = following


class Journal:
    """The log and the records that are still needed of it."""

    def __init__(self, folder: Path, disk_bytes: int, now_ms: int) -> None:
        self._path, self._aside = folder / "journal.log", folder / "journal.new"
        self._most = int(disk_bytes * SHARE) // BLOCK * BLOCK
        self._needed: dict[str, list[bytes]] = {}
        self._needed_bytes = self._size = self._compacted = (
            0  # and the size of the file as it was last compacted
        )
        self._ended: dict[str, int] = {}  # names of messages that are over, until their time is up
        self.held: dict[str, Held] = {}
        self.memory = Memory(0, 0)
        self._file = -1
        self._now_ms = now_ms
        self._replay()
        self._compact()

    def close(self) -> None:
        """Close the file; nothing is written from now on."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def knows(self, name: str) -> bool:
        """Whether a message with that name was taken on, and its time may not be up."""
        return name in self._needed or name in self._ended

    def fits(self, size: int) -> bool:
        """Whether a message with a body of that size can be held."""
        return self._needed_bytes + size + 2 * BLOCK <= self._most * SPARE

    def take(self, message: Message) -> None:
        """Record a message before it is answered for."""
        fields = {
            "id": message.name,
            "class": message.message_class,
            "tenant": message.tenant,
            "key": message.key,
            "dest": message.destination,
            "until": message.deadline_ms,
        }
        self._write(message.name, _record(b"T", fields, message.body))

    def attempt(self, attempt: Attempt, now_ms: int) -> None:
        """Record an attempt before its first byte goes out."""
        name = attempt.message.name
        fields = {"id": name, "n": attempt.number, "to": attempt.endpoint, "at": now_ms}
        self._write(name, _record(b"A", fields))

    def outcome(self, attempt: Attempt, how: Ending) -> None:
        name = attempt.message.name
        self._note(name, _record(b"O", {"id": name, "n": attempt.number, "how": how.result.value}))

    def remember(self, memory: Memory) -> None:
        """Record what the next life should know of the endpoints."""
        if memory.seen != self.memory.seen:
            self.memory = memory
            self._note(None, self._memory_record())

    def _memory_record(self) -> bytes:
        rows = [astuple(it) for it in self.memory.seen]
        fields = {"id": "", "wall": self.memory.wall_ms, "clock": self.memory.clock_us, "seen": rows}
        return _record(b"S", fields)

    def owe(self, message: Message, end: End) -> None:
        """Record an end that is still to be acknowledged."""
        fields = {"id": end.message, "end": end.outcome.value, "retry": end.retry_ms}
        record = _record(b"N", fields | {"until": message.deadline_ms})
        self._forget(message.name)
        self._note(message.name, record)

    def end(self, name: str, until_ms: int, now_ms: int) -> None:
        """Record that nothing more is owed for a message."""
        self._forget(name)
        self._ended[name] = until_ms
        self._now_ms = now_ms
        self._note(None, _record(b"E", {"id": name, "until": until_ms}))
        # Guards against compacting at each end: what is kept of ended messages alone may be over SMALL.
        if self._size > max(SMALL, 2 * self._compacted):
            try:
                self._compact()
            except OSError as error:
                log(f"journal: {error}")

    def _forget(self, name: str) -> None:
        self._needed_bytes -= sum(map(len, self._needed.pop(name, ())))

    def _note(self, name: str | None, record: bytes) -> None:
        """Record what has happened anyway; the relay goes on where that fails."""
        try:
            self._append(record) if name is None else self._write(name, record)
        except OSError as error:
            log(f"journal: {error}")

    def _write(self, name: str, record: bytes) -> None:
        self._append(record)
        self._needed.setdefault(name, []).append(record)
        self._needed_bytes += len(record)

    def _append(self, record: bytes) -> None:
        if self._size + len(record) > self._most:
            self._compact()
        # Guards against a folder that is over its room, which ends the relay: what does not fit is refused.
        if self._size + len(record) > self._most:
            raise OSError(errno.ENOSPC, "no room in the journal")
        left = memoryview(record)
        while left:
            left = left[os.write(self._file, left) :]
        self._size += len(record)

    def _compact(self) -> None:
        """Write what is needed aside and put it in the old file's place."""
        self._ended = {name: until for name, until in self._ended.items() if until > self._now_ms}
        ended = _record(b"F", {"id": "", "ended": self._ended})  # in one: they are many, and each is short
        needed = [record for records in self._needed.values() for record in records]
        data = b"".join([*needed, ended, self._memory_record()])
        self._aside.write_bytes(data)
        self._aside.replace(self._path)
        self.close()
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        self._size = self._compacted = len(data)

    def _replay(self) -> None:
        data = self._path.read_bytes() if self._path.exists() else b""
        for kind, payload in _records(data):
            head, _, body = payload.partition(b"\n")
            try:
                self._replay_one(kind, json.loads(head), body, _packed(kind, payload))
            except (ValueError, KeyError, TypeError) as error:
                log(f"journal: a record can't be understood: {error!r}: skipped")

    def _replay_one(self, kind: bytes, fields: dict[str, Any], body: bytes, record: bytes) -> None:
        name = fields["id"]
        if kind == b"S":
            seen = (api.Seen(*row) for row in fields["seen"])
            self.memory = Memory(fields["wall"], fields["clock"], tuple(seen))
            return
        if kind == b"F":
            self._ended.update(fields["ended"])
            return
        if kind == b"E":
            self._forget(name)
            self.held.pop(name, None)
            self._ended[name] = fields["until"]
            return
        if kind == b"T":
            tenant, key, dest = fields["tenant"], fields["key"], fields["dest"]
            message = Message(name, fields["class"], tenant, dest, key, body, fields["until"], taken=True)
            self.held[name] = Held(message)
        elif kind == b"N":
            self._forget(name)
            message = Message(name, "", None, 0, None, b"", fields["until"], taken=True, over=True)
            self.held[name] = Held(message, end=End(name, Outcome(fields["end"]), fields["retry"]))
        elif kind == b"A":
            self.held[name].tried[fields["n"]] = Tried(fields["to"], fields["at"])
        elif kind == b"O":
            self.held[name].tried[fields["n"]].result = Result(fields["how"])
        else:
            raise ValueError(f"kind {kind!r}")
        self._needed.setdefault(name, []).append(record)
        self._needed_bytes += len(record)
