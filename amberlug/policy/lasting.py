"""What a relay decides beyond a single life, and between a decision and its first byte.

A `Sender` forgets all with its process. One on real sockets goes on with what it held, and its sends take
time to leave: both are decided here, with the records and guards of `amberlug/policy/decide.py`.
"""

import itertools
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import replace
from itertools import chain

from amberlug.policy import folding
from amberlug.policy import interface as api
from amberlug.policy.account import OPEN, Account
from amberlug.policy.decide import ANSWER_WEIGHT, MAY_HAVE_RUN, Sender, may_refuse, may_repeat
from amberlug.policy.interface import Effect, Group, Result, State
from amberlug.policy.state import NEVER, Call, Destination, Endpoint, Message

LEAST_ADVICE_US = 500_000  # how long a refused client stays away at least: a queue takes as long to go
AWAY_US = 5_000_000  # how long a planned restart takes: ending, starting, and what waits by then
EARLY_US = 150_000  # how long before its time is up a message ends here: half of what an end may be late
ON_ITS_WAY_US = 300_000  # how long a send that leaves may take to reach an endpoint
BEHIND_US = 30_000  # a wait to be read that is usual under load; the answer comes some waits later
BEHIND_ADVICE_US = 1_000_000  # when one may come again that was refused while this relay was behind
USUAL_WEIGHT = 0.02  # weight of the newest message in the usual worth
LONE_RATE, REUSED_RATE = 0.25, 0.45  # failure rates below which a reset is one of few: two, or four, in a row
STALE_WEIGHT = 0.02  # weight of the newest call on a used connection in the rate of those that were reset
STALE_RATE = 0.05  # rate above which what can't be repeated goes on a new connection, at a handshake each
UNHEARD_US = 2_000_000  # longest wait that is presumed to have been told and not heard, as the process ended
KEEP = 0.75  # a message that keeps less of its worth over a planned restart is handed back for another relay


