"""When, where and whether each message is sent: all decisions of a relay from its start to its end.

Types, events and actions are in `interface.py`, state is in `state.py`. A message is sent when the account of
its destination has a free unit (`account.py`), else a timer is set for the account's opening.
"""

import itertools
from collections.abc import Iterator, Sequence

from amberlug.policy import eviction
from amberlug.policy import interface as api
from amberlug.policy.account import INITIAL_ANSWER_US, MAX_SLOT_SHARE, SECOND, UNLIMITED
from amberlug.policy.connections import JITTER, ConnectionManager
from amberlug.policy.interface import Effect, Group, ListKind, Result
from amberlug.policy.state import MAX_COMPETING, Call, Destination, Endpoint, Message

RATE_NOISE = 0.3  # a reported limit that differs by more replaces the current one; less is noise
OUTAGE_WAIT_WINDOWS = 3  # a Retry-After wait of at least this many windows is treated as an outage
BACK_OFF = 0.55, 1.0  # random factor of a learned M of at most one at a refusal; desynchronizes relays
OUTAGE_RATE = 0.5  # failure rate that is treated as an outage
ANSWER_WEIGHT = 0.15  # weight of the latest answer in the failure rate, success or failure
NO_ANSWER_WEIGHT = 0.4  # weight of a missing answer: two in a row are treated as an outage
AVOID_US = 3 * SECOND  # how long other endpoints are preferred to one that failed
TABLE_FULL_US = 10 * SECOND  # how long a full connection table is assumed to stay full
THROUGHPUT_AVERAGING_US = 20 * SECOND  # of a relay's own throughput at a destination without a listed rate
MAX_WINDOW_FACTOR = 3  # maximum window of the cold-start limit, in OverloadForUs: longer expires messages
# Concurrent calls to an endpoint without a recent delivery; more might all be lost at once.
MAX_UNPROVEN_CALLS = 4
RECENT_DELIVERY_US = 60 * SECOND
# Share of the slots for calls to such endpoints; the rest is for those that deliver.
UNPROVEN_SLOT_SHARE = 0.9
# Above this share of MaxOpen, the least valuable 1/100 of it is refused at once: ranking is expensive.
HELD_SHARE_LIMIT, REFUSAL_DIVISOR = 0.95, 100
RESUBSCRIBE_US = SECOND // 2  # initial resubscribe delay, doubled up to a quarter of AskWithin
MAY_HAVE_RUN = (Result.ERROR, Result.TIMED_OUT, Result.RESET, Result.CALLED_OFF, Result.SPOILT)


def may_repeat(message: Message, now_us: int) -> bool:
    """Whether a message may be sent again: after an attempt that may have been executed, unsafe ones may not.

    Keyed ones may as long as their key is remembered.
    """
    effect, oldest = message.kind.effect, now_us - message.kind.key_life_us
    keyed = effect is Effect.KEYED and all(call.start_us > oldest for call in message.possibly_executed())
    return keyed or effect is Effect.SAFE or not message.possibly_executed()


def may_refuse(message: Message) -> bool:
    """Whether the client may safely retry the message."""
    keyed = message.kind.effect is Effect.KEYED and message.kind.group is Group.ALL
    return not (message.ran or message.out) or message.kind.effect is Effect.SAFE or keyed


