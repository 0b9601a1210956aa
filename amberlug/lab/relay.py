"""One simulated relay: the real core on an in-memory disk, across process restarts."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from amberlug.core.journal import Journal
from amberlug.core.messages import End, Message, Outcome, PendingRequest, Reason, Refusal
from amberlug.core.node import CLOSED_RETRY_US, Node
from amberlug.core.ports import EndpointListUpdate
from amberlug.lab.clock import SECOND, EventQueue, ProcessClock
from amberlug.lab.disk import MemoryDisk
from amberlug.lab.partners import Endpoint
from amberlug.lab.scenario import World
from amberlug.lab.transport import ModelTransport
from amberlug.learning import DISK_SHARE_DIVISOR
from amberlug.learning.blocks import generation_number
from amberlug.learning.learner import Learner
from amberlug.learning.store import Store
from amberlug.platform.backoff import DiscoveryBackoff
from amberlug.policy import interface as api
from amberlug.standin.checker import Checker

DISK_SHARE = 0.9  # usable part of the directory's size, as in the daemon
CLOSE_TIMEOUT_US = 3 * SECOND  # how long a closing relay waits for its calls
RESTART_DELAY_US = 600_000  # from the end of a process to the start of the next
STARTUP_US = 400_000  # from the start of a process until it accepts messages
LATE_OUTCOME_GRACE_US = 1_500_000  # after which a restart no longer excuses a late outcome
CLOSE_POLL_US = 20_000  # poll interval while closing
LIST_CONFIRM_INTERVAL_US = 2 * SECOND  # longest interval at which discovery confirms the list as current
OutcomeCallback = Callable[[End], None]


def _discard() -> None:
    """Handle a truncated request: CPU time is spent, but nothing is submitted."""


class SimulatedOutcomeChannel:
    """Simulated receiver of outcomes: gets each one after the network delay and acknowledges it."""

    def __init__(self, clock: ProcessClock, network_us: int, told: OutcomeCallback) -> None:
        self._clock, self._network_us, self._told = clock, network_us, told
        self._waiting: set[str] = set()

    @property
    def waiting(self) -> bool:
        """Whether an acknowledgement is outstanding."""
        return bool(self._waiting)

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        """Set the callback for acknowledged outcomes; its argument is the message's name."""
        self._acknowledged = acknowledged

    def owed(self, end: End) -> bool:
        """Whether this outcome must be acknowledged."""
        return end.outcome is not Outcome.DELIVERED and not end.known

    def tell(self, end: End) -> None:
        """Send an outcome that must be acknowledged, unless it has already been sent and is outstanding."""
        if not self.owed(end) or end.message in self._waiting:
            return
        self._waiting.add(end.message)
        self._clock.at(self._clock.now_us() + self._network_us, self._receive, end)

    def _receive(self, end: End) -> None:
        self._told(end)
        self._clock.at(self._clock.now_us() + self._network_us, self._acknowledge, end.message)

    def _acknowledge(self, name: str) -> None:
        self._waiting.discard(name)
        self._acknowledged(name)

    def send(self) -> None:
        """Do nothing: outcomes are not batched here."""


