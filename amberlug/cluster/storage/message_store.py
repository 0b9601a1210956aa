"""A store's messages on disk: what is open with its body, what has ended, and the fences of shards."""

from __future__ import annotations

import json
import sqlite3
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from amberlug.cluster.interfaces import Json
from amberlug.cluster.storage.group_commit import GroupCommitWriter, Row, open_file

FORMAT = 1
SCHEMA = """
create table if not exists about (name text primary key, value text not null);
create table if not exists fence (shard integer primary key, epoch integer not null);
create table if not exists message (
    id text primary key, shard integer not null, epoch integer not null, seq integer not null,
    meta text not null, body blob, sum integer not null,
    end text not null, seal text not null, keep_until real not null
) without rowid;
"""


@dataclass(slots=True)
class StoredMessage:
    """What a store knows of a message without its body; `end` is empty while it is open."""

    shard: int
    epoch: int
    seq: int
    meta: Json
    size: int
    end: str = ""
    seal: str = ""
    keep_until: float = 0.0  # time of day: an end is told until then, and while a copy might be found open
    lasts: bool = True  # whether the disk has it, and is not only about to

    def place(self) -> tuple[int, int, int]:
        """Its shard, and its order there."""
        return self.shard, self.epoch, self.seq


@dataclass(slots=True)
class StoredContents:
    """What is on a store's disk at its start."""

    disk: str
    fences: dict[int, int] = field(default_factory=dict)
    kept: dict[str, StoredMessage] = field(default_factory=dict)
    enrolled: int = 0
    spoilt: list[str] = field(default_factory=list)  # rows whose check sum is wrong: as if they weren't here


def _sum(name: str, shard: int, meta: str, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(f"{name} {shard} {meta}".encode()))


def _work(base: sqlite3.Connection, rows: list[Row]) -> None:
    for kind, values in rows:
        if kind == "put":
            name, shard, epoch, seq, meta, body = values
            text = json.dumps(meta, separators=(",", ":"))
            base.execute(
                "insert or replace into message values (?, ?, ?, ?, ?, ?, ?, '', '', 0)",
                (name, shard, epoch, seq, text, body, _sum(name, shard, text, body)),
            )
        elif kind == "end":
            name, shard, end, seal, at = values
            keep = "" if end == "dead" else ", body = null"
            done = base.execute(
                f"update message set end = ?, seal = ?, keep_until = ?{keep} where id = ?",
                (end, seal, at, name),
            )
            if done.rowcount == 0:
                base.execute(
                    "insert into message values (?, ?, 0, 0, '{}', null, 0, ?, ?, ?)",
                    (name, shard, end, seal, at),
                )
        elif kind == "fence":
            base.execute("insert or replace into fence values (?, ?)", values)
        elif kind == "enrolled":
            base.execute("insert or replace into about values ('enrolled', ?)", values)
        elif kind == "anew":
            base.execute("delete from message")
            base.execute("delete from about where name = 'enrolled'")
            base.execute("insert or replace into about values ('disk', ?)", values)
        elif kind == "drop":
            base.execute("delete from message where id = ?", values)


def _load(base: sqlite3.Connection, about: dict[str, Any]) -> StoredContents:
    contents = StoredContents(about["disk"], dict(base.execute("select shard, epoch from fence")))
    contents.enrolled = int(about.get("enrolled", 0))
    columns = "id, shard, epoch, seq, meta, body, sum, end, seal, keep_until"
    for name, shard, epoch, seq, meta, body, total, end, seal, at in base.execute(
        f"select {columns} from message"
    ):
        if not end and (body is None or _sum(name, shard, meta, body) != total):
            contents.spoilt.append(name)
            continue
        size = len(body) if body is not None else 0
        contents.kept[name] = StoredMessage(shard, epoch, seq, json.loads(meta), size, end, seal, at)
    return contents


class MessageStore:
    """Writes and reads of one store's disk, in a thread of its own."""

    def __init__(self, base: sqlite3.Connection, post: Callable[[Callable[[], None]], None]) -> None:
        self._cabinet = GroupCommitWriter(base, _work, post)
        self.write = self._cabinet.write

    def read(self, names: list[str], then: Callable[[dict[str, bytes]], None]) -> None:
        """The bodies of messages, as far as they are there whole."""

        def look(base: sqlite3.Connection) -> dict[str, bytes]:
            found = {}
            for name in names:
                row = base.execute(
                    "select shard, meta, body, sum from message where id = ?", (name,)
                ).fetchone()
                if row is not None and row[2] is not None and _sum(name, row[0], row[1], row[2]) == row[3]:
                    found[name] = bytes(row[2])
            return found

        self._cabinet.look(look, then)

    def close(self) -> None:
        self._cabinet.close()


def open_message_store(
    folder: Path, new_disk: Callable[[], str], post: Callable[[Callable[[], None]], None]
) -> tuple[StoredContents, MessageStore]:
    """Open a store's folder. One that can't be read is begun anew: it is another disk then."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "chest.db"
    about: dict[str, Any] = {}
    base = sqlite3.connect(":memory:")
    try:
        base = open_file(path, SCHEMA)
        about = dict(base.execute("select name, value from about"))
        if about.get("format") == str(FORMAT):
            return _load(base, about), MessageStore(base, post)
    except (sqlite3.Error, ValueError):
        about = {"spoilt": True}
    if about:
        base.close()
        for suffix in ("", "-wal"):
            (folder / f"chest.db{suffix}").unlink(missing_ok=True)
        base = open_file(path, SCHEMA)
    disk = new_disk()
    base.execute("begin immediate")
    base.executemany("insert into about values (?, ?)", [("format", str(FORMAT)), ("disk", disk)])
    base.execute("commit")
    return StoredContents(disk), MessageStore(base, post)
