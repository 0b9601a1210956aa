"""`amberlug journal`: inspects a state folder and salvages the readable records of a damaged one."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from amberlug.core.journal import FolderDisk, Journal, legacy
from amberlug.core.journal.recovery import RecoveredJournal, recover_folder, resumable_messages
from amberlug.core.ports import PendingMessage

MAX_BYTES = 1 << 40  # size limit in bytes; in effect none for a salvaged journal


def main(command: str, folder: Path, to: Path | None, as_json: bool) -> int:
    """Run a command; returns 0, 1 if there is damage, or 2 if the folder cannot be read or written."""
    if not folder.is_dir():
        print(f"amberlug: {folder} is not a folder", file=sys.stderr)
        return 2
    disk = FolderDisk(folder, writable=False)
    try:
        found, now_ms = recover_folder(disk), int(time.time() * 1000)
        old, ones = legacy.read(disk), resumable_messages(found, now_ms)
        if old is not None:
            ones = legacy.merge(old, ones, found.ended)
        if to is not None:
            salvage(found, ones, to, now_ms)
    except (OSError, ValueError) as error:
        print(f"amberlug: {folder}: {error}", file=sys.stderr)
        return 2
    finally:
        disk.close()
    figures = summarize(found, ones) if command != "verify" else {}
    damage = [str(it) for it in found.damage]
    if as_json:
        print(json.dumps({**figures, "damage": damage}))
    else:
        show(figures, damage)
    return 1 if damage else 0


def summarize(found: RecoveredJournal, ones: Mapping[str, PendingMessage]) -> dict[str, Any]:
    """Summarize the contents of a folder."""
    going = [one for one in ones.values() if one.end is None]
    return {
        "segments": [{"number": it.number, "bytes": it.size} for it in found.segments],
        "bytes": sum(it.size for it in found.segments),
        "live_bytes": sum(raw.size for raw in found.messages.values()),
        "held": dict(Counter(one.message.message_class for one in going)),
        "attempts_without_outcome": sum(it.result is None for one in going for it in one.tried.values()),
        "ends_owed": dict(Counter(one.end.outcome.value for one in ones.values() if one.end is not None)),
        "names_known": len(found.ended),
    }


def show(figures: Mapping[str, Any], damage: list[str]) -> None:
    """Print the summary as text."""
    for name, value in figures.items():
        if name == "segments":
            print(f"segments: {len(value)}")
            for it in value:
                print(f"  {it['number']:12d}  {it['bytes']:12d} bytes")
        elif isinstance(value, dict):
            parts = ", ".join(f"{count} {what or 'unknown'}" for what, count in sorted(value.items()))
            print(f"{name.replace('_', ' ')}: {parts or 'none'}")
        else:
            print(f"{name.replace('_', ' ')}: {value}")
    for line in damage:
        print(f"DAMAGED {line}")
    if not damage:
        print("no damage")


def salvage(found: RecoveredJournal, ones: Mapping[str, PendingMessage], to: Path, now_ms: int) -> None:
    """Write the readable records to a new folder; raises `OSError` if it is not empty."""
    to.mkdir(parents=True, exist_ok=True)
    if any(to.iterdir()):
        raise OSError(f"{to} is not empty")
    journal = Journal(FolderDisk(to), MAX_BYTES, now_ms, time.monotonic_ns)
    names = {name: until for name, (until, *_) in found.ended.items()}
    journal.import_messages(list(ones.values()), names, now_ms)
    journal.close()
