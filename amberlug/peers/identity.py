"""The incarnation of a state directory: a relay that restarts with an empty one gets another incarnation."""

from __future__ import annotations

import os
import re
import secrets
from pathlib import Path

FILE = "incarnation"
_PATTERN = re.compile(r"[0-9a-f]{16}")


def incarnation(folder: Path) -> str:
    """The directory's incarnation, drawn on first use; `OSError`, or `ValueError` if its file is damaged."""
    path = folder / FILE
    try:
        text = path.read_text(encoding="ascii", errors="replace").strip()
    except FileNotFoundError:
        text = secrets.token_hex(8)
        temporary = folder / f"{FILE}.new"
        with temporary.open("w", encoding="ascii") as file:
            file.write(text)
            file.flush()
            # Synced before use: a crash must not change an incarnation that others already made promises to.
            os.fsync(file.fileno())
        temporary.replace(path)
    if not _PATTERN.fullmatch(text):
        raise ValueError(f"{path}: malformed incarnation: {text[:40]!r}")
    return text