class Sender(ConnectionManager):
    """The state machine that makes all decisions of one relay."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.subscription_requested, self.subscribed, self.pause_us = False, False, RESUBSCRIBE_US

    def step(self, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        """Process all events of a step, then serve the affected destinations, the most urgent first."""
        if now_us < self.now:
            raise ValueError(f"time runs backwards: {now_us} after {self.now}")
        self.now, self.actions, self.affected, self.overdue_us = now_us, [], {}, None
        if self.settings.asks and not self.subscription_requested:
            self.subscribe()
        for event in events:
            if isinstance(event, api.Taken):
                self.take(event)
            elif isinstance(event, api.Outcome):
                self.outcome(event)
            elif isinstance(event, api.TimerExpired) and event.label in self.timers:
                self.on_timer(self.timers.pop(event.label))
            elif isinstance(event, api.Listed):
                self.listed(event)
            elif isinstance(event, api.ProbeResult) and event.endpoint in self.probes:
                self.answered(self.probes.pop(event.endpoint), event.result, 0, event.report)
            elif isinstance(event, api.Withdrawn) and event.ref in self.messages:
                self.discard_message(self.messages[event.ref])
        urgent = [destination for destination in self.affected if destination.waiting]
        urgent.sort(key=self.urgency, reverse=True)
        for destination in urgent:
            self.serve(destination)
        self.close_idle()
        self.evict_idle()
        return self.actions

    def on_timer(self, target: Message | Endpoint | int | None) -> None:
        """Handle a timer of a message, an endpoint, a destination (its number) or the subscription (None)."""
        if target is None:
            self.subscribe()
        elif isinstance(target, Endpoint):
            self.close_stale(target)
        elif isinstance(target, int):
            if (to := self.destinations.get(target)) is not None:  # else it was evicted and has nothing to do
                self.affected[to] = None
        elif target.ref in self.messages:
            grace = target.deadline_us + self.settings.answer_slack_us // 2
            if self.now < target.deadline_us:  # the answer is late: a second copy may go if slots allow
                if len(target.out) == 1 and self.slots_out <= self.settings.slots * MAX_SLOT_SHARE:
                    target.destination.waiting[target.ref] = target
                    self.affected[target.destination] = None
            elif target.out and self.now < grace:  # the attempt's own time-out comes first
                self.set_timer(grace, target)
            else:
                self.finish(target)

    def subscribe(self) -> None:
        """Subscribe to list changes, and again until the list answers, more often than AskWithin."""
        self.subscription_requested = True
        if not self.subscribed:
            self.actions.append(api.Subscribe())
            self.set_timer(self.now + self.pause_us, None)
            self.pause_us = min(2 * self.pause_us, self.settings.ask_within_us // 4)

    def listed(self, event: api.Listed) -> None:
        """Apply a list update and end the messages of removed destinations; resubscribe if broken."""
        if event.kind is ListKind.BROKEN:
            if self.subscribed:
                self.subscribed, self.pause_us = False, RESUBSCRIBE_US
                self.set_timer(self.now + self.pause_us, None)
            return
        self.subscribed |= event.kind is not ListKind.STALE
        for message in self.apply_list(event):
            self.finish(message)

    def take(self, event: api.Taken) -> None:
        """Accept a message, and refuse others close to the limit; `ValueError` if it was accepted before."""
        if event.ref in self.messages:
            raise ValueError(f"message {event.ref} was taken before")
        destination = self.load_destination(event.destination)
        if self.now - destination.used_us > eviction.OUTDATED_US:
            eviction.reset_outdated(destination, self.now)
        kind = self.settings.classes[event.message_class]
        key, worth = event.key if kind.keep_order else None, kind.worth * self.share(event.tenant)
        message = Message(event.ref, kind, destination, key, self.now + event.left_us, worth)
        self.register_message(message)
        self.set_timer(message.deadline_us, message)
        if len(self.messages) > self.settings.max_open * HELD_SHARE_LIMIT:
            # Close to the limit of held messages: refuse those of lowest value that clients may safely retry.
            able = [other for other in self.messages.values() if not other.out and may_refuse(other)]
            able.sort(key=lambda other: other.worth_at(self.now, self.settings.halving))
            for least in able[: 1 + self.settings.max_open // REFUSAL_DIVISOR]:
                self.finish(least)

    def share(self, tenant: str | None) -> float:
        """Value factor of a tenant's message: 1 within this relay's share of the quota, with a 1 s burst."""
        if tenant is None or tenant not in self.quota_used_until:
            return 1.0
        quota = max(self.settings.tenants[tenant].quota_per_s / self.settings.relays, 1e-6)
        until = max(self.quota_used_until[tenant], self.now - SECOND) + int(SECOND / quota)
        self.quota_used_until[tenant] = until if until <= self.now else self.quota_used_until[tenant]
        return 1.0 if until <= self.now else self.settings.over_share_worth

    def finish(self, message: Message) -> None:
        """End a message: refused if the client may safely retry it, else failed."""
        self.actions.append(api.Refuse(message.ref, 0) if may_refuse(message) else api.Fail(message.ref))
        self.discard_message(message)

    def outcome(self, event: api.Outcome) -> None:
        """Process the end of an attempt: its message has ended, is queued again, or is given up."""
        if (found := self.calls.pop((event.ref, event.attempt), None)) is None:
            return  # reported before
        message, call = found
        del message.out[event.attempt]
        self.reused = event.reused
        self.answered(call, event.result, event.wait_us, event.report)
        if event.result in MAY_HAVE_RUN:
            message.ran.append(call)
            if message.key is not None and event.result is not Result.ERROR:
                self.start_key_quiet_time(message.key, self.now + self.settings.key_quiet_us)
        if message.ref not in self.messages or event.ended:
            self.discard_message(message)
        elif not message.out:
            message.destination.waiting[message.ref] = message
            spent = message.attempts >= self.settings.most_attempts or self.now >= message.deadline_us
            if spent or message.destination.gone or not may_repeat(message, self.now):
                self.finish(message)

    def answered(self, call: Call, result: Result, wait_us: int, report: tuple[float, ...]) -> None:
        """Process an answer: update the rate limit and the endpoint's health, and free the slot."""
        endpoint, account = call.endpoint, call.endpoint.account
        call.left -= 1
        account.blocked_until = max(account.blocked_until, self.now + wait_us)
        if call in account.reserved:
            del account.reserved[call]
            if result in (Result.DONE, Result.TIMED_OUT):  # else retries would overload a slow one
                account.usual_us += (self.now - call.start_us - account.usual_us) // 8
            reported = dict(zip(self.settings.report_names, report, strict=False)).get("x1", 0.0)
            if reported > 0 and abs(reported / (account.rate or UNLIMITED) - 1) > RATE_NOISE:
                account.set_rate(reported)
            if result not in (Result.UNSENT, Result.CALLED_OFF, Result.SPOILT):  # no health signal
                self.update_health(endpoint, call.start_us, result, wait_us)
            # A refusal by a full connection table does not consume the endpoint's rate limit.
            counts = result is not Result.UNSENT and not self.refused_by_full_table(endpoint, result)
            account.buckets.add(call.start_us, counts, result is Result.DONE)
        if call.left == 0:
            kept = result is Result.REFUSED and not endpoint.full_tables  # a full table's peer closes it
            self.end_call(call, reusable=kept or result in (Result.DONE, Result.ERROR))
        self.affected[self.destinations[endpoint.entry.destination]] = None

    def update_health(self, endpoint: Endpoint, start_us: int, result: Result, wait_us: int) -> None:
        """Update an endpoint's health: an outage starts its cold-start limit, a success its warm-up."""
        account = endpoint.account
        if self.relays_per_connection > 1 and self.table_full(endpoint, start_us, result, wait_us):
            return
        if result is Result.DONE:
            account.consecutive_refusals = 0
            endpoint.last_success_us = self.now
            endpoint.failure_rate *= 1 - ANSWER_WEIGHT
            if not endpoint.cold:
                fade = max(0.5, 1 - (self.now - account.throughput_us) / THROUGHPUT_AVERAGING_US)
                account.throughput = account.throughput * fade + SECOND / THROUGHPUT_AVERAGING_US
                account.throughput_us = self.now
            elif endpoint.recovered_us is None:
                endpoint.recovered_us = self.now
            return
        if result is Result.REFUSED:
            # Calls that were in flight together and are all refused must reduce M only once.
            if start_us > account.learned_us:
                account.refused(self.now, self.rng.uniform(*BACK_OFF))
            if wait_us < OUTAGE_WAIT_WINDOWS * account.window:
                return  # refused by the rate limit, not an outage
        if result is Result.UNCONNECTED and self.relays_per_connection <= 1:
            endpoint.table_size = max(1, endpoint.out + len(endpoint.idle) - 1)
            endpoint.table_full_until = self.now + TABLE_FULL_US
        if result in (Result.UNCONNECTED, Result.TIMED_OUT) and endpoint.last_success_us > start_us:
            return  # it answered others meanwhile: slow or table full; after a crash the next call fails too
        endpoint.last_failure_us, endpoint.may_have_run = self.now, result in MAY_HAVE_RUN
        endpoint.jitter = self.rng.uniform(*JITTER)
        weight = ANSWER_WEIGHT if result in (Result.ERROR, Result.RESET) else NO_ANSWER_WEIGHT
        endpoint.failure_rate += (1 - endpoint.failure_rate) * weight
        # Protects a recovered, cold endpoint from hundreds of relays that each saw only one failure; a full
        # table would answer. Cost: after one failed connect a relay is limited to its share for a while.
        down = result is Result.REFUSED or (result is Result.UNCONNECTED and self.relays_per_connection > 1)
        if endpoint.cold or endpoint.failure_rate >= OUTAGE_RATE or down:
            if not endpoint.cold:
                self.actions.append(api.Log(f"outage at {endpoint.entry.endpoint}: {result.value}"))
                endpoint.outage_since_us = self.now
            endpoint.cold, endpoint.recovered_us = True, None

    def cold_opening(self, endpoint: Endpoint) -> int:
        """When a down or cold endpoint may next be called within this relay's share of its capacity."""
        # Prevents overloading an endpoint that recovers unannounced, so it applies during the outage too;
        # it also saves calls that would fail. Cost: fewer calls to a healthy one after two chance failures.
        rules, share = self.settings, self.settings.cold_share
        if not endpoint.cold:  # each of many relays saw one failure only: it waits before the next attempt
            if endpoint.last_success_us >= endpoint.last_failure_us:
                return self.now
            shared_us = MAX_WINDOW_FACTOR * rules.overload_us if self.relays_per_connection > 1 else 0
            wait_us = max(AVOID_US, min(1 / self.allowed_rate(endpoint, share), shared_us)) * endpoint.jitter
            return max(self.now, endpoint.last_failure_us + int(wait_us))
        if endpoint.recovered_us is not None:
            share += (1 - share) * (self.now - endpoint.recovered_us) / max(1, rules.warm_us)
        if share > 1:
            endpoint.cold = False
            self.actions.append(api.Log(f"outage over at {endpoint.entry.endpoint}"))
            return self.now
        part = self.allowed_rate(endpoint, share)
        # More and more relays see it fail, so each waits as long again as the outage has lasted, with jitter.
        outage_us = self.now - endpoint.outage_since_us
        longest = max(MAX_WINDOW_FACTOR * rules.overload_us, outage_us) * endpoint.jitter
        window = int(min(max(rules.overload_us, 1 / part), longest))
        units = max(1, int(part * window))
        return self.now if len(endpoint.starts) < units else max(self.now, endpoint.starts[-units] + window)

    def allowed_rate(self, endpoint: Endpoint, share: float) -> float:
        """Calls per us that this relay may send to an endpoint that has this share of its capacity."""
        account, rules = endpoint.account, self.settings
        rate = account.throughput if account.rate is None else account.rate / rules.relays
        siblings = self.destinations[endpoint.entry.destination].endpoints.values()
        among = sum(other.account is account for other in siblings)
        return max(rules.overload_factor * share * rate / max(1, among) / SECOND, 1e-12)

    def usable(self, endpoint: Endpoint, message: Message) -> bool:
        """Whether a message may go there: in the zone of its key, not twice, nothing unsafe in an outage."""
        kind = message.kind
        in_outage = endpoint.cold and endpoint.recovered_us is None
        if kind.effect is Effect.UNSAFE and in_outage and endpoint.may_have_run:
            return False
        zoned = kind.effect is Effect.KEYED and kind.group is Group.ZONE
        zone = endpoint.entry.zone
        if zoned and any(call.endpoint.entry.zone != zone for call in message.possibly_executed()):
            return False
        return all(call.endpoint is not endpoint for call in message.out.values())

    def delivered_recently(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint has delivered recently."""
        return endpoint.last_success_us >= self.now - RECENT_DELIVERY_US

    def no_slot(self, endpoint: Endpoint) -> bool:
        """Whether no slot is left for a call there."""
        # Protects busy destinations from many idle ones that become active at once and answer slowly or not
        # at all. Cost: if all become active at once, a tenth of the slots is unused until the first delivery.
        share = 1 if self.delivered_recently(endpoint) else UNPROVEN_SLOT_SHARE
        return self.slots_out >= self.settings.slots * share

    def rank(self, endpoint: Endpoint) -> tuple[bool, bool, float, int, int]:
        """Sort key of endpoints: free slot, no recent failure, low fee, idle connection, few calls."""
        entry = endpoint.entry
        fee = self.settings.fees.get(entry.zone, 0.0) * self.settings.kinds[entry.kind].apart
        failed = endpoint.cold or self.now < endpoint.last_failure_us + AVOID_US or endpoint.full_tables > 0
        return self.no_slot(endpoint), failed, fee, endpoint.out - bool(endpoint.idle), endpoint.out

    def eligible(self, message: Message) -> bool:
        """Whether a message may be sent now; sets a timer if its key is in its quiet time."""
        rest = 0 if message.key is None or message.attempts else self.key_quiet_until.get(message.key, 0)
        if rest > self.now:
            self.set_destination_timer(message.destination, rest)
        first = message.key is None or (self.key_queues[message.key][0] is message and rest <= self.now)
        return first and may_repeat(message, self.now) and message.attempts < self.settings.most_attempts

    def value_loss(self, message: Message, delay_us: int = SECOND) -> float:
        """Return the value that a message loses if it is delayed by `delay_us` microseconds."""
        soon, halving = self.now + INITIAL_ANSWER_US, self.settings.halving
        return message.worth_at(soon, halving) - message.worth_at(soon + delay_us, halving)

    def urgency(self, destination: Destination) -> float:
        """Value lost by delaying a destination, per time that its call would hold a slot."""
        # Keeps slow destinations from starving fast ones when slots are scarce: the c-mu scheduling rule.
        usual = min((it.usual_us for it in destination.accounts.values()), default=INITIAL_ANSWER_US)
        return self.value_loss(next(iter(destination.waiting.values()))) / max(usual, SECOND // 100)

    def order(self, destination: Destination) -> list[Message]:
        """Sort queued messages by the value each loses if sent last instead of first, then by target time."""
        rate = sum(account.limit(self.now) / account.window for account in destination.accounts.values())
        drain = max(SECOND, int(min(len(destination.waiting) / max(rate, 1e-7), 60 * SECOND)))
        able = [message for message in destination.waiting.values() if self.eligible(message)]
        return sorted(able, key=lambda message: (-self.value_loss(message, drain), message.aim_us))

    def openings(self, destination: Destination) -> Iterator[tuple[Endpoint, int]]:
        """Endpoints with a slot and a connection available, and when each may next be called."""
        scarce = self.slots_out > self.settings.slots * MAX_SLOT_SHARE
        few = 1 if scarce else MAX_UNPROVEN_CALLS
        for endpoint in destination.endpoints.values():
            endpoint.forget_idle(self.now - self.settings.idle_us)
            new = not endpoint.idle and self.now < endpoint.table_full_until
            full = new and self.relays_per_connection <= 1 and endpoint.out >= endpoint.table_size
            # Keeps slots from being held by many endpoints that became active at once, some slow, silent or
            # down. Cost: at a healthy but slow one the second message waits for the first answer.
            unsure = endpoint.out >= few and not self.delivered_recently(endpoint)
            if not (full or unsure or endpoint.account.at_slot_limit(self.now)):
                opening = max(endpoint.account.opening(self.now), self.cold_opening(endpoint))
                waits = new and self.relays_per_connection > 1
                yield endpoint, max(opening, endpoint.table_full_until) if waits else opening

    def serve(self, destination: Destination) -> None:
        """Send what may go now, then wait for the next opening, a slot or an answer."""
        able: list[Message] | None = None
        while destination.waiting:
            openings = dict(self.openings(destination))
            ready = [endpoint for endpoint in openings if openings[endpoint] <= self.now]
            ready.sort(key=self.rank)
            if able is None and ready:
                able = self.order(destination)
            left = [it for it in able or () if it.ref in destination.waiting] if ready else []
            choice = next((to for message in left for to in ready if self.usable(to, message)), None)
            if choice is None:
                for endpoint in [to for to in ready if left and to.cold and to.may_have_run][:1]:
                    self.test_endpoint(destination, endpoint)
                if later := [opening for opening in openings.values() if opening > self.now]:
                    self.set_destination_timer(destination, min(later))
                return
            if self.no_slot(choice):
                return self.wait_for_slot(destination)
            self.send(choice, (message for message in left if self.usable(choice, message)))

    def wait_for_slot(self, destination: Destination) -> None:
        """Queue a destination for a free slot; overdue calls are cancelled to free one."""
        self.waiting_for_slot[destination] = None
        if len(self.waiting_for_slot) > MAX_COMPETING:
            return  # destinations queued before it handle this, and slots are given in turn
        if self.overdue_us is None:
            self.overdue_us = self.cancel_overdue()
        self.set_destination_timer(destination, self.overdue_us)

    def cancel_overdue(self) -> int:
        """With all slots taken, cancel overdue calls, once a step; returns when the next becomes overdue."""
        # Keeps hung calls from holding the slots. Cost: slow calls with unsafe messages are cancelled too.
        due = {key: it.start_us + it.endpoint.account.patience_us() for key, (_, it) in self.calls.items()}
        late = [key for key, at_us in due.items() if at_us <= self.now and self.settings.may_cancel]
        self.actions += [api.CancelAttempt(*key) for key in late]
        return min([at for at in due.values() if at > self.now], default=self.now + SECOND)

    def test_endpoint(self, destination: Destination, endpoint: Endpoint) -> None:
        """Test an endpoint that drops calls and has only unsafe messages queued: by a probe, else by one."""
        retry = endpoint.last_failure_us + self.settings.overload_us
        if not self.settings.may_probe:
            endpoint.may_have_run = self.now < retry
            self.set_destination_timer(destination, retry)
        elif endpoint.entry.endpoint not in self.probes:
            self.probes[endpoint.entry.endpoint] = self.start_call(endpoint, 1, 0)
            self.actions.append(api.Probe(endpoint.entry.endpoint))

    def send(self, endpoint: Endpoint, able: Iterator[Message]) -> None:
        """Send one call. Unsafe attempts get the full time: giving up frees a slot but loses the message."""
        bundle = list(itertools.islice(able, self.settings.kinds[endpoint.entry.kind].bundle_max))
        call, patience = self.start_call(endpoint, len(bundle), 1), endpoint.account.patience_us()
        for message in bundle:
            until, effect = message.deadline_us, message.kind.effect
            if effect is Effect.KEYED:  # the key must still be remembered at a repeat
                patience = min(patience, max(SECOND, message.kind.key_life_us // 2))
            if effect is not Effect.UNSAFE and self.now + patience + endpoint.account.usual_us < until:
                until = self.now + patience
                if self.settings.second_copies:
                    self.set_timer(self.now + patience // 2, message)
            del message.destination.waiting[message.ref]
            message.out[message.attempts] = call
            self.calls[message.ref, message.attempts] = message, call
            message.attempts += 1
            self.actions.append(api.Send(message.ref, endpoint.entry.endpoint, until, bundle[0].ref))
