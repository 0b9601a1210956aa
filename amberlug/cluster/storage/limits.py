"""Limits of storage nodes that other kinds of nodes keep to."""

from __future__ import annotations

DEAD_MESSAGES_PER_PAGE = 200  # an answer of so many rows stays far below the largest frame
