"""What a relay decides beyond a single life, and between a decision and its first byte.

A `Sender` forgets all with its process. One on real sockets goes on with what it held, and its sends take
time to leave: both are decided here, with the records and guards of `stoatusher/decide.py`.
"""

from collections import deque
from collections.abc import Sequence

from stoatusher import interface as api
from stoatusher.decide import MAY_HAVE_RUN, Account, Sender, may_repeat
from stoatusher.interface import Group, State
from stoatusher.state import NEVER, Call, Endpoint, Message


class LastingSender(Sender):
    """All decisions of one relay that outlasts its processes."""

    resumed: api.Resumed | None = None

    def step(self, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        """Take what was held before a restart first: it came first."""
        self.now = max(self.now, now_us)
        held = [event for event in events if isinstance(event, api.Resumed)]
        early: list[api.Action] = []
        for event in held:
            self.actions = []
            self.resume(event)
            early += self.actions
        return early + super().step(now_us, events)

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
        if (endpoint := self.endpoints.get(attempt.endpoint)) is None:
            entry = api.Entry(attempt.endpoint, "", "", 0, State.GONE, 0.0)
            endpoint = Endpoint(entry, Account(self.settings, None), deque(maxlen=1))
            start_us = start_us if message.kind.group is Group.ALL else NEVER
        return Call(endpoint, start_us, 0, 0)

    def may_start(self, now_us: int, ref: int, name: str) -> bool:
        """Whether a send that was decided on may still leave: no drain, wait or end has come since."""
        endpoint = self.endpoints.get(name)
        return ref in self.messages and endpoint is not None and endpoint.account.blocked_until <= now_us

    def bundle_most(self, name: str) -> int:
        """How many messages one call to an endpoint may hold."""
        endpoint = self.endpoints.get(name)
        return 1 if endpoint is None else self.settings.kinds[endpoint.entry.kind].bundle_max
