"""Stand-in clients: each sends its messages over new connections and notes every answer."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from . import http
from .deployment import Record

HOST = "ficu95.example"
DEADLINE_MS = 1500


@dataclass
class Sent:
    """One request of a client; times are those of the record."""

    attempt: str
    key: str
    delay_ms: int
    sent: float
    answered: float = 0.0
    status: int = 0  # 0: no complete answer
    name: str = ""

    @property
    def is_accepted(self) -> bool:
        """Whether the message was accepted."""
        return self.status == 202


@dataclass
class Draft:
    """A message to be sent.

    :param front: the relay that it goes to; empty for any.
    """

    path: str
    key: str = ""
    delay_ms: int = 0
    headers: http.Headers = field(default_factory=list)
    body: bytes = b"x" * 600
    front: str = ""


class Clients:
    """The clients of a deployment; each request goes to one of the given relays."""

    def __init__(self, record: Record, fronts: list[str], seed: int = 1) -> None:
        self.record, self.fronts = record, fronts
        self.sent: list[Sent] = []
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[Sent]] = set()

    async def send(self, draft: Draft) -> Sent:
        """Send one message, without further tries."""
        attempt = f"{next(self._numbers):08x}{self._rng.getrandbits(32):08x}"
        fields = [
            ("Host", HOST),
            ("Amberlug-Attempt-Id", attempt),
            ("Amberlug-Time-Remaining", str(DEADLINE_MS)),
        ]
        if draft.key:
            fields.append(("Amberlug-Sequence-Key", draft.key))
        if draft.delay_ms:
            fields.append(("Amberlug-Not-Before", str(draft.delay_ms)))
        sent = Sent(attempt, draft.key, draft.delay_ms, self.record.now())
        self.sent.append(sent)
        address = draft.front or self._rng.choice(self.fronts)
        call = http.Call("POST", draft.path, fields + draft.headers, draft.body)
        answer = await http.send(address, call, wait_s=DEADLINE_MS / 1000 + 0.3)
        sent.answered = self.record.now()
        if answer is not None:
            sent.status = answer.status
            sent.name = answer.headers.get("amberlug-message-name", attempt)
        self.record.write(
            "sent",
            attempt=attempt,
            at=round(sent.sent, 3),
            to=address,
            key=draft.key,
            delay=draft.delay_ms,
            status=sent.status,
        )
        return sent

    def spawn(self, draft: Draft) -> None:
        """Send one message in the background."""
        task = asyncio.get_running_loop().create_task(self.send(draft))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def settle(self) -> None:
        """Wait for the answers to all requests."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))
