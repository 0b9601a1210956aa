"""A core machine's part of the log on disk. Every row has a check sum; a bad one spoils the folder."""

from __future__ import annotations

import json
import sqlite3
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from amberlug.cluster.consensus.log import PersistentState, assemble
from amberlug.cluster.interfaces import Json
from amberlug.cluster.storage.group_commit import GroupCommitWriter, open_file

Row = tuple[str, tuple[Any, ...]]

FORMAT = 1
SCHEMA = """
create table if not exists state (name text primary key, value text not null, sum integer not null);
create table if not exists log (
    at integer primary key, term integer not null, command text not null, sum integer not null
);
"""


def _put(base: sqlite3.Connection, name: str, value: Any) -> None:
    text = json.dumps(value, separators=(",", ":"))
    base.execute("insert or replace into state values (?, ?, ?)", (name, text, zlib.crc32(text.encode())))


def _work(base: sqlite3.Connection, rows: list[Row]) -> None:
    for kind, values in rows:
        if kind == "entry":
            at, term, command = values
            text = json.dumps(command, separators=(",", ":"))
            base.execute(
                "insert or replace into log values (?, ?, ?, ?)", (at, term, text, _sum(at, term, text))
            )
        elif kind == "term":
            _put(base, "term", values)
        elif kind == "floors":
            _put(base, "floors", *values)
        elif kind == "anew":
            base.execute("delete from log")
            base.execute("delete from state where name in ('term', 'floors')")
            _put(base, "me", *values)
            _put(base, "snap", {"start": 0, "term": 0, "state": None, "members": {}})
        elif kind == "cut":
            base.execute("delete from log where at >= ?", values)
        elif kind == "snap":
            start, start_term, state, members, upto = values
            _put(base, "snap", {"start": start, "term": start_term, "state": state, "members": members})
            base.execute("delete from log where at < ?", (upto,))


def _sum(at: int, term: int, text: str) -> int:
    return zlib.crc32(f"{at} {term} {text}".encode())


def _load(base: sqlite3.Connection) -> PersistentState | None:
    """What is there; None where it is nothing, or damaged."""
    state: Json = {}
    for name, text, total in base.execute("select name, value, sum from state"):
        if zlib.crc32(text.encode()) != total:
            return None
        state[name] = json.loads(text)
    if state.get("format") != FORMAT or "me" not in state:
        return None
    term, vote = state.get("term", (0, ""))
    snap = state["snap"]
    saved = PersistentState(
        state["me"], term, vote, snap["start"], snap["term"], snap["state"], snap["members"]
    )
    saved.floors = state.get("floors", {})
    rows = []
    for at, term_of, text, total in base.execute("select at, term, command, sum from log order by at"):
        if _sum(at, term_of, text) != total:
            return None
        rows.append((at, term_of, json.loads(text)))
    return assemble(saved, rows)


def open_raft_storage(
    folder: Path, blank: Callable[[], PersistentState], post: Callable[[Callable[[], None]], None]
) -> tuple[PersistentState, GroupCommitWriter[Row], bool]:
    """Open the folder's part of the log: what is saved, where to write, and whether it was begun anew.

    A folder that is damaged is set aside: what it holds can't be told from what it held, so its machine comes
    back as another incarnation, like one that lost its disk.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "vise.db"
    base = sqlite3.connect(":memory:")
    try:
        base = open_file(path, SCHEMA)
        saved = _load(base)
    except (sqlite3.Error, ValueError):
        saved = None
    if saved is not None:
        return saved, GroupCommitWriter(base, _work, post), False
    base.close()
    for suffix in ("", "-wal"):
        (folder / f"vise.db{suffix}").unlink(missing_ok=True)
    base = open_file(path, SCHEMA)
    saved = blank()
    base.execute("begin immediate")
    _put(base, "format", FORMAT)
    _put(base, "me", saved.me)
    snap = {"start": saved.start, "term": saved.start_term, "state": saved.state, "members": saved.members}
    _put(base, "snap", snap)
    base.execute("commit")
    return saved, GroupCommitWriter(base, _work, post), True
