"""A transport that the host supplies: one coroutine that makes a call."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from amberlug.core.attempt_clearance import clear_attempts
from amberlug.core.log import log
from amberlug.core.messages import Attempt, AttemptResult
from amberlug.core.ports import Address, Calls, Clock
from amberlug.policy.interface import Result


class NotSentError(Exception):
    """The call never left: no connection came up, or it broke before its last byte was written."""


class TurnedAwayError(Exception):
    """The endpoint refused the call, which never ran; it may have told how many seconds to wait."""

    def __init__(self, wait: float = 0.0) -> None:
        super().__init__(f"turned away; wait {wait} s")
        self.wait = wait


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message as it goes to an endpoint."""

    id: str
    key: str | None
    message_class: str
    destination: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Call:
    """One call to one endpoint, with several messages where its kind bundles them; they have one fate."""

    endpoint: str
    messages: tuple[Outgoing, ...]
    seconds: float  # after which it is given up

    @property
    def message(self) -> Outgoing:
        """The first of its messages, which is the only one unless their kind bundles them."""
        return self.messages[0]


class Deliver(Protocol):
    """Makes a call.

    Returning means that it was delivered, `NotSentError` and `TurnedAwayError` that it never ran; anything
    else that it raises, that it may have. It is cancelled when the relay stops waiting; until it has ended,
    it counts as out.
    """

    async def __call__(self, call: Call, /) -> None: ...


class HostTransport:
    """The core's transport over a host's coroutine."""

    def __init__(self, deliver: Deliver, clock: Clock) -> None:
        self._deliver, self._clock = deliver, clock
        self._out: dict[Attempt, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def busy(self) -> bool:
        return bool(self._tasks)

    def bind(self, calls: Calls) -> None:
        self._calls = calls

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        task = asyncio.get_running_loop().create_task(self._call(endpoint, attempts))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def call_off(self, attempt: Attempt) -> None:
        attempt.called_off = True
        if (task := self._out.get(attempt)) is not None:
            task.cancel()

    def probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        """Say that nothing was asked: a host's coroutine only delivers."""
        asyncio.get_running_loop().call_soon(ended, AttemptResult(Result.UNSENT))

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        """Leave addresses to the host."""

    def close_idle(self, endpoint: str) -> None:
        """Leave connections to the host."""

    def abandon(self) -> None:
        """Give up all that is out; no more ends are reported."""
        self._closed = True
        for task in [*self._out.values(), *self._tasks]:
            task.cancel()

    def _end(self, attempt: Attempt, how: AttemptResult) -> None:
        if not attempt.ended and not self._closed:
            attempt.ended = True
            self._calls.ended(attempt, how)

    async def _call(self, endpoint: str, attempts: list[Attempt]) -> None:
        # Only now: an attempt that is recorded and then does not leave may have run, for the next life.
        cleared = await clear_attempts(self._calls, attempts)
        for attempt in attempts:
            if attempt not in cleared:
                self._end(attempt, AttemptResult(Result.UNSENT))
        if cleared:
            await self._make(endpoint, cleared)

    async def _make(self, endpoint: str, attempts: list[Attempt]) -> None:
        seconds = max(0.0, (min(it.until_us for it in attempts) - self._clock.now_us()) / 1e6)
        messages = tuple(
            Outgoing(it.name, it.key, it.message_class, it.destination, it.body)
            for it in (attempt.message for attempt in attempts)
        )
        # In a task of its own: whatever it raises is looked at, and harms nothing.
        out = asyncio.get_running_loop().create_task(_made(self._deliver, Call(endpoint, messages, seconds)))
        for attempt in attempts:
            self._out[attempt] = out
        await asyncio.wait({out}, timeout=seconds)
        late = not out.done()
        if late:
            out.cancel()
            await asyncio.wait({out})  # it counts as out until it has ended
        for attempt in attempts:
            del self._out[attempt]
        how = AttemptResult(Result.TIMED_OUT) if late and out.cancelled() else ending(out)
        for attempt in attempts:
            self._end(
                attempt, AttemptResult(Result.CALLED_OFF) if attempt.called_off and out.cancelled() else how
            )


async def _made(deliver: Deliver, call: Call) -> None:
    """Call a host's coroutine inside its task: also one that raises before its first await."""
    await deliver(call)


def ending(out: asyncio.Task[None]) -> AttemptResult:
    """Tell what became of a call that is over."""
    if out.cancelled():
        return AttemptResult(Result.RESET)
    error = out.exception()
    if error is None:
        return AttemptResult(Result.DONE)
    if isinstance(error, TurnedAwayError):
        return AttemptResult(Result.REFUSED, int(max(0.0, min(error.wait, 3600.0)) * 1e6))
    if isinstance(error, NotSentError):
        return AttemptResult(Result.UNCONNECTED)
    log(f"a call raised {error!r}: it may have run")
    return AttemptResult(Result.ERROR)
