"""Take-over of a log: who may attempt it, when, and what it must read first. No I/O.

A relay asks the log's whole ensemble for a promise under a ballot higher than any it knows. A relay that
promises rejects records of earlier owners from then on, and sends everything it holds. With promises from
`read_quorum` relays, which together have seen every committed record, the successor knows all of those; it
records the merged state under its own ballot, and resumes a message once that state is committed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from amberlug.copies.holder import HeldLog, WireMessage
from amberlug.copies.states import Ballot, LogMetadata, MessageState, decode_state

TAKEOVER_TIMEOUT_US = 2_000_000  # an attempt is abandoned after this time and repeated later


@dataclass(slots=True)
class PromiseProgress:
    """What one relay of the ensemble has sent so far."""

    parts: dict[int, list[Any]] = field(default_factory=dict)
    promised: int | None = None  # the number of parts, once it has promised


class Takeover:
    """One attempt to take over a log."""

    def __init__(
        self, meta: LogMetadata, ballot: Ballot, now_us: int, send: Callable[[str, WireMessage], None]
    ) -> None:
        self.meta, self.ballot, self._send = meta, ballot, send
        self.until_us = now_us + TAKEOVER_TIMEOUT_US
        self._progress: dict[str, PromiseProgress] = {}

    def ask(self, name: str) -> None:
        """Ask one relay of the ensemble for its promise."""
        self._send(name, ["fence", self.meta.encoded(), list(self.ballot)])

    def state(self, name: str, part: int, states: list[Any]) -> None:
        """Handle one part of the state that a relay holds."""
        if self.meta.incarnation_of(name) is not None:
            self._progress.setdefault(name, PromiseProgress()).parts[part] = states

    def promise(self, name: str, parts: int) -> None:
        """Handle a relay's promise, which follows all parts of its state."""
        if self.meta.incarnation_of(name) is not None:
            self._progress.setdefault(name, PromiseProgress()).promised = parts

    @property
    def complete(self) -> bool:
        """Whether enough relays have promised and sent all parts."""
        whole = [
            progress
            for progress in self._progress.values()
            if progress.promised is not None and len(progress.parts) >= progress.promised
        ]
        return len(whole) >= self.meta.read_quorum

    def read(self) -> dict[str, MessageState]:
        """The merged state; `ValueError` if a relay sent a malformed one."""
        found: dict[str, MessageState] = {}
        for answer in self._progress.values():
            for states in answer.parts.values():
                for name, state in states:
                    found.setdefault(str(name), MessageState()).merge(decode_state(state))
        return found


def takeover_due_us(
    held_log: HeldLog,
    name: str,
    present: set[str],
    silent_since_us: int | None,
    suspect_us: int,
    stagger_us: int,
) -> int | None:
    """When a relay may attempt to take over a log; None if it may not.

    `silent_since_us`: when the owner was last active, None if it is active. The reachable relays of the
    ensemble attempt one after the other in its order, so that the first succeeds alone unless it can't.
    """
    if held_log.meta.incarnation_of(name) is None or (silent_since_us is None and not held_log.owner_left):
        return None
    order = [
        relay
        for relay, _ in held_log.meta.ensemble
        if relay == name or (relay in present and relay != held_log.promised[1])
    ]
    since_us = silent_since_us or 0
    return since_us + (0 if held_log.owner_left else suspect_us) + order.index(name) * stagger_us
