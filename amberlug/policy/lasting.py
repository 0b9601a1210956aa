"""Decisions across restarts, and between the decision to send and the first byte on the wire.

A `Sender` loses its state with its process. A relay on real sockets continues with the messages it held, and
its sends take time to leave. This module handles both on top of `amberlug/policy/decide.py`.
"""

import itertools
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import replace
from itertools import chain

from amberlug.policy import eviction
from amberlug.policy import interface as api
from amberlug.policy.account import UNLIMITED, Account
from amberlug.policy.decide import ANSWER_WEIGHT, MAY_HAVE_RUN, Sender, may_refuse, may_repeat
from amberlug.policy.interface import Effect, Group, Result, State
from amberlug.policy.state import NEVER, Call, Destination, Endpoint, Message

MIN_ADVICE_US = 500_000  # minimum Retry-After for a refused client: a queue takes as long to drain
RESTART_US = 5_000_000  # duration of a planned restart: shutdown, startup and the backlog that builds up
DEADLINE_MARGIN_US = 150_000  # how long before its deadline a message ends: half the tolerated lateness
MAX_SEND_DELAY_US = 300_000  # maximum time from the start of a send until it reaches the endpoint
USUAL_QUEUEING_US = 30_000  # usual queueing time of input under load; the answer takes several times as long
OVERLOAD_ADVICE_US = 1_000_000  # Retry-After of a message refused because this relay was behind
AVERAGE_WORTH_WEIGHT = 0.02  # weight of the latest message in the average message value
# Failure rates below which resets count as isolated: two in a row, or four on reused connections.
ISOLATED_RATE, REUSED_RATE = 0.25, 0.45
RESET_WEIGHT = 0.02  # weight of the latest call on a reused connection in the reset rate
MAX_RESET_RATE = 0.05  # reset rate above which unsafe messages use new connections, at a handshake each
MAX_LOST_WAIT_US = 2_000_000  # maximum Retry-After assumed lost in an answer when the process ended
# A message that keeps less of its value over a planned restart is returned for another relay.
MIN_KEPT_WORTH = 0.75


