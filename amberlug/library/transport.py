"""Custom transports: the host supplies a coroutine that makes a call."""

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
    """The call was not sent: no connection was established, or it broke before the last byte was written."""


class TurnedAwayError(Exception):
    """The endpoint refused the call without executing it; `wait` is the requested delay in seconds."""

    def __init__(self, wait: float = 0.0) -> None:
        super().__init__(f"the endpoint refused the call; retry after {wait} s")
        self.wait = wait


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message as it is sent to an endpoint."""

    id: str
    key: str | None
    message_class: str
    destination: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Call:
    """A call to an endpoint, with several messages if its kind bundles them; they share one result."""

    endpoint: str
    messages: tuple[Outgoing, ...]
    seconds: float  # timeout

    @property
    def message(self) -> Outgoing:
        """The first message, which is the only one unless the endpoint's kind bundles messages."""
        return self.messages[0]


class Deliver(Protocol):
    """Makes a call.

    Returning means that it was delivered; `NotSentError` and `TurnedAwayError` mean that it was not executed;
    any other exception means that it may have been. It is cancelled when the relay stops waiting, and counts
    as outstanding until it has ended.
    """

    async def __call__(self, call: Call, /) -> None: ...


class HostTransport:
    """Implements the core's transport with a host's coroutine."""

    def __init__(self, deliver: Deliver, clock: Clock) -> None:
        self._deliver, self._clock = deliver, clock
        self._outstanding: dict[Attempt, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return bool(self._tasks)

    def bind(self, calls: Calls) -> None:
        """Set the core, which clears attempts to be sent and receives their results."""
        self._calls = calls

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        """Start the host's coroutine for one call with one or more messages."""
        task = asyncio.get_running_loop().create_task(self._call(endpoint, attempts))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def call_off(self, attempt: Attempt) -> None:
        """Cancel the host's coroutine for an attempt."""
        attempt.called_off = True
        if (task := self._outstanding.get(attempt)) is not None:
            task.cancel()

    def probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        """Report that no probe was sent: a host's coroutine only delivers messages."""
        asyncio.get_running_loop().call_soon(ended, AttemptResult(Result.UNSENT))

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        """Do nothing: the host manages addresses."""

    def close_idle(self, endpoint: str) -> None:
        """Do nothing: the host manages connections."""

    def abandon(self) -> None:
        """Cancel all outstanding calls and report no more results."""
        self._closed = True
        for task in [*self._outstanding.values(), *self._tasks]:
            task.cancel()

    def _end(self, attempt: Attempt, how: AttemptResult) -> None:
        if not attempt.ended and not self._closed:
            attempt.ended = True
            self._calls.ended(attempt, how)

    async def _call(self, endpoint: str, attempts: list[Attempt]) -> None:
        # Record only now: after a restart, an attempt that was recorded but not sent counts as possibly
        # executed.
        cleared = await clear_attempts(self._calls, attempts)
        for attempt in attempts:
            if attempt not in cleared:
                self._end(attempt, AttemptResult(Result.UNSENT))
        if cleared:
            await self._make_call(endpoint, cleared)

    async def _make_call(self, endpoint: str, attempts: list[Attempt]) -> None:
        seconds = max(0.0, (min(it.until_us for it in attempts) - self._clock.now_us()) / 1e6)
        messages = tuple(
            Outgoing(it.name, it.key, it.message_class, it.destination, it.body)
            for it in (attempt.message for attempt in attempts)
        )
        # Runs in a separate task, so that any exception it raises is caught and evaluated.
        out = asyncio.get_running_loop().create_task(
            _run_deliver(self._deliver, Call(endpoint, messages, seconds))
        )
        for attempt in attempts:
            self._outstanding[attempt] = out
        await asyncio.wait({out}, timeout=seconds)
        late = not out.done()
        if late:
            out.cancel()
            await asyncio.wait({out})  # it counts as outstanding until it has ended
        for attempt in attempts:
            del self._outstanding[attempt]
        how = AttemptResult(Result.TIMED_OUT) if late and out.cancelled() else ending_of(out)
        for attempt in attempts:
            self._end(
                attempt, AttemptResult(Result.CALLED_OFF) if attempt.called_off and out.cancelled() else how
            )


async def _run_deliver(deliver: Deliver, call: Call) -> None:
    """Call a host's coroutine inside its task, so that an error before its first await is caught as well."""
    await deliver(call)


def ending_of(out: asyncio.Task[None]) -> AttemptResult:
    """Map a finished call to its result."""
    if out.cancelled():
        return AttemptResult(Result.RESET)
    error = out.exception()
    if error is None:
        return AttemptResult(Result.DONE)
    if isinstance(error, TurnedAwayError):
        return AttemptResult(Result.REFUSED, int(max(0.0, min(error.wait, 3600.0)) * 1e6))
    if isinstance(error, NotSentError):
        return AttemptResult(Result.UNCONNECTED)
    log(f"transport raised {error!r}; the call may have been executed")
    return AttemptResult(Result.ERROR)
