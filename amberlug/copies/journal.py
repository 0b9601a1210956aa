"""The journal of a replicated relay: a record is complete once it is on this disk and at enough holders.

Messages that this relay accepts are written to its own journal first and then to the log's holders. Messages
taken over from another relay are not in its own journal: they are stored by the log's holders, of which this
relay is one.
"""

from __future__ import annotations

import json
import os
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from amberlug.copies.machine import Machine, Watermark
from amberlug.copies.states import Kind, LogMetadata, MessageState, decode_metadata
from amberlug.copies.store import CopyStore
from amberlug.core.journal import Journal
from amberlug.core.log import log as log_line
from amberlug.core.messages import Attempt, AttemptResult, End, Message, Outcome, Reason, Refusal
from amberlug.core.ports import Clock, LegacyState, PendingMessage, PreviousAttempt
from amberlug.peers.fleet import Fleet, WhenShort
from amberlug.policy.interface import Effect, Result, Settings

LOGS_FILE = "logs.json"  # the metadata of the logs that originate in this directory
TOO_FEW_HOLDERS_RETRY_US = 1_000_000  # retry delay for clients when too few holders are reachable
ELSEWHERE_RETRY_US = 500_000  # retry delay for clients when another relay has the message
Callback = Callable[[], object]


@dataclass(slots=True)
class PendingHandIn:
    """A hand-in whose client waits for the response."""

    message: Message
    kept: Callback
    broken: Callable[[bool], object]
    deadline_us: int
    withdrawn: bool = False


