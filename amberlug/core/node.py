"""The event loop of the core: feeds events to the delivery policy and carries out its actions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import replace
from functools import partial
from itertools import chain, groupby

from amberlug.core.clock import SECOND
from amberlug.core.endpoint_addresses import EndpointAddresses
from amberlug.core.log import log
from amberlug.core.messages import (
    Attempt,
    AttemptResult,
    End,
    Message,
    Outcome,
    PendingRequest,
    Reason,
    Refusal,
)
from amberlug.core.ports import (
    Clock,
    EndpointListUpdate,
    Handle,
    Journal,
    LearningStore,
    Observer,
    OutcomeNotifier,
    PendingMessage,
    RequestedPause,
    Transport,
)
from amberlug.core.timers import Timers
from amberlug.policy import interface as api
from amberlug.policy.interface import Result
from amberlug.policy.lasting import LastingSender
from amberlug.policy.membership import BATCH, Comparison

BUSY_RETRY_US = SECOND  # default retry delay of a refusal
MAX_REPLY_CHANGES = 100  # limit on changes of a message's reply address: each writes a record
# Fraction of the message limit open to front ends whose senders can't be told of the outcome HANDED_BACK.
CROWDED_FRACTION = 0.8
SAVE_INTERVAL_US = 5 * SECOND  # interval between saves of learned state, except for urgent changes
SAVE_BATCH_SIZE = 32  # destinations saved per loop iteration; takes a millisecond or two
CLOSED_RETRY_US = SECOND // 2  # retry delay while closing: by then clients know of other relays


class Node:
    """Owns the delivery policy, its timers and the state of every held message; not thread-safe."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        journal: Journal,
        learning: LearningStore,
        transport: Transport,
        ends: OutcomeNotifier,
        clock: Clock,
        observer: Observer | None = None,
    ) -> None:
        self._settings, self._journal, self._transport, self._notifier = settings, journal, transport, ends
        self._observer, self._learning = observer, learning
        self._clock, self.now_us = clock, clock.now_us
        self._sender = LastingSender(settings, seed, learning.recall)
        self._addresses = EndpointAddresses(transport, self._sender.members.get)
        self._timers = Timers(
            clock, self._sender.stale, lambda label: self._post_event(api.TimerExpired(label))
        )
        transport.bind(self)
        ends.bind(self._acknowledged)
        self._messages: dict[int, Message] = {}
        self._names: dict[str, Message] = {}
        self._attempts: dict[tuple[int, int], Attempt] = {}
        # For each unacknowledged outcome: the deadline (Unix ms) until which its message's name counts as
        # used, and the outcome.
        self._owed: dict[str, tuple[int, End]] = {}
        self._events: list[api.Event] = []
        self._round_at: Handle | None = None
        self._save_at: Handle | None = None
        self._work_at: Handle | None = None
        self._last_round_us = self._refs = 0
        self.ready = self.closing = self._stopped = False

    @property
    def busy(self) -> bool:
        """Whether a call is in progress or an acknowledgement is outstanding."""
        return self._transport.busy or self._notifier.waiting

    # External events.

    def restore(self) -> None:
        """Resume the messages recovered from the journal, oldest first."""
        now_ms = self._clock.wall_ms()
        self._learning.take_over(self._journal.earlier, self._sender.members.get)
        for held in self._journal.held.values():
            if held.end is not None:
                self._owed[held.message.name] = held.message.deadline_ms, held.end
                self._journal.after(partial(self._report_outcome, held.end), held.message.name)
            else:
                self._resume(held, now_ms)
        self._journal.held.clear()
        self._round()
        self.ready = True

    def adopt(self, ones: Iterable[PendingMessage]) -> None:
        """Resume messages taken over from another relay, which are already in the journal."""
        now_ms = self._clock.wall_ms()
        for held in ones:
            if held.end is not None:
                self._owed[held.message.name] = held.message.deadline_ms, held.end
                self._journal.after(partial(self._report_outcome, held.end), held.message.name)
            else:
                self._resume(held, now_ms)
        self._post_event(api.TimerExpired(-1))  # matches no timer; only triggers a round

    def relinquish(self, names: Iterable[str]) -> None:
        """Drop messages that another relay has taken over; this relay reports no outcome for them."""
        for name in names:
            self._owed.pop(name, None)
            if (message := self._names.get(name)) is not None:
                self._remove_message(message)
                self._post_event(api.Withdrawn(message.ref))

    def close(self) -> None:
        """Stop accepting messages and starting calls; calls in progress still finish."""
        self.closing = True
        self._events.append(api.ShutdownStarted())
        self._round()

    def stop(self) -> None:
        """Process pending events, then stop; held messages are resumed after the next start."""
        if self._round_at is not None:
            self._round()
        self._stopped = True
        self.save_learned()
        self._timers.stop()
        for handle in (self._round_at, self._save_at, self._work_at):
            if handle is not None:
                handle.cancel()

    def _resume(self, held: PendingMessage, now_ms: int) -> None:
        message = held.message
        if message.message_class not in self._settings.classes:
            log(f"journal: message {message.name} has a class that is not configured; giving it up")
            self._finish(message, End(message.name, Outcome.GIVEN_UP))
            return
        self._register(message)
        message.attempts = max(held.tried, default=-1) + 1
        earlier = tuple(
            api.Earlier(it.endpoint, max(0, now_ms - it.at_ms) * 1000, it.result)
            for it in held.tried.values()
        )
        taken = self._taken_event(message, held.left_ms(now_ms) * 1000, 0)
        self._events.append(api.Resumed(taken, message.attempts, earlier))

    def _register(self, message: Message) -> None:
        self._refs += 1
        message.ref = self._refs
        self._messages[message.ref] = self._names[message.name] = message

    def _taken_event(self, message: Message, left_us: int, waited_us: int) -> api.Taken:
        return api.Taken(
            message.ref, message.destination, message.message_class, message.tenant, None, left_us, waited_us
        )

    def knows(self, name: str) -> bool:
        """Whether a message with that name was accepted and may not have reached its deadline."""
        known = self._names.get(name)
        return known.taken if known is not None else self._journal.knows(name)

    @property
    def crowded(self) -> bool:
        """Whether so many messages are held that the policy will soon have to end some as HANDED_BACK."""
        return len(self._messages) + 1 > self._settings.max_open * CROWDED_FRACTION

    def serves(self, destination: int) -> bool:
        """Whether the endpoint list contains that destination."""
        return self._sender.serves(destination)

    def hand_in(self, message: Message, left_us: int, waited_us: int, exchange: PendingRequest) -> None:
        """Process a submitted message: synchronously if the policy need not decide, else in the next round.

        `left_us` is the time until its deadline, `waited_us` the time it may have waited before it was read.
        """
        if (known := self._names.get(message.name)) is not None and not known.taken:
            known.exchanges.append(exchange)
            _replace_reply_address(known, message)
        elif known is not None or self._journal.knows(message.name):
            self._handle_duplicate(message, exchange)  # already accepted: never accept it twice
        elif self.closing:
            exchange.settle(Refusal(Reason.CLOSING, CLOSED_RETRY_US))
        elif len(self._messages) >= self._settings.max_open:
            exchange.settle(Refusal(Reason.NO_ROOM, BUSY_RETRY_US))
        # The reply address counts twice because the outcome record repeats it.
        elif not self._journal.fits(size := len(message.body) + 2 * len(message.reply)):
            exchange.settle(Refusal(Reason.NO_ROOM, self._journal.retry_us(size)))
            self._learning.free_disk_space()
            self._work()
        elif (refusal := self._journal.refuses(message)) is not None:
            exchange.settle(refusal)
        else:
            message.exchanges.append(exchange)
            self._register(message)
            self._learning.sent(message.tenant)
            self._post_event(self._taken_event(message, left_us, waited_us))

    def _handle_duplicate(self, message: Message, exchange: PendingRequest) -> None:
        """Confirm a message that was accepted before; its outcome goes to the new reply address, if any."""
        known = self._names.get(message.name)
        before = (known.reply, known.noticed, known.replies) if known is not None else (b"", True, 0)
        if known is not None and _replace_reply_address(known, message):
            try:
                if known.replies > MAX_REPLY_CHANGES:
                    raise OSError(f"message {message.name} was submitted with too many reply addresses")
                self._journal.reply(known)
            except OSError as error:
                log(f"journal: {error}")
                known.reply, known.noticed, known.replies = before
                exchange.settle(Refusal(Reason.NO_ROOM, BUSY_RETRY_US))
                return
        self._journal.after(partial(exchange.settle, None), message.name)
        if known is None and message.reply:
            owed = self._owed.get(message.name)
            if (end := owed[1] if owed is not None else self._journal.ended(message.name)) is not None:
                self._journal.after(
                    partial(self._report_outcome, replace(end, reply=message.reply)), message.name
                )

    def client_disconnected(self, exchange: PendingRequest) -> None:
        """Withdraw a message if all its clients disconnected before it was accepted or refused."""
        for message in [it for it in self._messages.values() if exchange in it.exchanges]:
            message.exchanges.remove(exchange)
            if not message.exchanges and not message.taken:
                self._remove_message(message)
                self._post_event(api.Withdrawn(message.ref))

    def listed(self, update: EndpointListUpdate) -> None:
        """Apply an endpoint list update at once; `ValueError` if it is malformed, with nothing applied."""
        for _ in self.listing(update):
            pass

    def listing(self, update: EndpointListUpdate) -> Iterator[None]:
        """Apply an endpoint list update in steps of a millisecond or two.

        The whole update is read and compared with the current list before anything is applied. Drains come
        first, including those of removed endpoints; the removals themselves come last.
        """
        comparison = Comparison(self._sender.members)
        yield
        for count, entry in enumerate(update.entries, 1):
            comparison.add(entry)
            if count % BATCH == 0:
                yield
        yield
        batches = comparison.batches(update.whole)
        for entries in chain([next(batches, ())], batches):  # report an update without changes as well
            self._addresses.remove_outdated(entries)
            self._events.append(api.Listed(api.ListKind.PATCH, entries))
            self._round()
            yield

    def current(self, seconds: float) -> None:
        """Note that the endpoint list is up to date, and for how many seconds calls may rely on it."""
        self._post_event(api.ListConfirmed(int(seconds * SECOND)))

    def ended(self, attempt: Attempt, how: AttemptResult) -> None:
        """Process the end of an attempt; a message delivered, or reported as over, is complete at once."""
        message = attempt.message
        del self._attempts[message.ref, attempt.number]
        now = self.now_us()
        if how.wait_us > 0:  # first of all: the pause applies from now on, also after a restart
            self._record_requested_pause(attempt, now, how.wait_us)
        delivered = how.result is Result.DONE or how.over
        if how.result is Result.DONE:
            self._learning.answered(message.destination, now - attempt.start_us)
        if attempt.reused:
            reset = how.result is Result.RESET
            self._learning.reused(message.destination, attempt.endpoint, attempt.idle_us, reset)
        if self._observer is not None:
            self._observer.outcome(attempt, how)
        if message.ref in self._messages:
            if how.result is Result.DONE:
                self._finish(message, End(message.name, Outcome.DELIVERED))
            elif how.over:
                self._finish(message, End(message.name, Outcome.GIVEN_UP, known=True))
            else:
                self._journal.outcome(attempt, how)
        self._post_event(
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

    def _record_requested_pause(self, attempt: Attempt, now_us: int, wait_us: int) -> None:
        route = self._sender.route(attempt.endpoint)
        wait = RequestedPause(attempt.message.destination, route, wait_us, now_us + wait_us, self._clock.boot)
        self._learning.told(wait)

    def _acknowledged(self, name: str) -> None:
        if (owed := self._owed.pop(name, None)) is not None:  # else acknowledged before, or relinquished
            until_ms, end = owed
            self._journal.end(name, until_ms, self._clock.wall_ms(), end)

    # Rounds.

    def _post_event(self, event: api.Event) -> None:
        """Queue an event for the next round, together with all others of the same `granularity_us`."""
        self._events.append(event)
        if self._round_at is None and not self._stopped:
            due_us = max(self.now_us(), self._last_round_us + self._settings.granularity_us)
            self._round_at = self._clock.at(due_us, self._round)

    def _round(self) -> None:
        if self._round_at is not None:
            self._round_at.cancel()
            self._round_at = None
        events, self._events = self._events, []
        self._last_round_us = self.now_us()
        actions = self._sender.step(self._last_round_us, events)
        if self._observer is not None:
            self._observer.round(self._last_round_us, events, actions)
        ends = {it.ref: it for it in actions if isinstance(it, api.Refuse | api.Fail)}
        self._report_final_outcomes(ends.values())
        for event in events:
            if isinstance(event, api.Taken) and event.ref in self._messages:
                self._settle_request(self._messages[event.ref], ends.get(event.ref))
        if self._sender.unsaved_urgent:
            # Saved before this round's calls are sent: it includes their start times.
            self._learning.observe(self._sender.learned(SAVE_BATCH_SIZE, urgent=True))
        self._execute_actions(actions)
        self._timers.reschedule()
        self._work()
        if self._save_at is None and not self._stopped:
            self._save_at = self._clock.at(self._last_round_us + SAVE_INTERVAL_US, self._save_batch)

    def _work(self) -> None:
        """Run a slice of the journal's and the learned state's background work and schedule the next one."""
        if self._work_at is not None:
            self._work_at.cancel()
            self._work_at = None
        due = [it for it in (self._journal.work(), self._learning.work()) if it is not None]
        if due and not self._stopped:
            self._work_at = self._clock.at(self.now_us() + min(due), self._work)

    def save_learned(self) -> None:
        """Save all unsaved learned state; used at shutdown."""
        self._learning.observe(self._sender.learned(len(self._sender.unsaved)))

    def _save_batch(self) -> None:
        """Save learned state periodically while there are rounds, a few destinations per loop iteration."""
        self._save_at = None
        self._addresses.remove_inactive(self._sender.endpoints)
        self._learning.observe(self._sender.learned(SAVE_BATCH_SIZE))
        if self._sender.unsaved and not self._stopped:
            self._save_at = self._clock.at(self.now_us() + SECOND // 100, self._save_batch)
        self._work()

    def _settle_request(self, message: Message, end: api.Refuse | api.Fail | None) -> None:
        """Confirm a message once it is in the journal, or refuse it."""
        exchanges, message.exchanges = message.exchanges, []
        if end is None:
            try:
                self._journal.take(message, self._clock.wall_ms())
                message.taken = True
            except OSError as error:  # a message that can't be recorded is refused and not sent
                log(f"journal: {error}")
                self._learning.free_disk_space()
                self._post_event(api.Withdrawn(message.ref))
        refusal = None
        if not message.taken:
            self._remove_message(message)
            advice_us = end.advice_us if isinstance(end, api.Refuse) else 0
            reason = Reason.OLD_LIST if self._sender.list_expired else Reason.REFUSED
            refusal = Refusal(reason, advice_us or BUSY_RETRY_US)
        elif self._observer is not None:
            self._observer.taken(message)
        told = partial(_settle_all, exchanges, refusal)
        if refusal is None:
            self._journal.promise(message, told, partial(self._drop_undurable, message, exchanges))
        else:
            told()

    def _drop_undurable(self, message: Message, exchanges: Sequence[PendingRequest], may_tell: bool) -> None:
        """Drop a message that could not be made durable; its client gets no response unless `may_tell`."""
        if not message.over:
            self._remove_message(message)
            self._post_event(api.Withdrawn(message.ref))
        if may_tell:
            _settle_all(exchanges, Refusal(Reason.SHORT, BUSY_RETRY_US))

    def _execute_actions(self, actions: Sequence[api.Action]) -> None:
        sends: list[api.Send] = []
        for action in actions:
            match action:
                case api.Send():
                    sends.append(action)
                case api.CancelAttempt(ref, number):
                    if (attempt := self._attempts.get((ref, number))) is not None:
                        self._transport.call_off(attempt)
                case api.Timer(label, after_us):
                    self._timers.set(self._last_round_us + after_us, label)
                case api.Probe(endpoint):
                    self._probe(endpoint)
                case api.CloseIdle(endpoint):
                    self._transport.close_idle(endpoint)
                case api.Log(text):
                    log(text)
                case api.Refuse() | api.Fail() | api.Subscribe() | api.Fetch() | api.SendToPeer():
                    # Outcomes were handled before, the list is always watched, and the node does not carry
                    # the policy's notes to other relays.
                    pass
        self._send(sends)

    def _send(self, sends: list[api.Send]) -> None:
        """Send the messages that the policy bundled into one call together."""
        for (endpoint, _), group in groupby(sends, lambda it: (it.endpoint, it.call)):
            # Skip messages that the journal failed to record in this same round: they are no longer held.
            bundle = [send for send in group if send.ref in self._messages or self._report_unsent(send)]
            if not bundle:
                continue
            self._addresses.locate(endpoint)
            self._transport.call(endpoint, [self._attempt(send) for send in bundle], bundle[0].fresh)

    def _report_unsent(self, send: api.Send) -> bool:
        """Report to the policy that a message's first attempt was not made, which frees its slot."""
        self._post_event(api.Outcome(send.ref, 0, send.endpoint, Result.UNSENT, True, 0, 0, ()))
        return False

    def _attempt(self, send: api.Send) -> Attempt:
        message = self._messages[send.ref]
        attempt = Attempt(message, message.attempts, send.endpoint, self._last_round_us, send.until_us)
        message.attempts += 1
        self._attempts[send.ref, attempt.number] = attempt
        return attempt

    def clear(self, attempts: Sequence[Attempt]) -> list[Attempt]:
        """Record and return the attempts that may still be sent, before their first byte is sent."""
        cleared = []
        for attempt in self.may_still_send(attempts):
            try:
                self._journal.attempt(attempt, self._clock.wall_ms())
            except OSError as error:  # an unrecorded attempt could be made twice
                log(f"journal: {error}")
                continue
            cleared.append(attempt)
            if self._observer is not None:
                self._observer.attempt(attempt)
        return cleared

    def may_still_send(self, attempts: Sequence[Attempt]) -> list[Attempt]:
        """Return the attempts that may be sent now.

        Excluded are those that closing, a cancellation, an outcome, the time limit, a drain, a pause, the age
        of the endpoint list or the expiry of an idempotency key forbids by now.
        """
        now = self.now_us()
        return [
            it
            for it in attempts
            if not (self.closing or it.called_off or it.message.over or it.until_us <= now)
            and self._sender.may_start(now, it.message.ref, it.endpoint)
        ]

    @property
    def waits(self) -> bool:
        """Whether records become durable only some time after they were written."""
        return self._journal.waits

    def after(self, callback: Callable[[], object], attempts: Sequence[Attempt]) -> None:
        """Run a callback once all records of these attempts are durable or can't become so."""
        left = {it.message.name for it in attempts}

        def done(name: str) -> None:
            """Note that a message's records are settled; run the callback after the last message."""
            left.discard(name)
            if not left:
                callback()

        for name in sorted(left):
            self._journal.after(partial(done, name), name, partial(done, name))

    def left_s(self, attempts: Sequence[Attempt]) -> float:
        """Seconds until the earliest time limit among these attempts."""
        return max(0.0, (min(it.until_us for it in attempts) - self.now_us()) / SECOND)

    def _probe(self, endpoint: str) -> None:
        start = self.now_us()
        self._addresses.locate(endpoint)

        def ended(how: AttemptResult) -> None:
            """Post the result of the probe to the delivery policy."""
            self._post_event(api.ProbeResult(endpoint, how.result, self.now_us() - start, how.report))

        self._transport.probe(endpoint, ended)

    def _report_final_outcomes(self, ends: Iterable[api.Refuse | api.Fail]) -> None:
        """Report the outcomes of accepted messages; other messages are refused in `_settle_request`."""
        # Outcomes go out first so that a round's other work does not delay them.
        for end in ends:
            if (message := self._messages.get(end.ref)) is not None and message.taken:
                if isinstance(end, api.Refuse):
                    told = End(message.name, Outcome.HANDED_BACK, end.advice_us // 1000)
                else:
                    told = End(message.name, Outcome.GIVEN_UP)
                self._finish(message, told)
        self._notifier.send()

    def _finish(self, message: Message, end: End) -> None:
        """Record a message's final outcome, then report it."""
        self._remove_message(message)
        if message.replies:
            end = replace(end, reply=message.reply, noticed=message.noticed)
        if self._notifier.owed(end):
            self._owed[message.name] = message.deadline_ms, end
            self._journal.owe(message, end)
        else:
            self._journal.end(message.name, message.deadline_ms, self._clock.wall_ms(), end)
        if self._observer is not None:
            self._observer.ended(message, end)
        self._journal.after(partial(self._report_outcome, end), message.name)

    def _report_outcome(self, end: End) -> None:
        """Report a durable outcome: with the others of its round, or now if records become durable later."""
        self._notifier.tell(end)
        if self._journal.waits:
            self._notifier.send()

    def _remove_message(self, message: Message) -> None:
        message.over = True
        self._messages.pop(message.ref, None)
        self._names.pop(message.name, None)


def _replace_reply_address(known: Message, again: Message) -> bool:
    """Replace the reply address by that of a repeated submission; return whether anything changed."""
    reply, noticed = again.reply or known.reply, known.noticed or again.noticed
    if (reply, noticed) == (known.reply, known.noticed):
        return False
    known.reply, known.noticed, known.replies = reply, noticed, known.replies + 1
    return True


def _settle_all(exchanges: Sequence[PendingRequest], refusal: Refusal | None) -> None:
    for exchange in exchanges:
        exchange.settle(refusal)