class Relay:
    """A relay; `up` while it accepts messages."""

    def __init__(
        self,
        time: EventQueue,
        settings: api.Settings,
        world: World,
        seed: int,
        endpoints: Mapping[str, Endpoint],
        listed: Callable[[], list[api.Entry]],
        told: Callable[[Relay, End], None],
    ) -> None:
        self._time, self._settings, self._world, self._seed = time, settings, world, seed
        self._endpoints, self._list_endpoints = endpoints, listed
        self._told: OutcomeCallback = lambda end: told(self, end)
        self.checker = Checker()  # checks this relay's own traffic
        self._disk = MemoryDisk(int(world.disk_mb * 1e6))
        self._network_us = int(world.network_ms * 1000)
        self._cpu_free_us = 0  # when its CPU finishes the queued work
        self.up, self.lives = False, 0
        self._down_since_us = 0  # when it began to close or was killed
        self._discovery_backoff = DiscoveryBackoff(settings.relays, settings.drain_grace_us / SECOND)
        self._endpoint_list = listed()  # last received endpoint list
        self._list_confirmed_us: int | None = None  # when that list was last confirmed
        self.list_blocked_until_us = 0  # it receives no list updates until then
        self.cut: dict[int, int] = {}  # per destination, the end of its network partition
        # Intervals in which outcomes may be late because the relay was down.
        self.downtimes: list[tuple[int, int]] = []
        self.start()

    @property
    def written(self) -> int:
        """Bytes written to its disk."""
        return self._disk.written

    def start(self) -> None:
        """Start a process on the present contents of the disk."""
        self.lives += 1
        self._clock = clock = ProcessClock(self._time)
        room = int(self._world.disk_mb * 1e6 * DISK_SHARE)
        if not self._world.remembers:
            for name in [name for name in self._disk.files() if generation_number(name) is not None]:
                self._disk.remove(name)
        journal = Journal(self._disk, room - room // DISK_SHARE_DIVISOR, clock.wall_ms(), clock.now_us)
        learner = Learner(Store(self._disk, room // DISK_SHARE_DIVISOR, clock.now_us), clock)
        idle_us = int(self._world.idle_s * SECOND)
        self._transport = ModelTransport(
            self._endpoints,
            clock,
            self._network_us,
            idle_us,
            self.work,
            self.checker,
            self._settings.dial_us,
            self._is_partitioned,
        )
        ends = SimulatedOutcomeChannel(clock, self._network_us, self._told)
        self.node = Node(self._settings, self._seed, journal, learner, self._transport, ends, clock)
        self._learner = learner
        self.node.listed(EndpointListUpdate(self._endpoint_list, 1, True))
        age_s = (
            None
            if self._list_confirmed_us is None
            else (self._time.now_us - self._list_confirmed_us) / SECOND
        )
        self.node.current(self._discovery_backoff.initial_list_validity_s(self.lives > 1, age_s))
        if self._time.now_us >= self.list_blocked_until_us:
            self._confirm()
        self.node.restore()
        self.up = True
        self._clock.at(self._time.now_us + LIST_CONFIRM_INTERVAL_US, self._confirm_later, clock)

    def work(self, job: Callable[[], None]) -> None:
        """Run a job once the CPU is free; each job occupies it for the scenario's `cpu_us`."""
        if not self._world.cpu_us:
            job()
            return
        self._cpu_free_us = max(self._cpu_free_us, self._time.now_us) + int(self._world.cpu_us)
        self._clock.at(self._cpu_free_us, job)

    def _is_partitioned(self, endpoint: str) -> bool:
        return self.cut.get(self._endpoints[endpoint].of.number, 0) > self._time.now_us

    def hand_in(self, message: Message, deadline_us: int, exchange: PendingRequest) -> None:
        """Receive a request from a client."""
        if not self.up:
            exchange.settle(Refusal(Reason.CLOSING, CLOSED_RETRY_US))
            return
        arrived_us = self._time.now_us

        def read() -> None:
            """Submit the message to the node, with the time that it waited for the CPU."""
            now = self._time.now_us
            self.node.hand_in(message, max(0, deadline_us - now), now - arrived_us, exchange)

        self.work(read)

    def receive_truncated(self) -> None:
        """Receive a request that is cut off by the end of its connection."""
        if self.up:
            self.work(_discard)

    def client_disconnected(self, exchange: PendingRequest) -> None:
        """Handle a client that closes its connection before the response."""
        if self.up:
            self.node.client_disconnected(exchange)

    def receive_list(self) -> None:
        """Receive the current endpoint list, unless discovery is unreachable."""
        if self.up and self._time.now_us >= self.list_blocked_until_us:
            self._confirm()

    def _confirm(self) -> None:
        self._endpoint_list, self._list_confirmed_us = self._list_endpoints(), self._time.now_us
        self.node.listed(EndpointListUpdate(self._endpoint_list, 2, True))
        self.node.current(self._discovery_backoff.list_validity_s())

    def _confirm_later(self, clock: ProcessClock) -> None:
        if self._time.now_us >= self.list_blocked_until_us:
            self._confirm()
        clock.at(self._time.now_us + LIST_CONFIRM_INTERVAL_US, self._confirm_later, clock)

    def kill(self) -> None:
        """Kill the process without cleanup, and schedule its restart."""
        if self.up:
            self._down_since_us = self._time.now_us
            self._end()

    def restart(self) -> None:
        """Restart gracefully: close, then wait for the calls in progress."""
        if self.up:
            self._down_since_us = self._time.now_us
            self.node.close()
            self._wait_for_calls(self._clock, self._time.now_us + CLOSE_TIMEOUT_US)

    def _wait_for_calls(self, clock: ProcessClock, until_us: int) -> None:
        if clock is not self._clock or not self.up:
            return  # killed in the meantime
        if self._time.now_us < until_us and self.node.busy:
            self._time.after(CLOSE_POLL_US, self._wait_for_calls, clock, until_us)
            return
        self.node.save_learned()
        self._learner.close()
        self._end()

    def _end(self) -> None:
        self.up = False
        self._clock.end()
        self._transport.abandon()
        ready_us = self._time.now_us + RESTART_DELAY_US + STARTUP_US
        self.downtimes.append((self._down_since_us, ready_us + LATE_OUTCOME_GRACE_US))
        self._time.at(ready_us, self.start)