class LastingSender(Sender):
    """All decisions of one relay whose messages survive restarts of its process."""

    resumed: api.Resumed | None = None
    closing = False
    loading = False  # whether a destination is being created from the list
    average_worth = 0.0  # average value of recent messages
    reset_rate = 0.0  # share of recent calls on reused connections that were reset
    list_valid_until = UNLIMITED  # after this time an endpoint may be draining without this relay knowing
    list_expiry_logged = False  # whether the log says that the list is too old

    def __init__(self, settings: api.Settings, seed: int, recall: api.KnownStateLookup | None = None) -> None:
        super().__init__(settings, seed)
        self.recall = recall

    def step(self, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        """Process ordinary events, then those of a restart, and serve the affected destinations."""
        self.closing = self.closing or any(isinstance(event, api.ShutdownStarted) for event in events)
        confirmed = [event for event in events if isinstance(event, api.ListConfirmed)]
        old = confirmed and now_us >= self.list_valid_until
        for current in confirmed:
            self.list_valid_until = now_us + current.for_us
        super().step(now_us, events)
        if old and self.list_expiry_logged:
            self.list_expiry_logged = False
            self.actions.append(api.Log("list: confirmed again; messages are accepted and sent as before"))
        own = [it for it in events if old or isinstance(it, api.Resumed | api.ShutdownStarted)]
        for event in own:
            if isinstance(event, api.Resumed):
                self.resume(event)
        for destination in self.destinations.values() if own else ():
            self.serve(destination)
        return self.actions

    def serve(self, destination: Destination) -> None:
        """Send what may go; while closing send nothing, and refuse what would lose too much value."""
        # Messages must not wait out a restart here and end late while another relay could send them.
        if not self.closing:
            # Prevents calls to endpoints that drain or are gone; a drain counts as known some seconds after
            # it is announced, received or not. Cost: nothing is sent while discovery is down for long.
            if not self.list_expired:
                super().serve(destination)
            elif destination.waiting:
                self.log_list_expired()
            return
        back_us, halving = self.now + RESTART_US, self.settings.halving
        for message in list(destination.waiting.values()):
            kept = message.worth_at(back_us, halving)
            if may_refuse(message) and kept < MIN_KEPT_WORTH * message.worth_at(self.now, halving):
                self.finish(message)

    @property
    def list_expired(self) -> bool:
        """Whether the list may miss a drain; then no message is accepted or sent."""
        return self.now >= self.list_valid_until

    def log_list_expired(self) -> None:
        """Log once that delivery is paused because the endpoint list is too old."""
        if not self.list_expiry_logged:
            self.list_expiry_logged = True
            late_s = (self.now - self.list_valid_until) / 1e6
            text = f"list: too old for {late_s:.1f} s, not confirmed by discovery; "
            self.actions.append(api.Log(text + "no messages are accepted or sent until it is confirmed"))

    def stale(self, label: int) -> bool:
        """Whether the message of a timer has ended; the timer is discarded then."""
        target = self.timers.get(label)
        if isinstance(target, Message) and target.ref not in self.messages:
            del self.timers[label]
            return True
        return False

    def serves(self, number: int) -> bool:
        """Whether a destination is listed; messages for others are not accepted."""
        return self.members.serves(number)

    def load_destination(self, number: int) -> Destination:
        """Return a destination; if neither it nor a summary is in memory, restore its persisted state."""
        not_in_memory = number not in self.destinations and number not in self.summaries
        self.loading = True
        to = super().load_destination(number)
        self.loading = False
        if not_in_memory and self.recall is not None:
            known = self.recall(number, tuple(it.entry for it in to.endpoints.values()))
            if known is not None:
                eviction.apply_known(to, known, self.settings)
        return to

    def add_endpoint(self, to: Destination, entry: api.Entry) -> None:
        """Add or update an endpoint; if new at a destination in use, its persisted state is looked up."""
        came = entry.endpoint not in self.endpoints and not self.loading
        super().add_endpoint(to, entry)
        known = self.recall(to.number, (entry,)) if came and self.recall is not None else None
        if known is None:
            return
        # A Retry-After wait still applies if its route was not listed for a while.
        for route in known.routes:
            if (account := to.accounts.get(route.route)) is not None:
                account.blocked_until = max(account.blocked_until, route.blocked_until_us)
        if entry.endpoint in to.restored_unlisted:  # listed after the destination's first message
            to.restored_unlisted.discard(entry.endpoint)
            own = tuple(it for it in known.routes if it.route == entry.endpoint)
            eviction.apply_known(to, replace(known, routes=own), self.settings)

    def learned(self, most: int, urgent: bool = False) -> list[api.KnownDestination]:
        """Return unsaved state of at most `most` destinations; with `urgent` only of those to save soon."""
        part = self.unsaved_urgent if urgent else self.unsaved
        found = []
        for number in list(itertools.islice(part, most)):
            self.unsaved.pop(number, None)
            self.unsaved_urgent.pop(number, None)
            if (to := self.destinations.get(number)) is not None:
                found.append(eviction.known_state(to))
        return found

    def answered(self, call: Call, result: Result, wait_us: int, report: tuple[float, ...]) -> None:
        """Process an answer; mark state as unsaved, urgently if the endpoint's health or limit changed."""
        endpoint, number = call.endpoint, call.endpoint.entry.destination
        before = endpoint.cold, endpoint.recovered_us is None, endpoint.account.learned_us
        super().answered(call, result, wait_us, report)
        self.unsaved[number] = None
        # If the process died before the next save, it would run into the outage or the limit again.
        if before != (endpoint.cold, endpoint.recovered_us is None, endpoint.account.learned_us):
            self.unsaved_urgent[number] = None

    def route(self, name: str) -> str:
        """Return the scope of an endpoint's Retry-After wait: its route, or the whole destination (empty)."""
        entry = self.members.get(name)
        return name if entry is not None and self.settings.kinds[entry.kind].apart else ""

    def take(self, event: api.Taken) -> None:
        """Accept a message with a slightly earlier deadline, or refuse it if this relay is too far behind."""
        if self.overloaded(event):
            max_us = self.settings.max_advice_us if self.settings.may_advise else 0
            self.actions.append(api.Refuse(event.ref, min(OVERLOAD_ADVICE_US, max_us)))
            return
        # The margin covers a delayed process: a message that ends after its deadline counts as lost.
        left_us = event.left_us - event.waited_us
        super().take(replace(event, left_us=left_us - min(DEADLINE_MARGIN_US, max(0, left_us) // 10)))

    def overloaded(self, event: api.Taken) -> bool:
        """Whether to refuse a message because input is queueing up; the lower its value, the sooner."""
        # Prevents answers so late that clients give up and retry, which doubles the load, whatever keeps the
        # process busy. Possible cost: refusals after a single long event loop iteration without overload.
        if self.list_expired and self.resumed is None:
            self.log_list_expired()
            return True  # another relay may have a current list
        worth = self.settings.classes[event.message_class].worth
        usual = self.average_worth or worth
        self.average_worth = usual + (worth - usual) * AVERAGE_WORTH_WEIGHT
        return worth < self.average_worth * (event.waited_us - USUAL_QUEUEING_US) / USUAL_QUEUEING_US

    def update_health(self, endpoint: Endpoint, start_us: int, result: Result, wait_us: int) -> None:
        """Update an endpoint's health; after a reset or time-out its idle connections are closed."""
        # An endpoint that restarted no longer knows its old connections: each call on one ends in a reset.
        if result is Result.RESET and self.is_isolated_reset(endpoint):
            endpoint.failure_rate += (1 - endpoint.failure_rate) * ANSWER_WEIGHT
        else:
            super().update_health(endpoint, start_us, result, wait_us)
        if result in (Result.TIMED_OUT, Result.RESET):
            endpoint.idle.clear()
            self.actions.append(api.CloseIdle(endpoint.entry.endpoint))

    def is_isolated_reset(self, endpoint: Endpoint) -> bool:
        """Whether a reset concerns its connection only: a reused connection, or one of few resets."""
        # Prevents avoiding an endpoint for seconds because it or the network drops connections. Possible
        # cost: if an endpoint that crashed resets calls one by one, a few more calls fail first.
        return not endpoint.cold and endpoint.failure_rate < (REUSED_RATE if self.reused else ISOLATED_RATE)

    def outcome(self, event: api.Outcome) -> None:
        """Process the end of an attempt; updates the rate of resets on reused connections."""
        self.reused = event.reused
        if self.reused:
            self.reset_rate += ((event.result is Result.RESET) - self.reset_rate) * RESET_WEIGHT
        super().outcome(event)

    def resume(self, event: api.Resumed) -> None:
        """Accept a message again after a restart; one that may not be sent any more is ended at once."""
        self.resumed = event
        self.take(event.taken)
        self.resumed = None
        message = self.messages.get(event.taken.ref)
        spent = event.attempts >= self.settings.most_attempts or event.taken.left_us <= 0
        if message is not None and (spent or not may_repeat(message, self.now)):
            self.finish(message)

    def register_message(self, message: Message) -> None:
        """Register a message, with its attempts from before a restart if it was resumed."""
        super().register_message(message)
        if self.resumed is not None:
            message.attempts = self.resumed.attempts
            ran = [it for it in self.resumed.earlier if it.result is None or it.result in MAY_HAVE_RUN]
            message.ran = [self.earlier(attempt, message) for attempt in ran]

    def earlier(self, attempt: api.Earlier, message: Message) -> Call:
        """Rebuild an attempt that may have been executed; without a known zone its key has expired."""
        start_us = self.now - attempt.ago_us
        if attempt.result is None and attempt.endpoint in self.endpoints:
            # The process may have ended before it could read a Retry-After in the answer. Possible cost: if
            # there was none, messages for that destination wait as long as the last one, up to
            # MAX_LOST_WAIT_US.
            account = self.endpoints[attempt.endpoint].account
            until_us = self.now + min(account.last_retry_after_us, MAX_LOST_WAIT_US)
            account.blocked_until = max(account.blocked_until, until_us)
        if (endpoint := self.endpoints.get(attempt.endpoint)) is None:
            entry = api.Entry(attempt.endpoint, "", "", 0, State.GONE, 0.0)
            endpoint = Endpoint(entry, Account(self.settings, None), deque(maxlen=1))
            start_us = start_us if message.kind.group is Group.ALL else NEVER
        return Call(endpoint, start_us, 0, 0)

    def send(self, endpoint: Endpoint, able: Iterator[Message]) -> None:
        """Send one call; all its attempts get the time limit of the one that ends first."""
        # An answer that arrives after one of the messages has timed out must not mark the others as
        # delivered. Repeatable messages also need not wait as long as unsafe ones, which are sent separately
        # because they wait until their deadline. Possible cost: a message with little time left ends the call
        # of others that a slow endpoint would still have answered.
        sent, first = len(self.actions), next(able)
        unsafe = first.kind.effect is Effect.UNSAFE
        alike = (it for it in able if (it.kind.effect is Effect.UNSAFE) is unsafe)
        super().send(endpoint, chain([first], alike))
        until_us = min(it.until_us for it in self.actions[sent:] if isinstance(it, api.Send))
        # A reset on a reused connection loses an unsafe message. Possible cost: a handshake for each, also
        # where new connections are no more reliable or expensive.
        fresh = unsafe and self.reset_rate > MAX_RESET_RATE
        if endpoint.cold:  # an unsaved call start would not count for the cold-start limit after a restart
            self.unsaved_urgent[endpoint.entry.destination] = None
        self.actions[sent:] = [
            replace(it, until_us=until_us, fresh=fresh) if isinstance(it, api.Send) else it
            for it in self.actions[sent:]
        ]

    def may_start(self, now_us: int, ref: int, name: str) -> bool:
        """Whether a decided send may still leave: no drain, Retry-After wait or end has come since."""
        endpoint, message = self.endpoints.get(name), self.messages.get(ref)
        late = now_us >= self.list_valid_until
        if endpoint is None or message is None or endpoint.account.blocked_until > now_us or late:
            return False
        # The key of a keyed message may expire between the decision and the last byte.
        oldest = now_us + MAX_SEND_DELAY_US - message.kind.key_life_us
        return message.kind.effect is not Effect.KEYED or all(call.start_us > oldest for call in message.ran)

    def finish(self, message: Message) -> None:
        """End a message; a refusal advises when this relay could send again."""
        super().finish(message)
        at = len(self.actions) - 1  # index of the end: `openings` may append a log line
        end = self.actions[at]
        if isinstance(end, api.Refuse) and self.settings.may_advise:
            opens = [opening for _, opening in self.openings(message.destination)]
            advice_us = max(MIN_ADVICE_US, min(opens, default=self.now) - self.now)
            self.actions[at] = api.Refuse(end.ref, min(advice_us, self.settings.max_advice_us))
