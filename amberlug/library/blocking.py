"""The relay for hosts without an event loop: it runs in its own thread, with the same guarantees."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from types import TracebackType
from typing import Any, Self, TypeVar

from amberlug.core.messages import End
from amberlug.library.messages import Message, RelayClosedError
from amberlug.library.relay import CLOSE_GRACE_S, Relay
from amberlug.library.taken import Taken

T = TypeVar("T")


class BlockingTaken:
    """An accepted message."""

    def __init__(self, owner: BlockingRelay, taken: Taken) -> None:
        self._owner, self._taken = owner, taken
        self.id = taken.id

    @property
    def ended(self) -> End | None:
        """The final outcome, or None while there is none."""
        return self._taken.ended

    def end(self, timeout: float | None = None, *, acknowledge: bool = True) -> End:
        """Wait for the outcome; `TimeoutError` after `timeout` seconds, which does not cancel the message."""
        end = self._owner.ask(self._taken.end(acknowledge=False), timeout)
        if acknowledge:
            self.acknowledge()
        return end

    def acknowledge(self) -> None:
        """Acknowledge the outcome, or declare in advance that nobody will ask for it."""
        self._taken.acknowledge()


class BlockingRelay:
    """Wraps a relay that is not open yet and runs its event loop in a thread; safe to use from any thread.

    The thread is a daemon thread and does not keep the interpreter alive. Messages without an outcome are
    then resumed when the folder is opened again.
    """

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._loop: asyncio.AbstractEventLoop | None = None

    def __enter__(self) -> Self:
        self.open()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def open(self) -> None:
        """Start the thread and open the relay; raises the same errors as `Relay.open`."""
        started: Future[None] = Future()
        self._thread = threading.Thread(target=self._run, args=(started,), name="amberlug", daemon=True)
        self._thread.start()
        started.result()
        try:
            self.ask(self._relay.open())
        except BaseException:
            self._end_thread()
            raise

    def close(self, grace: float = CLOSE_GRACE_S) -> None:
        """Close the relay, then stop the thread; does nothing if it is not open."""
        if self._loop is not None:
            self._relay.check_process()
            try:
                self.ask(self._relay.close(grace))
            finally:
                self._end_thread()

    def hand_in(self, message: Message, timeout: float | None = None) -> BlockingTaken:
        """Submit a message like `Relay.hand_in`; `TimeoutError` if it was withdrawn after the timeout."""
        return BlockingTaken(self, self.ask(self._hand_in(message), timeout))

    def find(self, name: str) -> BlockingTaken | None:
        """The message with that id, if it has no outcome yet or the outcome is not acknowledged."""
        taken = self.ask(self._find(name))
        return None if taken is None else BlockingTaken(self, taken)

    def unclaimed(self) -> list[End]:
        """All unacknowledged outcomes."""
        return self.ask(self._unclaimed())

    def acknowledge(self, name: str) -> None:
        """Acknowledge the outcome of the message with that id."""
        self.ask(self._acknowledge(name))

    def ask(self, work: Coroutine[Any, Any, T], timeout: float | None = None) -> T:
        """Run a coroutine in the relay's thread and wait for its result.

        It is cancelled after `timeout`; if it still completes, its result is returned.
        """
        loop = self._loop
        if loop is None:
            work.close()
            raise RelayClosedError("the relay is not open")
        try:
            self._relay.check_process()
        except RuntimeError:
            work.close()
            raise
        done: Future[T] = Future()
        task: list[asyncio.Task[T]] = []

        def start() -> None:
            """Start the coroutine as a task in the relay's thread."""
            task.append(loop.create_task(work))
            task[0].add_done_callback(lambda it: _copy_result(it, done))

        loop.call_soon_threadsafe(start)
        try:
            return done.result(timeout)
        except TimeoutError:
            if done.done():
                raise  # raised by the coroutine itself
        # Prevents an ambiguous result: return only once it is known whether the coroutine completed.
        loop.call_soon_threadsafe(lambda: task[0].cancel())
        return done.result()

    async def _hand_in(self, message: Message) -> Taken:
        try:
            return await self._relay.hand_in(message)
        except asyncio.CancelledError:
            if (taken := self._relay.find(message.id)) is not None:
                return taken
            raise

    async def _find(self, name: str) -> Taken | None:
        return self._relay.find(name)

    async def _unclaimed(self) -> list[End]:
        return self._relay.unclaimed()

    async def _acknowledge(self, name: str) -> None:
        self._relay.acknowledge(name)

    def _run(self, started: Future[None]) -> None:
        with asyncio.Runner() as runner:
            self._loop, self._stop = runner.get_loop(), asyncio.Event()
            started.set_result(None)
            runner.run(self._wait())

    async def _wait(self) -> None:
        await self._stop.wait()

    def _end_thread(self) -> None:
        loop, self._loop = self._loop, None
        if loop is not None:
            loop.call_soon_threadsafe(self._stop.set)
            self._thread.join()


def _copy_result(task: asyncio.Task[T], done: Future[T]) -> None:
    if task.cancelled():
        done.set_exception(TimeoutError("the operation timed out and was cancelled"))
    elif (error := task.exception()) is not None:
        done.set_exception(error)
    else:
        done.set_result(task.result())
