"""The command line."""

from __future__ import annotations

from amberlug.platform import daemon


def main() -> int:
    """Run the command; its exit code."""
    return daemon.main()
