"""The core's journal where "recorded" means recorded here and at others: the one place that the core asks.

What this relay takes on goes to its own journal first, then to the log's holders. What it goes on with for
another relay is in no journal of its own: the log's holders have it, of which it is one.
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

from amberlug.copies.machine import Machine, Water
from amberlug.copies.states import Copy, Kind, Meta, meta_of
from amberlug.copies.store import CopyStore
from amberlug.core.journal import Journal
from amberlug.core.log import log as say
from amberlug.core.messages import Attempt, AttemptResult, End, Message, Outcome, Reason, Refusal
from amberlug.core.ports import Clock, LegacyState, PendingMessage, PreviousAttempt
from amberlug.peers.fleet import Fleet, WhenShort
from amberlug.policy.interface import Effect, Result, Settings

LOGS = "logs.json"  # which logs are this folder's own
SHORT_RETRY_US = 1_000_000  # when a client may come again that too few relays are there for
ELSEWHERE_RETRY_US = 500_000  # the same, of what another relay has
Callback = Callable[[], object]


@dataclass(slots=True)
class Promise:
    """A hand-in whose client waits for its answer."""

    message: Message
    kept: Callback
    broken: Callable[[bool], object]
    until_us: int
    withdrawn: bool = False


class CopiedJournal:
    """The journal of a relay in a fleet; everything goes on in the thread of its node.

    `adopt` is told what another relay held, `relinquish` which messages it goes on with, `renew` that the
    folder is older than what others have seen of it: it must begin anew under another incarnation.
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
        self._log_of: dict[str, str] = {}  # of messages that others hold, too
        self._alone: dict[str, Copy] = {}  # of messages that were taken on short
        self._followed_for: dict[
            str, int
        ] = {}  # names that ended here, of other relays' logs, and until when
        self._let_go: dict[str, int] = {}  # names that another relay went on with, which may come back
        self._callbacks: dict[str, list[tuple[Callback, Callback | None]]] = defaultdict(list)
        self._promises: dict[str, Promise] = {}
        self._ended = inner.known()
        self._dirty: set[str] = set()
        self.taken_short = self._told_short = 0
        self.adopt: Callable[[list[PendingMessage]], None] = _nobody
        self.relinquish: Callable[[list[str]], None] = _nobody
        self.renew: Callback = _nothing
        self.wake: Callback = _nothing  # something is to be sent
        self._first_water = (*_pair(inner.water), store.sequence)
        self.machine = Machine(fleet, incarnation, store, self, clock.now_us(), fresh)
        self.machine.holder.logs = store.logs
        for name, (own, water) in store.seen.items():
            if (it := self.machine.neighbours.get(name)) is not None:
                it.water, it.incarnation = {own: water}, own
        self._metas: dict[str, Meta] = {}
        self._older: dict[str, list[str]] = {}
        self._reopen()

    def begin_anew(self, incarnation: str, store: CopyStore) -> None:
        """Go on as another incarnation, which holds nothing and owns nothing yet."""
        now_ms = self._clock.wall_ms()
        names = list(self._log_of)
        self.relinquish(names)
        for name in names:
            until_ms = now_ms + int(self._fleet.remember_s * 1000)
            if self._foreign(name):
                self._followed_for[name] = until_ms
            else:
                self._inner.end(name, until_ms, now_ms)
            for _, never in self._callbacks.pop(name, ()):
                if never is not None:
                    never()
        self._log_of, self._promises, self._metas, self._older = {}, {}, {}, {}
        self._store = store
        before = self.machine
        self.machine = Machine(self._fleet, incarnation, store, self, self._clock.now_us(), True)
        self.machine.holder.logs = store.logs
        for name, it in before.neighbours.items():
            self.machine.neighbours[name].water = it.water

    # An earlier life.

    def _reopen(self) -> None:
        """Go on with the logs of this folder, and what its own journal holds of them."""
        try:
            told = json.loads((self._folder / LOGS).read_text(encoding="utf-8"))
        except FileNotFoundError:
            return
        metas = [meta_of(it) for it in told["metas"]]
        own = (self._fleet.name, self.machine.incarnation)
        self._metas = {it.log: it for it in metas if (it.origin, it.incarnation) == own}
        self._older = {log: list(names) for log, names in told["older"].items() if log in self._metas}
        newest = {meta.need: log for log, meta in self._metas.items()}
        placed = {name: log for log, names in self._older.items() for name in names}
        held: dict[str, dict[str, Copy]] = defaultdict(dict)
        for name, it in self._inner.held.items():
            copies = self._fleet.copies_of(it.message.message_class)
            log = placed.get(name, newest.get(copies + 1, ""))
            if log in self._metas:
                self._log_of[name] = log
                held[log][name] = self._copy_of(it)
            elif copies:
                self._alone[name] = self._copy_of(it)
        for log, meta in list(self._metas.items()):
            # Which log a name was in that has ended is not known any more: said of each it does no harm.
            ended = dict(self._ended)
            self.machine.reopen(meta, held[log], ended, log in newest.values(), self._clock.now_us())

    def _copy_of(self, held: PendingMessage) -> Copy:
        message = held.message
        copy = Copy(base=(0, self._fleet.name, self.machine.incarnation))
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

    # What the core asks and tells.

    @property
    def held(self) -> dict[str, PendingMessage]:
        """What the own journal holds, less what was followed before anything began."""
        lost = [name for name, log in self._log_of.items() if log not in self.machine.owners]
        for name in lost:
            self._inner.held.pop(name, None)
        return self._inner.held

    @property
    def earlier(self) -> LegacyState:
        """What an earlier release kept."""
        return self._inner.earlier

    def knows(self, name: str) -> bool:
        known = name in self._log_of or name in self._followed_for or name in self._let_go
        known = known or self._inner.knows(name)
        return known or self._elsewhere(name, live=False)

    def ended(self, name: str) -> End | None:
        return self._inner.ended(name)

    def fits(self, size: int) -> bool:
        return self._inner.fits(size)

    def retry_us(self, size: int) -> int:
        return self._inner.retry_us(size)

    def refuses(self, message: Message) -> Refusal | None:
        """Refuse what too few can hold, and what another relay has taken on, or goes on with."""
        if self._elsewhere(message.name, live=True):
            return Refusal(Reason.FOLLOWED, ELSEWHERE_RETRY_US)
        if self._fleet.when_short is WhenShort.REFUSE and self._short(message):
            return Refusal(Reason.SHORT, SHORT_RETRY_US)
        return None

    def _elsewhere(self, name: str, live: bool) -> bool:
        """Whether this relay holds a message for another one that is live, or one that has ended."""
        logs = self.machine.holder.logs.values()
        found = [it for it in (of.copies.get(name) for of in logs) if it is not None]
        return any(it.live for it in found) if live else bool(found) and not any(it.live for it in found)

    def _short(self, message: Message) -> bool:
        copies = self._fleet.copies_of(message.message_class)
        if not copies:
            return False
        owner = self.machine.log_for(copies, self._clock.now_us())
        return owner is None or owner.short

    def take(self, message: Message, now_ms: int) -> None:
        copies = self._fleet.copies_of(message.message_class)
        short = self._short(message)
        if short and self._fleet.when_short is WhenShort.REFUSE:
            raise OSError("too few relays can hold it")
        self._inner.take(message, now_ms)
        if not copies:
            return
        told = self._taken_record(message, now_ms)
        owner = self.machine.log_for(copies, self._clock.now_us())
        if short or owner is None:
            copy = self._alone[message.name] = Copy(base=(0, self._fleet.name, self.machine.incarnation))
            copy.add(Kind.TAKEN, copy.base, told)
            self.taken_short += 1
            return
        self._log_of[message.name] = owner.meta.log
        self._record(message.name, Kind.TAKEN, told)

    def promise(self, message: Message, kept: Callback, broken: Callable[[bool], object]) -> None:
        if not self._waits(message.name):
            self._inner.after(kept)
            return
        until_us = self._clock.now_us() + self._fleet.bound_ms * 1000
        self._promises[message.name] = Promise(message, kept, broken, until_us)

    def reply(self, message: Message) -> None:
        if not self._foreign(message.name):
            self._inner.reply(message)
        self._record(message.name, Kind.REPLY, [message.replies, message.noticed, message.reply])

    def attempt(self, attempt: Attempt, now_ms: int) -> None:
        message = attempt.message
        if not self._foreign(message.name):
            self._inner.attempt(attempt, now_ms)
        if not self._harmless(message):
            self._record(message.name, Kind.ATTEMPT, [attempt.number, now_ms, attempt.endpoint])

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        message = attempt.message
        if not self._foreign(message.name):
            self._inner.outcome(attempt, how)
        if not self._harmless(message):
            self._record(message.name, Kind.OUTCOME, [attempt.number, how.result.value])

    def _harmless(self, message: Message) -> bool:
        """Whether a repeat does no harm, so that nobody else need know of an attempt."""
        kind = self._settings.classes.get(message.message_class)
        return kind is not None and kind.effect is Effect.SAFE

    def owe(self, message: Message, end: End) -> None:
        if not self._foreign(message.name):
            self._inner.owe(message, end)
        self._record(message.name, Kind.OWED, [end.outcome.value, end.retry_ms])

    def end(self, name: str, until_ms: int, now_ms: int, how: End | None = None) -> None:
        if self._foreign(name):
            self._followed_for[name] = until_ms
        else:
            self._inner.end(name, until_ms, now_ms, how)
        self._ended[name] = until_ms
        self._record(name, Kind.ENDED, [until_ms])
        self._alone.pop(name, None)

    def _foreign(self, name: str) -> bool:
        """Whether a message is in a log of which this relay is not the origin."""
        return self._log_of.get(name, "") not in ("", *self._metas)

    def _record(self, name: str, kind: Kind, told: list[Any]) -> None:
        if (copy := self._alone.get(name)) is not None:
            copy.add(kind, copy.base, told)
            return
        owner = self.machine.owners.get(self._log_of.get(name, ""))
        if owner is not None:
            owner.record(name, kind, told, self._clock.now_us())
            self.wake()

    @property
    def waits(self) -> bool:
        return True

    def after(self, callback: Callback, name: str = "", never: Callback | None = None) -> None:
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
        return self._inner.work()

    # What the machine asks and tells.

    def water(self) -> Water:
        # Guards against a folder that was put back: what this life writes must not make up for the rest.
        if not self.machine.confirmed:
            return self._first_water
        return (*_pair(self._inner.water), self._store.sequence)

    def wall_ms(self) -> int:
        return self._clock.wall_ms()

    def draw(self) -> float:
        return random.SystemRandom().random()

    def saw(self, name: str, incarnation: str, water: Water) -> None:
        self._dirty.add(name)

    def old_folder(self) -> None:
        self.renew()

    def until_ms(self, name: str) -> int:
        return self._ended.get(name, self._clock.wall_ms() + int(self._fleet.remember_s * 1000))

    def opened(self, meta: Meta, older: dict[str, list[str]]) -> None:
        self._metas[meta.log] = meta
        self._older = older
        self._save()

    def _save(self) -> None:
        """Keep which logs there are; before anything is recorded in a new one."""
        owners = self.machine.owners
        self._metas = {
            log: it
            for log, it in self._metas.items()
            if log in owners or log in self.machine.newest.values() or log not in self._older
        }
        told = {
            "metas": [it.packed() for it in self._metas.values()],
            "older": {log: names for log, names in self._older.items() if log in self._metas},
        }
        path, new = self._folder / LOGS, self._folder / f"{LOGS}.new"
        new.write_text(json.dumps(told), encoding="utf-8")
        os.replace(new, path)

    def counted(self, log: str, name: str) -> None:
        """Go on with all that waited for a message's records."""
        if self._log_of.get(name) != log:
            return
        if (promise := self._promises.pop(name, None)) is not None:
            if promise.withdrawn:
                promise.broken(True)
            else:
                self._inner.after(promise.kept)
        for callback, _ in self._callbacks.pop(name, ()):
            self._inner.after(callback)
        if name in self._ended and name in self._log_of:
            del self._log_of[name]

    def adopted(self, log: str, copies: dict[str, Copy]) -> None:
        ones: list[PendingMessage] = []
        for name, copy in copies.items():
            let_go = self._let_go.pop(name, None) is not None
            own = self._inner.knows(name) and not let_go
            if own or name in self._log_of or copy.taken is None:
                # It is this relay's own already, or nothing more is known of it than its name.
                owner = self.machine.owners[log]
                owner.record(name, Kind.ENDED, [self.until_ms(name)], self._clock.now_us())
                continue
            self._log_of[name] = log
            ones.append(held_of(name, copy))
        self.adopt(ones)
        self.wake()

    def followed(self, log: str, names: list[str], kept: bool) -> None:
        mine = [name for name in names if self._log_of.get(name) == log]
        self.relinquish(mine)
        now_ms = self._clock.wall_ms()
        for name in mine:
            foreign = self._foreign(name)
            del self._log_of[name]
            until_ms = now_ms + int(self._fleet.remember_s * 1000)
            self._let_go[name] = until_ms
            if kept and not foreign:
                self._inner.end(name, until_ms, now_ms)
            self._promises.pop(name, None)
            for _, never in self._callbacks.pop(name, ()):
                if never is not None:
                    never()
        if kept and log in self._metas:
            del self._metas[log]
            self._save()

    # Time.

    def tick(self) -> None:
        """Do what time asks for: hand-ins that wait for too long, what was taken short, what is forgotten."""
        now_us, now_ms = self._clock.now_us(), self._clock.wall_ms()
        for promise in list(self._promises.values()):
            if promise.until_us <= now_us and not promise.withdrawn:
                self._withdraw(promise, now_us, now_ms)
        self.machine.tick(now_us)
        if self._alone:
            self._make_whole(now_us)
        self.wake()

    def _withdraw(self, promise: Promise, now_us: int, now_ms: int) -> None:
        """Have nobody hold a message whose client can't be told in time that it is held."""
        message = promise.message
        owner = self.machine.owners.get(self._log_of.get(message.name, ""))
        if owner is None:
            return
        promise.withdrawn = True
        until_ms = now_ms + int(self._fleet.remember_s * 1000)
        self._inner.end(message.name, until_ms, now_ms)
        self._ended[message.name] = until_ms
        promise.broken(False)  # it is over here, whatever its client can be told
        owner.withdraw(message.name, until_ms, now_us)

    def _make_whole(self, now_us: int) -> None:
        for name, copy in list(self._alone.items()):
            if copy.taken is None:
                continue
            owner = self.machine.log_for(self._fleet.copies_of(copy.taken[0]), now_us)
            if owner is not None and not owner.short:
                del self._alone[name]
                self._log_of[name] = owner.meta.log
                owner.adopt(name, copy, now_us)

    def tidy(self) -> None:
        """Do what is due once a second."""
        now_ms = self._clock.wall_ms()
        for name in list(self._dirty):
            it = self.machine.neighbours[name]
            for own, water in it.water.items():
                self._store.saw(name, own, water)
        self._dirty.clear()
        for names in (self._ended, self._followed_for, self._let_go):
            for name in [name for name, until_ms in names.items() if until_ms < now_ms]:
                del names[name]
        if self.taken_short != self._told_short:
            self._told_short = self.taken_short
            say(f"copies: {self.taken_short} taken on short so far, {len(self._alone)} on this disk alone")
        self.machine.retire()
        self._store.work()


def held_of(name: str, copy: Copy) -> PendingMessage:
    """A message as the core goes on with it."""
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


def _pair(water: tuple[int, int]) -> tuple[int, ...]:
    """One number of a segment and a size: a larger segment counts for more than any size."""
    number, size = water
    return (number << 40 | size,)


def _nothing() -> None:
    """Nobody has to be told."""


def _nobody(_: object) -> None:
    """Nobody has to be told."""
