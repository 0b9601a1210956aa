"""`amberlug check`: what is wrong with a configuration."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path

from amberlug.platform.checking import check


def main(path: Path, as_json: bool) -> int:
    """Print all problems of a file; 1 where there are any, 2 where it can't be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"amberlug: {path}: {error}", file=sys.stderr)
        return 2
    found = check(text)
    if as_json:
        print(json.dumps({"file": str(path), "problems": [asdict(it) for it in found]}))
    else:
        for it in found:
            print(f"{path}: {it.where}: {it.what}")
        if not found:
            print(f"{path}: no problems")
    return 1 if found else 0