class LastingSender(Sender):
    """All decisions of one relay that outlasts its processes."""

    resumed: api.Resumed | None = None
    closing = False
    waking = False  # whether a destination is being made from the list
    usual_worth = 0.0  # of late messages
    stale_rate = 0.0  # part of late calls on used connections that were reset
    list_good_until = OPEN  # from then on an endpoint may drain that this relay does not know of
    list_told_old = False  # whether a line in the log says that it is

    def __init__(self, settings: api.Settings, seed: int, recall: api.Recall | None = None) -> None:
        super().__init__(settings, seed)
        self.recall = recall

    def step(self, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        """Take in what came as in any life, then what belongs to a restart, and serve what that touched."""
        self.closing = self.closing or any(isinstance(event, api.Closing) for event in events)
        confirmed = [event for event in events if isinstance(event, api.Current)]
        old = confirmed and now_us >= self.list_good_until
        for current in confirmed:
            self.list_good_until = now_us + current.for_us
        super().step(now_us, events)
        if old and self.list_told_old:
            self.list_told_old = False
            self.actions.append(api.Log("list: confirmed again; messages are taken on and sent as before"))
        own = [it for it in events if old or isinstance(it, api.Resumed | api.Closing)]
        for event in own:
            if isinstance(event, api.Resumed):
                self.resume(event)
        for destination in self.destinations.values() if own else ():
            self.serve(destination)
        return self.actions

    def serve(self, destination: Destination) -> None:
        """Send what fits; while closing nothing goes out, and what would lose too much is handed back."""
        # Guards against results that wait out a restart here, late, while another relay could send them.
        if not self.closing:
            # Guards against calls to what drains or is gone, which counts as told some seconds later whether
            # or not it arrived. It could do harm where discovery is down for long: nothing is sent then.
            if not self.list_old:
                super().serve(destination)
            elif destination.waiting:
                self.tell_old()
            return
        back_us, halving = self.now + AWAY_US, self.settings.halving
        for message in list(destination.waiting.values()):
            kept = message.worth_at(back_us, halving)
            if may_refuse(message) and kept < KEEP * message.worth_at(self.now, halving):
                self.finish(message)

    @property
    def list_old(self) -> bool:
        """Whether the list may miss a drain: nothing is taken on or sent by it."""
        return self.now >= self.list_good_until

    def tell_old(self) -> None:
        """Say once, for those on call, that it is the list's age which holds all up."""
        if not self.list_told_old:
            self.list_told_old = True
            late_s = (self.now - self.list_good_until) / 1e6
            text = f"list: too old for {late_s:.1f} s, since discovery does not confirm it: "
            self.actions.append(api.Log(text + "nothing is taken on or sent until it does"))

    def stale(self, label: int) -> bool:
        """Whether a timer has nothing left to tell, since its message has ended; it is forgotten then."""
        target = self.timers.get(label)
        if isinstance(target, Message) and target.ref not in self.messages:
            del self.timers[label]
            return True
        return False

    def serves(self, number: int) -> bool:
        """Whether the list names a destination; for others nothing is taken on."""
        return self.members.serves(number)

    def awaken(self, number: int) -> Destination:
        """The record of a destination; where nothing is kept of it, with what is believed from before."""
        asleep = number not in self.destinations and number not in self.folded
        self.waking = True
        to = super().awaken(number)
        self.waking = False
        if asleep and self.recall is not None:
            told = self.recall(number, tuple(it.entry for it in to.endpoints.values()))
            if told is not None:
                folding.believe(to, told, self.settings)
        return to

    def enlist(self, to: Destination, entry: api.Entry) -> None:
        """Go on with an endpoint; one that comes to a destination in use is asked for by itself."""
        came = entry.endpoint not in self.endpoints and not self.waking
        super().enlist(to, entry)
        told = self.recall(to.number, (entry,)) if came and self.recall is not None else None
        if told is None:
            return
        # Guards against a wait that was told by a route which was not listed for a while.
        for route in told.routes:
            if (account := to.accounts.get(route.route)) is not None:
                account.blocked_until = max(account.blocked_until, route.blocked_until_us)
        if entry.endpoint in to.awaited:  # listed only after the destination's first message
            to.awaited.discard(entry.endpoint)
            own = tuple(it for it in told.routes if it.route == entry.endpoint)
            folding.believe(to, replace(told, routes=own), self.settings)

    def learned(self, most: int, turns: bool = False) -> list[api.Known]:
        """What was learned and is not kept yet, of so many destinations, or only where it would be missed."""
        part = self.turns if turns else self.news
        found = []
        for number in list(itertools.islice(part, most)):
            self.news.pop(number, None)
            self.turns.pop(number, None)
            if (to := self.destinations.get(number)) is not None:
                found.append(folding.known(to))
        return found

    def answered(self, call: Call, result: Result, wait_us: int, report: tuple[float, ...]) -> None:
        endpoint, number = call.endpoint, call.endpoint.entry.destination
        before = endpoint.cold, endpoint.back_us is None, endpoint.account.learned_us
        super().answered(call, result, wait_us, report)
        self.news[number] = None
        # Guards against a death before the next keeping: an outage or a limit would be met once more.
        if before != (endpoint.cold, endpoint.back_us is None, endpoint.account.learned_us):
            self.turns[number] = None

    def route(self, name: str) -> str:
        """Whom a wait binds that an endpoint tells: its route alone, or (empty) all its destination."""
        entry = self.members.get(name)
        return name if entry is not None and self.settings.kinds[entry.kind].apart else ""

    def take(self, event: api.Taken) -> None:
        """Hold a message for a little less than its time, unless this relay is too far behind."""
        if self.too_busy(event):
            advice_us = min(BEHIND_ADVICE_US, self.settings.max_advice_us) if self.settings.may_advise else 0
            self.actions.append(api.Refuse(event.ref, advice_us))
            return
        # Guards against ends that come late where the process was held up: one that comes late is a loss.
        left_us = event.left_us - event.waited_us
        super().take(replace(event, left_us=left_us - min(EARLY_US, max(0, left_us) // 10)))

    def too_busy(self, event: api.Taken) -> bool:
        """Whether to refuse a message, the less it is worth the sooner, since what comes waits to be read."""
        # Guards against answers so late that clients leave and come again, which doubles the work: whatever
        # takes the process's time. Could do harm where one long turn, not load, made what came in it wait.
        if self.list_old and self.resumed is None:
            self.tell_old()
            return True  # another relay may know where it can go
        worth = self.settings.classes[event.message_class].worth
        usual = self.usual_worth or worth
        self.usual_worth = usual + (worth - usual) * USUAL_WEIGHT
        return worth < self.usual_worth * (event.waited_us - BEHIND_US) / BEHIND_US

    def judge(self, endpoint: Endpoint, start_us: int, result: Result, wait_us: int) -> None:
        """Judge an endpoint; where a call broke or went unanswered, what idles there is not used again."""
        # Guards against calls on connections that an endpoint forgot while it was away: each ends as a reset.
        if result is Result.RESET and self.lone(endpoint):
            endpoint.failure_rate += (1 - endpoint.failure_rate) * ANSWER_WEIGHT
        else:
            super().judge(endpoint, start_us, result, wait_us)
        if result in (Result.TIMED_OUT, Result.RESET):
            endpoint.idle.clear()
            self.actions.append(api.CloseIdle(endpoint.entry.endpoint))

    def lone(self, endpoint: Endpoint) -> bool:
        """Whether a reset tells of its connection alone: one that was used before, or one reset of few."""
        # Guards against giving an endpoint up for seconds because a peer or the way there drops connections.
        # Could do harm where an endpoint that crashed resets calls one by one: a few more meet it first.
        return not endpoint.cold and endpoint.failure_rate < (REUSED_RATE if self.reused else LONE_RATE)

    def outcome(self, event: api.Outcome) -> None:
        self.reused = event.reused
        if self.reused:
            self.stale_rate += ((event.result is Result.RESET) - self.stale_rate) * STALE_WEIGHT
        super().outcome(event)

    def resume(self, event: api.Resumed) -> None:
        """Hold a message again; one that can't go on is ended at once."""
        self.resumed = event
        self.take(event.taken)
        self.resumed = None
        message = self.messages.get(event.taken.ref)
        spent = event.attempts >= self.settings.most_attempts or event.taken.left_us <= 0
        if message is not None and (spent or not may_repeat(message, self.now)):
            self.finish(message)

    def hold(self, message: Message) -> None:
        """Hold a message with the attempts that it has had, before anything is decided about it."""
        super().hold(message)
        if self.resumed is not None:
            message.attempts = self.resumed.attempts
            message.ran = [
                self.earlier(attempt, message)
                for attempt in self.resumed.earlier
                if attempt.result is None or attempt.result in MAY_HAVE_RUN
            ]

    def earlier(self, attempt: api.Earlier, message: Message) -> Call:
        """Rebuild an attempt that may have run; where its zone is no longer known, its key is not either."""
        start_us = self.now - attempt.ago_us
        if attempt.result is None and attempt.endpoint in self.endpoints:
            # Guards against a wait that was told as the process ended, and that nobody heard. Could do harm
            # where none was told: what is meant for that destination waits as long as the last one was.
            account = self.endpoints[attempt.endpoint].account
            account.blocked_until = max(account.blocked_until, self.now + min(account.told_us, UNHEARD_US))
        if (endpoint := self.endpoints.get(attempt.endpoint)) is None:
            entry = api.Entry(attempt.endpoint, "", "", 0, State.GONE, 0.0)
            endpoint = Endpoint(entry, Account(self.settings, None), deque(maxlen=1))
            start_us = start_us if message.kind.group is Group.ALL else NEVER
        return Call(endpoint, start_us, 0, 0)

    def send(self, endpoint: Endpoint, able: Iterator[Message]) -> None:
        """Send one call, all of whose attempts are abandoned when the first of them would be."""
        # Guards against what an answer says that comes after the time of one of its messages: of the others,
        # taken for delivered, nobody may have it so. It also spares what could be repeated a wait as long as
        # that of what can't. Unsafe ones go by themselves, since they wait out their time. It could do harm
        # where one with little time ends the call of others that a slow endpoint would still have answered.
        sent, first = len(self.actions), next(able)
        unsafe = first.kind.effect is Effect.UNSAFE
        alike = (it for it in able if (it.kind.effect is Effect.UNSAFE) is unsafe)
        super().send(endpoint, chain([first], alike))
        until_us = min(it.until_us for it in self.actions[sent:] if isinstance(it, api.Send))
        # Guards against resets on kept connections: what can't be repeated is lost by one. Could do harm
        # where new connections fare no better, or are dear: a handshake for each.
        fresh = unsafe and self.stale_rate > STALE_RATE
        if endpoint.cold:  # guards the bound on what is cold: a start that is not kept would count for none
            self.turns[endpoint.entry.destination] = None
        self.actions[sent:] = [
            replace(it, until_us=until_us, fresh=fresh) if isinstance(it, api.Send) else it
            for it in self.actions[sent:]
        ]

    def may_start(self, now_us: int, ref: int, name: str) -> bool:
        """Whether a send that was decided on may still leave: no drain, wait or end has come since."""
        endpoint, message = self.endpoints.get(name), self.messages.get(ref)
        late = now_us >= self.list_good_until
        if endpoint is None or message is None or endpoint.account.blocked_until > now_us or late:
            return False
        # Guards against a keyed message whose key runs out between the decision and the last byte.
        oldest = now_us + ON_ITS_WAY_US - message.kind.key_life_us
        return message.kind.effect is not Effect.KEYED or all(call.start_us > oldest for call in message.ran)

    def finish(self, message: Message) -> None:
        """Give the final answer, a refusal with the time at which this relay could send again."""
        super().finish(message)
        at = len(self.actions) - 1  # of the end: what asks for openings may have something to tell the log
        end = self.actions[at]
        if isinstance(end, api.Refuse) and self.settings.may_advise:
            opens = [opening for _, opening in self.openings(message.destination)]
            advice_us = max(LEAST_ADVICE_US, min(opens, default=self.now) - self.now)
            self.actions[at] = api.Refuse(end.ref, min(advice_us, self.settings.max_advice_us))
