"""Why a write to a disk failed. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import Self


class WriteFailureReason(Enum):
    """What kind of failure it is; the value is the text for logs."""

    OUT_OF_SPACE = "no space is left"
    IO_ERROR = "the disk failed"
    DATABASE_ERROR = "the database rejected it"


class WriteFailure(str):
    """The text of a failed write, with its reason.

    It is a `str` because the callbacks of `interfaces.Disk` take one, or None for a write that is durable.

    :ivar reason: what kind of failure it is.
    """

    reason: WriteFailureReason

    def __new__(cls, reason: WriteFailureReason, detail: str = "") -> Self:
        """Make the text from the reason and what the database reported."""
        failure = super().__new__(cls, f"{reason.value}: {detail}" if detail else reason.value)
        failure.reason = reason
        return failure
