"""The round: what happened on the sockets goes to the decision module, its actions become I/O."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from itertools import groupby

from amberlug.calls import Caller, Pool
from amberlug.discovery import News, log
from amberlug.journal import Held, Journal, Memory
from amberlug.messages import Attempt, Ending, Exchange, Message
from amberlug.notices import Notice, Notices
from amberlug.turns import Turns
from stoatusher import interface as api
from stoatusher.interface import Result
from stoatusher.lasting import LastingSender

SECOND = 1_000_000
BUSY_RETRY_US = SECOND  # when a client may come again that this relay has no room for
CLOSED_RETRY_US = SECOND // 2  # the same from one that closes: other relays are there, and known by then


def wall_ms() -> int:
    """Read the wall clock: only what must hold across restarts counts by it."""
    return int(time.time() * 1000)


class Node:
    """Owns the module, its clock and timers, and the record of every message held."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        journal: Journal,
        where: tuple[str, int],
        links: int,
        turns: Turns,
    ) -> None:
        self._settings, self._journal, self._turns = settings, journal, turns
        self._sender = LastingSender(settings, seed)
        self._pool = Pool(settings, links)
        self._caller = Caller(settings, self._pool, self.clock, self._clear, self._attempt_ended)
        self.notices = Notices(where, self._noticed)
        self._messages: dict[int, Message] = {}
        self._names: dict[str, Message] = {}
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._noticing: dict[str, int] = {}
        self._events: list[api.Event] = []
        self._round_at: asyncio.TimerHandle | None = None
        self._last_us = self._last_round_us = self._remembered_us = self._refs = 0
        self.ready = self.closing = False

    def clock(self) -> int:
        """Read the one clock, which never goes back."""
        self._last_us = max(self._last_us, int(asyncio.get_running_loop().time() * SECOND))
        return self._last_us

    @property
    def busy(self) -> bool:
        """Whether a call is out or a notice is unanswered."""
        return self._caller.busy or self.notices.waiting

    # What happens on the sockets.

    def restore(self) -> None:
        """Go on with what the journal holds, the oldest first."""
        now_ms = wall_ms()
        self._events.append(api.Remembered(self._remembered(now_ms)))
        for held in self._journal.held.values():
            if held.notice is not None:
                self._noticing[held.message.name] = held.message.deadline_ms
                self.notices.add(held.notice)
            else:
                self._resume(held, now_ms)
        self._journal.held.clear()
        self._round()
        self.ready = True

    def _remembered(self, now_ms: int) -> tuple[api.Seen, ...]:
        """Put what the last life saw into this one's clock."""
        memory = self._journal.memory
        shift_us = self.clock() - memory.clock_us - max(0, now_ms - memory.wall_ms) * 1000
        return tuple(
            replace(
                it,
                since_us=it.since_us + shift_us,
                failed_us=it.failed_us + shift_us,
                done_us=it.done_us + shift_us,
                back_us=None if it.back_us is None else it.back_us + shift_us,
                learned_us=it.learned_us + shift_us,
            )
            for it in memory.seen
        )

    def close(self) -> None:
        """Take nothing on and start no calls from now on; what is out is still collected."""
        self.closing = True
        self._tell(api.Closing())

    def _resume(self, held: Held, now_ms: int) -> None:
        message = held.message
        if message.message_class not in self._settings.classes:
            log(f"journal: message {message.name} has no class here: given up")
            self._end_by_notice(message, Notice(message.name, "given_up", 0))
            return
        self._enlist(message)
        message.attempts = max(held.tried, default=-1) + 1
        earlier = tuple(
            api.Earlier(it.endpoint, max(0, now_ms - it.at_ms) * 1000, it.result)
            for it in held.tried.values()
        )
        taken = self._taken(message, (message.deadline_ms - now_ms) * 1000, 0)
        self._events.append(api.Resumed(taken, message.attempts, earlier))

    def _enlist(self, message: Message) -> None:
        self._refs += 1
        message.ref = self._refs
        self._messages[message.ref] = self._names[message.name] = message

    def _taken(self, message: Message, left_us: int, waited_us: int) -> api.Taken:
        return api.Taken(
            message.ref, message.destination, message.message_class, message.tenant, None, left_us, waited_us
        )

    def serves(self, destination: int) -> bool:
        """Whether a list has named that destination."""
        return self._sender.serves(destination)

    def hand_in(self, message: Message, left_us: int, exchange: Exchange) -> None:
        """Answer a hand-in at once where the module need not be asked, else in the next round."""
        if (known := self._names.get(message.name)) is not None and not known.taken:
            known.exchanges.append(exchange)
        elif known is not None or self._journal.knows(message.name):
            exchange.answer(202)  # it was taken on before: never taken twice
        elif self.closing:
            exchange.answer(503, "closing", CLOSED_RETRY_US)
        elif len(self._messages) >= self._settings.max_open or not self._journal.fits(len(message.body)):
            exchange.answer(503, "no room", BUSY_RETRY_US)
        else:
            message.exchanges.append(exchange)
            self._enlist(message)
            self._tell(self._taken(message, left_us, self._turns.waited_us()))

    def hung_up(self, exchange: Exchange) -> None:
        """Withdraw a message whose every client hung up before it was answered."""
        for message in [it for it in self._messages.values() if exchange in it.exchanges]:
            message.exchanges.remove(exchange)
            if not message.exchanges and not message.taken:
                self._forget(message)
                self._tell(api.Withdrawn(message.ref))

    def listed(self, news: News, kind: api.ListKind | None = None) -> None:
        """Pass the list's news on, in the round that reads it."""
        told = kind or (api.ListKind.WHOLE if news.whole else api.ListKind.PATCH)
        for entry in news.entries:
            # Guards against connections that idle at what drains: calls that are out keep theirs.
            wanted = entry.state is api.State.IN
            self._pool.locate(entry.endpoint, news.addresses[entry.endpoint] if wanted else None)
        if news.whole:
            for endpoint in [it for it in self._pool.located() if it not in news.addresses]:
                self._pool.locate(endpoint, None)
        self._events.append(api.Listed(told, news.entries))
        self._round()

    def _attempt_ended(self, attempt: Attempt, how: Ending) -> None:
        message = attempt.message
        del self._attempts[message.ref, attempt.number]
        now = self.clock()
        delivered = how.result is Result.DONE or how.over
        if message.ref in self._messages:
            if delivered:
                self._forget(message)
                self._journal.end(message.name, message.deadline_ms, wall_ms())
            else:
                self._journal.outcome(attempt, how)
        self._tell(
            api.Outcome(
                ref=message.ref,
                attempt=attempt.number,
                endpoint=attempt.endpoint,
                result=how.result,
                ended=delivered or message.over,
                took_us=now - attempt.start_us,
                wait_us=how.wait_us,
                report=how.report,
                reused=attempt.reused,
            )
        )

    def _noticed(self, name: str) -> None:
        self._journal.end(name, self._noticing.pop(name, 0), wall_ms())

    # The round.

    def _tell(self, event: api.Event) -> None:
        """Have an event dealt with, with all others of the same tick."""
        self._events.append(event)
        if self._round_at is None:
            wait_us = self._last_round_us + self._settings.granularity_us - self.clock()
            self._round_at = asyncio.get_running_loop().call_later(max(0, wait_us) / SECOND, self._round)

    def _round(self) -> None:
        if self._round_at is not None:
            self._round_at.cancel()
            self._round_at = None
        events, self._events = self._events, []
        self._last_round_us = self.clock()
        actions = self._sender.step(self._last_round_us, events)
        ends = {it.ref: it for it in actions if isinstance(it, api.Refuse | api.Fail)}
        self._end(ends.values())
        for event in events:
            if isinstance(event, api.Taken) and event.ref in self._messages:
                self._answer(self._messages[event.ref], ends.get(event.ref))
        self._carry_out(actions)
        if self._last_round_us - self._remembered_us > SECOND:
            self._remembered_us = self._last_round_us
            self._journal.remember(Memory(wall_ms(), self._last_round_us, self._sender.seen()))

    def _answer(self, message: Message, end: api.Refuse | api.Fail | None) -> None:
        """Answer a client: taken on once the journal has it, or refused."""
        exchanges, message.exchanges = message.exchanges, []
        if end is None:
            try:
                self._journal.take(message)
                message.taken = True
            except OSError as error:  # what it can't hold is refused, and its sends are not made
                log(f"journal: {error}")
                self._tell(api.Withdrawn(message.ref))
        if not message.taken:
            self._forget(message)
        for exchange in exchanges:
            if message.taken:
                exchange.answer(202)
            else:
                advice_us = end.advice_us if isinstance(end, api.Refuse) else 0
                exchange.answer(429, "refused", advice_us or BUSY_RETRY_US)

    def _carry_out(self, actions: Sequence[api.Action]) -> None:
        sends: list[api.Send] = []
        for action in actions:
            match action:
                case api.Send():
                    sends.append(action)
                case api.CallOff(ref, number):
                    if (attempt := self._attempts.get((ref, number))) is not None:
                        self._caller.call_off(attempt)
                case api.Timer(label, after_us):
                    self._set_timer(label, after_us)
                case api.Probe(endpoint):
                    self._probe(endpoint)
                case api.CloseIdle(endpoint):
                    self._pool.close_idle(endpoint)
                case api.Log(text):
                    log(text)
                case api.Refuse() | api.Fail() | api.Subscribe() | api.Fetch() | api.Tell():
                    pass  # ended before; the watch is always on, and relays can't talk to each other
        self._send(sends)

    def _send(self, sends: list[api.Send]) -> None:
        """Send together what the module bundles in one call."""
        for (endpoint, _), group in groupby(sends, lambda it: (it.endpoint, it.call)):
            bundle = list(group)
            self._caller.call(endpoint, [self._attempt(send) for send in bundle], bundle[0].fresh)

    def _attempt(self, send: api.Send) -> Attempt:
        message = self._messages[send.ref]
        attempt = Attempt(message, message.attempts, send.endpoint, self._last_round_us, send.until_us)
        message.attempts += 1
        self._attempts[send.ref, attempt.number] = attempt
        return attempt

    def _clear(self, attempts: Sequence[Attempt]) -> list[Attempt]:
        """Tell which attempts may still leave, and record them before their first byte does."""
        now = self.clock()
        cleared = []
        for attempt in attempts:
            over = self.closing or attempt.called_off or attempt.message.over or attempt.until_us <= now
            if not over and self._sender.may_start(now, attempt.message.ref, attempt.endpoint):
                try:
                    self._journal.attempt(attempt, wall_ms())
                except OSError as error:  # an attempt that is not recorded could be made twice
                    log(f"journal: {error}")
                    continue
                cleared.append(attempt)
        return cleared

    def _set_timer(self, label: int, after_us: int) -> None:
        loop = asyncio.get_running_loop()
        loop.call_at((self._last_round_us + after_us) / SECOND + 1e-6, self._tell, api.Due(label))

    def _probe(self, endpoint: str) -> None:
        start = self.clock()

        def ended(how: Ending) -> None:
            self._tell(api.Probed(endpoint, how.result, self.clock() - start, how.report))

        self._caller.probe(endpoint, ended)

    def _end(self, ends: Iterable[api.Refuse | api.Fail]) -> None:
        """Tell the ends of messages that were taken on; one that was not is answered."""
        # Guards against ends that come late because of what else a round brings: they go out first.
        for end in ends:
            if (message := self._messages.get(end.ref)) is not None and message.taken:
                advice_us = end.advice_us if isinstance(end, api.Refuse) else 0
                outcome = "handed_back" if isinstance(end, api.Refuse) else "given_up"
                self._end_by_notice(message, Notice(message.name, outcome, advice_us // 1000))
        self.notices.send()

    def _end_by_notice(self, message: Message, notice: Notice) -> None:
        self._forget(message)
        self._noticing[message.name] = message.deadline_ms
        self._journal.notice(message, notice)
        self.notices.add(notice)

    def _forget(self, message: Message) -> None:
        message.over = True
        self._messages.pop(message.ref, None)
        self._names.pop(message.name, None)