class ReplicatedJournal:
    """The core's journal for a relay of a fleet. All methods run in the thread of the relay's node.

    Callbacks: `adopt` receives messages taken over from another relay; `relinquish` receives the names of
    messages that another relay has taken over; `restart_required` is called when other relays have seen a
    newer state of the directory (it was restored from a copy) and the relay must restart under a new
    incarnation.
    """

    def __init__(
        self,
        inner: Journal,
        fleet: Fleet,
        incarnation: str,
        fresh: bool,
        store: CopyStore,
        folder: Path,
        settings: Settings,
        clock: Clock,
    ) -> None:
        self._inner, self._fleet, self._store, self._folder = inner, fleet, store, folder
        self._settings, self._clock = settings, clock
        self._log_of: dict[str, str] = {}  # of replicated messages
        # Messages accepted while too few holders were reachable, not replicated yet.
        self._local_only: dict[str, MessageState] = {}
        # Messages of other origins' logs that ended here, with their expiry (wall clock, ms).
        self._ended_for_others: dict[str, int] = {}
        # Messages that another relay took over, with their expiry; they may be taken over from it again.
        self._relinquished: dict[str, int] = {}
        self._callbacks: dict[str, list[tuple[Callback, Callback | None]]] = defaultdict(list)
        self._pending_hand_ins: dict[str, PendingHandIn] = {}
        self._ended = inner.known()
        self._changed_watermarks: set[str] = set()
        self.accepted_unreplicated = self._logged_unreplicated = 0
        self.adopt: Callable[[list[PendingMessage]], None] = _ignore_argument
        self.relinquish: Callable[[list[str]], None] = _ignore_argument
        self.restart_required: Callback = _ignore
        self.outgoing_ready: Callback = _ignore  # called when messages are ready to be sent
        self._startup_watermark = (*_as_watermark(inner.water), store.sequence)
        self.machine = Machine(fleet, incarnation, store, self, clock.now_us(), fresh)
        self.machine.holder.logs = store.logs
        for name, (incarnation_seen, watermark) in store.peer_watermarks.items():
            if (peer := self.machine.peers.get(name)) is not None:
                peer.watermark, peer.incarnation = {incarnation_seen: watermark}, incarnation_seen
        self._metas: dict[str, LogMetadata] = {}
        self._older_logs: dict[str, list[str]] = {}
        self._reopen()

    def restart_as(self, incarnation: str, store: CopyStore) -> None:
        """Continue as a new incarnation that holds and owns nothing yet."""
        now_ms = self._clock.wall_ms()
        names = list(self._log_of)
        self.relinquish(names)
        for name in names:
            until_ms = now_ms + int(self._fleet.remember_s * 1000)
            if self._other_origin(name):
                self._ended_for_others[name] = until_ms
            else:
                self._inner.end(name, until_ms, now_ms)
            for _, never in self._callbacks.pop(name, ()):
                if never is not None:
                    never()
        self._log_of, self._pending_hand_ins, self._metas, self._older_logs = {}, {}, {}, {}
        self._store = store
        before = self.machine
        self.machine = Machine(self._fleet, incarnation, store, self, self._clock.now_us(), True)
        self.machine.holder.logs = store.logs
        for name, peer in before.peers.items():
            self.machine.peers[name].watermark = peer.watermark

    # Recovery.

    def _reopen(self) -> None:
        """Reopen the logs that originate in this directory with their messages in the own journal."""
        try:
            stored = json.loads((self._folder / LOGS_FILE).read_text(encoding="utf-8"))
        except FileNotFoundError:
            return
        metas = [decode_metadata(meta) for meta in stored["metas"]]
        own_identity = (self._fleet.name, self.machine.incarnation)
        self._metas = {meta.log: meta for meta in metas if (meta.origin, meta.incarnation) == own_identity}
        self._older_logs = {log: list(names) for log, names in stored["older"].items() if log in self._metas}
        newest = {meta.write_quorum: log for log, meta in self._metas.items()}
        placed = {name: log for log, names in self._older_logs.items() for name in names}
        held: dict[str, dict[str, MessageState]] = defaultdict(dict)
        for name, recovered in self._inner.held.items():
            copies = self._fleet.copies_of(recovered.message.message_class)
            log = placed.get(name, newest.get(copies + 1, ""))
            if log in self._metas:
                self._log_of[name] = log
                held[log][name] = self._copy_of(recovered)
            elif copies:
                self._local_only[name] = self._copy_of(recovered)
        for log, meta in list(self._metas.items()):
            # The log of an ended message is no longer known: reporting it as ended in every log is harmless.
            ended = dict(self._ended)
            self.machine.reopen(meta, held[log], ended, log in newest.values(), self._clock.now_us())

    def _copy_of(self, held: PendingMessage) -> MessageState:
        message = held.message
        copy = MessageState(base=(0, self._fleet.name, self.machine.incarnation))
        copy.add(Kind.TAKEN, copy.base, self._taken_record(message, held.taken_ms))
        for number, tried in held.tried.items():
            result = tried.result.value if tried.result is not None else ""
            copy.tried[0, self._fleet.name, number] = [tried.endpoint, tried.at_ms, result]
        if message.replies:
            copy.reply = [message.replies, message.noticed, message.reply]
        if held.end is not None:
            copy.owed = copy.base, [held.end.outcome.value, held.end.retry_ms]
        return copy

    def _taken_record(self, message: Message, now_ms: int) -> list[Any]:
        return [
            message.message_class,
            message.tenant,
            message.destination,
            message.key,
            message.body,
            message.deadline_ms,
            now_ms,
        ]

    # Interface to the core.

    @property
    def held(self) -> dict[str, PendingMessage]:
        """What the own journal holds, except messages of logs taken over before recovery finished."""
        lost = [name for name, log in self._log_of.items() if log not in self.machine.owners]
        for name in lost:
            self._inner.held.pop(name, None)
        return self._inner.held

    @property
    def earlier(self) -> LegacyState:
        """What an earlier release stored."""
        return self._inner.earlier

    def knows(self, name: str) -> bool:
        """Whether the message is known here: held, ended, relinquished, or ended for another relay."""
        known = name in self._log_of or name in self._ended_for_others or name in self._relinquished
        known = known or self._inner.knows(name)
        return known or self._held_for_other(name, live=False)

    def ended(self, name: str) -> End | None:
        """Return the outcome of an ended message from this relay's own journal, if it is remembered there."""
        return self._inner.ended(name)

    def fits(self, size: int) -> bool:
        """Whether this relay's own journal has space for a message with a body of `size` bytes."""
        return self._inner.fits(size)

    def retry_us(self, size: int) -> int:
        """Microseconds after which a message that did not fit may be retried."""
        return self._inner.retry_us(size)

    def refuses(self, message: Message) -> Refusal | None:
        """Refuse a message that too few holders can store, or that another relay has accepted."""
        if self._held_for_other(message.name, live=True):
            return Refusal(Reason.FOLLOWED, ELSEWHERE_RETRY_US)
        if self._fleet.when_short is WhenShort.REFUSE and self._too_few_holders(message):
            return Refusal(Reason.SHORT, TOO_FEW_HOLDERS_RETRY_US)
        return None

    def _held_for_other(self, name: str, live: bool) -> bool:
        """Whether a holding here for another relay has the message: live, or only as ended."""
        logs = self.machine.holder.logs.values()
        found = [state for state in (held_log.copies.get(name) for held_log in logs) if state is not None]
        any_live = any(state.live for state in found)
        return any_live if live else bool(found) and not any_live

    def _too_few_holders(self, message: Message) -> bool:
        copies = self._fleet.copies_of(message.message_class)
        if not copies:
            return False
        owner = self.machine.log_for(copies, self._clock.now_us())
        return owner is None or owner.short

    def take(self, message: Message, now_ms: int) -> None:
        """Record a message here and at holders; `OSError` if not recorded or holders are too few."""
        copies = self._fleet.copies_of(message.message_class)
        short = self._too_few_holders(message)
        if short and self._fleet.when_short is WhenShort.REFUSE:
            raise OSError("too few relays can hold it")
        self._inner.take(message, now_ms)
        if not copies:
            return
        fields = self._taken_record(message, now_ms)
        owner = self.machine.log_for(copies, self._clock.now_us())
        if short or owner is None:
            copy = self._local_only[message.name] = MessageState(
                base=(0, self._fleet.name, self.machine.incarnation)
            )
            copy.add(Kind.TAKEN, copy.base, fields)
            self.accepted_unreplicated += 1
            return
        self._log_of[message.name] = owner.meta.log
        self._record(message.name, Kind.TAKEN, fields)

    def promise(self, message: Message, kept: Callback, broken: Callable[[bool], object]) -> None:
        """Run `kept` once an accepted message is committed; it is withdrawn if that takes too long."""
        if not self._waits(message.name):
            self._inner.after(kept)
            return
        deadline_us = self._clock.now_us() + self._fleet.bound_ms * 1000
        self._pending_hand_ins[message.name] = PendingHandIn(message, kept, broken, deadline_us)

    def reply(self, message: Message) -> None:
        """Record a message's reply address here and at its holders; `OSError` if it was not recorded."""
        if not self._other_origin(message.name):
            self._inner.reply(message)
        self._record(message.name, Kind.REPLY, [message.replies, message.noticed, message.reply])

    def attempt(self, attempt: Attempt, now_ms: int) -> None:
        """Record an attempt; it is not replicated if a repeated attempt is harmless."""
        message = attempt.message
        if not self._other_origin(message.name):
            self._inner.attempt(attempt, now_ms)
        if not self._repeat_harmless(message):
            self._record(message.name, Kind.ATTEMPT, [attempt.number, now_ms, attempt.endpoint])

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        """Record how an attempt ended; not replicated if a repeated attempt is harmless."""
        message = attempt.message
        if not self._other_origin(message.name):
            self._inner.outcome(attempt, how)
        if not self._repeat_harmless(message):
            self._record(message.name, Kind.OUTCOME, [attempt.number, how.result.value])

    def _repeat_harmless(self, message: Message) -> bool:
        """Whether a repeated attempt is harmless, so that attempts need not be replicated."""
        kind = self._settings.classes.get(message.message_class)
        return kind is not None and kind.effect is Effect.SAFE

    def owe(self, message: Message, end: End) -> None:
        """Record an outcome that has yet to be acknowledged."""
        if not self._other_origin(message.name):
            self._inner.owe(message, end)
        self._record(message.name, Kind.OWED, [end.outcome.value, end.retry_ms])

    def end(self, name: str, until_ms: int, now_ms: int, how: End | None = None) -> None:
        """Record that a message has ended; its name is remembered until `until_ms` (Unix time)."""
        if self._other_origin(name):
            self._ended_for_others[name] = until_ms
        else:
            self._inner.end(name, until_ms, now_ms, how)
        self._ended[name] = until_ms
        self._record(name, Kind.ENDED, [until_ms])
        self._local_only.pop(name, None)

    def _other_origin(self, name: str) -> bool:
        """Whether a message is in a log that originates at another relay."""
        return self._log_of.get(name, "") not in ("", *self._metas)

    def _record(self, name: str, kind: Kind, fields: list[Any]) -> None:
        if (copy := self._local_only.get(name)) is not None:
            copy.add(kind, copy.base, fields)
            return
        owner = self.machine.owners.get(self._log_of.get(name, ""))
        if owner is not None:
            owner.record(name, kind, fields, self._clock.now_us())
            self.outgoing_ready()

    @property
    def waits(self) -> bool:
        """Always true: records are complete only once they are stored at enough holders."""
        return True

    def after(self, callback: Callback, name: str = "", never: Callback | None = None) -> None:
        """Run a callback once a message's records are durable; `never` if another relay took it over."""
        if self._waits(name):
            self._callbacks[name].append((callback, never))
        elif name in self._log_of and self._log_of[name] not in self.machine.owners:
            if never is not None:
                never()
        else:
            self._inner.after(callback)

    def _waits(self, name: str) -> bool:
        owner = self.machine.owners.get(self._log_of.get(name, ""))
        return owner is not None and owner.waits(name)

    def work(self) -> int | None:
        """Run one slice of background work; returns the microseconds until the next call, or None."""
        return self._inner.work()

    # Callbacks from the replication state machine.

    def watermark(self) -> Watermark:
        """How much this relay's disk has ever stored; the value at startup until it is confirmed."""
        # A restored directory: writes of this process must not make up for the difference that reveals it.
        if not self.machine.confirmed:
            return self._startup_watermark
        return (*_as_watermark(self._inner.water), self._store.sequence)

    def wall_ms(self) -> int:
        """Unix time in milliseconds."""
        return self._clock.wall_ms()

    def random_fraction(self) -> float:
        """A random number from 0 to 1, from the operating system's source."""
        return random.SystemRandom().random()

    def watermark_observed(self, name: str, incarnation: str, watermark: Watermark) -> None:
        """Mark another relay's watermark as changed, to be persisted later."""
        self._changed_watermarks.add(name)

    def outdated_directory(self) -> None:
        """Require a restart: the directory is older than other relays have seen it."""
        self.restart_required()

    def until_ms(self, name: str) -> int:
        """Expiry of a message's name as Unix time in milliseconds; if not ended here, counted from now."""
        return self._ended.get(name, self._clock.wall_ms() + int(self._fleet.remember_s * 1000))

    def opened(self, meta: LogMetadata, older: dict[str, list[str]]) -> None:
        """Persist that a log is the newest, and which messages are in older ones; `OSError` if that fails."""
        self._metas[meta.log] = meta
        self._older_logs = older
        self._save()

    def _save(self) -> None:
        """Persist the list of logs, before anything is recorded in a new one."""
        owners = self.machine.owners
        self._metas = {
            log: it
            for log, it in self._metas.items()
            if log in owners or log in self.machine.newest.values() or log not in self._older_logs
        }
        stored = {
            "metas": [meta.encoded() for meta in self._metas.values()],
            "older": {log: names for log, names in self._older_logs.items() if log in self._metas},
        }
        path, new = self._folder / LOGS_FILE, self._folder / f"{LOGS_FILE}.new"
        new.write_text(json.dumps(stored), encoding="utf-8")
        os.replace(new, path)

    def committed(self, log: str, name: str) -> None:
        """Run everything that waited for a message's records to be committed."""
        if self._log_of.get(name) != log:
            return
        if (pending := self._pending_hand_ins.pop(name, None)) is not None:
            if pending.withdrawn:
                pending.broken(True)
            else:
                self._inner.after(pending.kept)
        for callback, _ in self._callbacks.pop(name, ()):
            self._inner.after(callback)
        if name in self._ended and name in self._log_of:
            del self._log_of[name]

    def adopted(self, log: str, copies: dict[str, MessageState]) -> None:
        """Resume the messages of a log that this relay has taken over, except those already known."""
        taken_over: list[PendingMessage] = []
        for name, copy in copies.items():
            relinquished = self._relinquished.pop(name, None) is not None
            known_here = self._inner.knows(name) and not relinquished
            if known_here or name in self._log_of or copy.taken is None:
                # Either this relay already has the message, or nothing but its name is known.
                owner = self.machine.owners[log]
                owner.record(name, Kind.ENDED, [self.until_ms(name)], self._clock.now_us())
                continue
            self._log_of[name] = log
            taken_over.append(to_held(name, copy))
        self.adopt(taken_over)
        self.outgoing_ready()

    def superseded(self, log: str, names: list[str], kept: bool) -> None:
        """Stop work on messages that another relay has taken over, and run their `never` callbacks."""
        mine = [name for name in names if self._log_of.get(name) == log]
        self.relinquish(mine)
        now_ms = self._clock.wall_ms()
        for name in mine:
            foreign = self._other_origin(name)
            del self._log_of[name]
            until_ms = now_ms + int(self._fleet.remember_s * 1000)
            self._relinquished[name] = until_ms
            if kept and not foreign:
                self._inner.end(name, until_ms, now_ms)
            self._pending_hand_ins.pop(name, None)
            for _, never in self._callbacks.pop(name, ()):
                if never is not None:
                    never()
        if kept and log in self._metas:
            del self._metas[log]
            self._save()

    # Time.

    def tick(self) -> None:
        """Withdraw late hand-ins, advance the state machine and replicate local-only messages."""
        now_us, now_ms = self._clock.now_us(), self._clock.wall_ms()
        for pending in list(self._pending_hand_ins.values()):
            if pending.deadline_us <= now_us and not pending.withdrawn:
                self._withdraw(pending, now_us, now_ms)
        self.machine.tick(now_us)
        if self._local_only:
            self._replicate_local_only(now_us)
        self.outgoing_ready()

    def _withdraw(self, pending: PendingHandIn, now_us: int, now_ms: int) -> None:
        """Withdraw a message whose client can't be told in time that it is stored."""
        message = pending.message
        owner = self.machine.owners.get(self._log_of.get(message.name, ""))
        if owner is None:
            return
        pending.withdrawn = True
        until_ms = now_ms + int(self._fleet.remember_s * 1000)
        self._inner.end(message.name, until_ms, now_ms)
        self._ended[message.name] = until_ms
        pending.broken(False)  # it has ended here, whether or not the client can be told
        owner.withdraw(message.name, until_ms, now_us)

    def _replicate_local_only(self, now_us: int) -> None:
        for name, copy in list(self._local_only.items()):
            if copy.taken is None:
                continue
            owner = self.machine.log_for(self._fleet.copies_of(copy.taken[0]), now_us)
            if owner is not None and not owner.short:
                del self._local_only[name]
                self._log_of[name] = owner.meta.log
                owner.adopt(name, copy, now_us)

    def run_maintenance(self) -> None:
        """Run maintenance; call once a second."""
        now_ms = self._clock.wall_ms()
        for name in list(self._changed_watermarks):
            peer = self.machine.peers[name]
            for incarnation, watermark in peer.watermark.items():
                self._store.watermark_observed(name, incarnation, watermark)
        self._changed_watermarks.clear()
        for names in (self._ended, self._ended_for_others, self._relinquished):
            for name in [name for name, until_ms in names.items() if until_ms < now_ms]:
                del names[name]
        if self.accepted_unreplicated != self._logged_unreplicated:
            self._logged_unreplicated = self.accepted_unreplicated
            total, local_only = self.accepted_unreplicated, len(self._local_only)
            log_line(f"copies: {total} messages accepted without replicas, {local_only} on this disk only")
        self.machine.retire()
        self._store.work()


def to_held(name: str, copy: MessageState) -> PendingMessage:
    """Convert a replicated message for the core to resume."""
    assert copy.taken is not None
    message_class, tenant, destination, key, body, deadline_ms, taken_ms = copy.taken
    message = Message(name, message_class, tenant, destination, key, body, deadline_ms, taken=True)
    message.replies, message.noticed, message.reply = copy.reply
    tried = {
        number: PreviousAttempt(str(endpoint), int(at_ms), Result(result) if result else None)
        for number, (_, (endpoint, at_ms, result)) in enumerate(sorted(copy.tried.items()))
    }
    held = PendingMessage(message, tried, taken_ms=taken_ms)
    if copy.owed is not None:
        outcome, retry_ms = copy.owed[1]
        _, noticed, reply = copy.reply
        held.end = End(name, Outcome(outcome), retry_ms, reply=reply, noticed=noticed)
        message.over = True
    return held


def _as_watermark(watermark: tuple[int, int]) -> tuple[int, ...]:
    """Combine segment number and size into one number: a later segment outweighs any size."""
    number, size = watermark
    return (number << 40 | size,)


def _ignore() -> None:
    """Default callback."""


def _ignore_argument(_: object) -> None:
    """Default callback."""
