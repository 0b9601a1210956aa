"""Reads the single-file journal of releases up to 0.1.

A record is a header (magic, kind, length, checksum) and a payload: JSON, and for an accepted message a
newline and the message body.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Container, Iterator
from dataclasses import dataclass, field
from typing import Any

from amberlug.core.journal.disk import Disk
from amberlug.core.log import log
from amberlug.core.messages import End, Message, Outcome
from amberlug.core.ports import LegacyEndpointState, LegacyState, PendingMessage, PreviousAttempt
from amberlug.policy.interface import Result

FILE, TEMPORARY_FILE = (
    "journal.log",
    "journal.new",
)  # the second one is a temporary file that no restart needs
_HEADER = struct.Struct(">2scII")
_MAGIC = b"\xa7\x1e"


@dataclass(slots=True)
class LegacyJournal:
    """The contents of a legacy journal."""

    held: dict[str, PendingMessage] = field(default_factory=dict)
    ended: dict[str, int] = field(default_factory=dict)
    earlier: LegacyState = field(default_factory=LegacyState)
    files: list[str] = field(default_factory=list)


def read(disk: Disk) -> LegacyJournal | None:
    """Read the legacy journal; None if there is none."""
    sizes = disk.files()
    if FILE not in sizes:
        return None
    old = LegacyJournal(files=[name for name in (FILE, TEMPORARY_FILE) if name in sizes])
    for kind, payload in _records(disk.read(FILE, 0, sizes[FILE])):
        header, _, body = payload.partition(b"\n")
        try:
            _apply(old, kind, json.loads(header), body)
        except (ValueError, KeyError, TypeError) as error:
            log(f"journal: skipping a record of the old format that can't be parsed: {error!r}")
    return old


def merge(
    old: LegacyJournal, held: dict[str, PendingMessage], ended_names: Container[str]
) -> dict[str, PendingMessage]:
    """Merge an old file with the segments, after a migration that was interrupted."""
    combined = {
        name: message_state
        for name, message_state in old.held.items()
        if name not in ended_names and name not in held
    }
    for name, message_state in held.items():
        before = old.held.get(name)
        if before is not None and message_state.end is None:
            message_state.tried = before.tried | message_state.tried
        combined[name] = message_state
    return combined


def _apply(old: LegacyJournal, kind: bytes, fields: dict[str, Any], body: bytes) -> None:
    name = fields["id"]
    if kind == b"S":
        old.earlier = LegacyState(
            fields["wall"], fields["clock"], tuple(LegacyEndpointState(*row) for row in fields["seen"])
        )
    elif kind == b"F":
        old.ended.update(fields["ended"])
    elif kind == b"E":
        old.held.pop(name, None)
        old.ended[name] = fields["until"]
    elif kind == b"T":
        tenant, key, dest = fields["tenant"], fields["key"], fields["dest"]
        message = Message(name, fields["class"], tenant, dest, key, body, fields["until"], taken=True)
        old.held[name] = PendingMessage(message)
    elif kind == b"N":
        message = Message(name, "", None, 0, None, b"", fields["until"], taken=True, over=True)
        old.held[name] = PendingMessage(message, end=End(name, Outcome(fields["end"]), fields["retry"]))
    elif kind == b"A":
        old.held[name].tried[fields["n"]] = PreviousAttempt(fields["to"], fields["at"])
    elif kind == b"O":
        old.held[name].tried[fields["n"]].result = Result(fields["how"])
    else:
        raise ValueError(f"unknown record kind {kind!r}")


def _records(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the records; a torn last one is dropped, other corrupt data is skipped; both are logged."""
    at = 0
    while at < len(data):
        if len(data) - at >= _HEADER.size:
            mark, kind, size, check = _HEADER.unpack_from(data, at)
            payload = data[at + _HEADER.size : at + _HEADER.size + size]
            if mark == _MAGIC and len(payload) == size and zlib.crc32(kind + payload) == check:
                yield kind, payload
                at += _HEADER.size + size
                continue
        following = data.find(_MAGIC, at + 1)
        if following < 0:
            log(f"journal: {len(data) - at} unreadable bytes at the end dropped")
            return
        log(f"journal: {following - at} unreadable bytes at offset {at} skipped")
        at = following
