"""Resident memory stays flat over many messages, each with a new id, key and client."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from amberlug.core.journal import Journal
from amberlug.core.messages import Attempt, AttemptResult, End, Message, Outcome, Refusal
from amberlug.core.node import Node
from amberlug.core.ports import Address, Calls, EndpointListUpdate
from amberlug.lab.clock import SECOND, START_US, EventQueue, ProcessClock
from amberlug.lab.disk import MemoryDisk
from amberlug.lab.play import KINDS, settings_of
from amberlug.lab.relay import SimulatedOutcomeChannel
from amberlug.lab.scenario import Scenario, World
from amberlug.learning.learner import Learner
from amberlug.learning.store import Store
from amberlug.policy import interface as api
from amberlug.policy.interface import Result
from tests.rig import ROOT

MESSAGES, EVERY_US = 200_000, 2_500
# Two periods of the same length, 150,000 messages apart, in which resident memory is sampled.
EARLY = range(MESSAGES // 8, MESSAGES // 4, 500)
LATE = range(MESSAGES * 7 // 8, MESSAGES, 500)
RESULTS = [Result.DONE] * 597 + [Result.ERROR, Result.RESET, Result.REFUSED]


class Answers:
    """A transport that answers each call after 40 ms, occasionally with a failure."""

    def __init__(self, clock: ProcessClock) -> None:
        self._clock, self.in_flight, self.calls = clock, 0, 0

    @property
    def busy(self) -> bool:
        return self.in_flight > 0

    def bind(self, calls: Calls) -> None:
        self._node = calls

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        self.in_flight += 1
        self._clock.at(self._clock.now_us() + 40_000, self._answer, attempts)

    def _answer(self, attempts: list[Attempt]) -> None:
        self.in_flight -= 1
        self.calls += 1
        cleared = self._node.clear(attempts)
        for attempt in attempts:
            result = RESULTS[self.calls * 7919 % len(RESULTS)] if attempt in cleared else Result.UNSENT
            self._node.ended(attempt, AttemptResult(result))

    def call_off(self, attempt: Attempt) -> None:
        raise AssertionError("no call lasts long enough to be cancelled")

    def probe(self, endpoint: str, ended: object) -> None:
        raise AssertionError("probes are disabled in these settings")

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        pass

    def close_idle(self, endpoint: str) -> None:
        pass


class Client:
    """A client that submits one message and never returns."""

    def settle(self, refusal: Refusal | None) -> None:
        pass


def resident_kb() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024


def play() -> None:
    """Print the smallest resident size of each period.

    A single sample is not enough: the journal's compaction and the allocator's arenas move it by 0.9 MB
    either way.
    """
    time, ends = EventQueue(), dict.fromkeys(Outcome, 0)
    clock = ProcessClock(time)

    def told(end: End) -> None:
        ends[end.outcome] += 1

    transport = Answers(clock)
    disk = MemoryDisk(3_000_000)
    node = Node(
        settings_of(Scenario("long", World(slots=60, destinations=5))),
        1,
        Journal(disk, 2_500_000, clock.wall_ms(), clock.now_us),
        Learner(Store(disk, 160_000, clock.now_us), clock),
        transport,
        SimulatedOutcomeChannel(clock, 300, told),
        clock,
    )
    entries = [
        api.Entry(f"e{number}{part}", "a", "plain", number, api.State.IN, 0.0, "127.0.0.1:1")
        for number in range(5)
        for part in "ab"
    ]
    node.listed(EndpointListUpdate(entries, 1, True))
    node.restore()

    def hand_in(number: int) -> None:
        kind, client = KINDS[number % 3], Client()
        deadline_ms = clock.wall_ms() + int(kind.deadline_s * 1000)
        name = f"m{number}"
        message = Message(name, kind.name, None, number % 5, f"key-{name}", b"x" * 100, deadline_ms)
        node.hand_in(message, int(kind.deadline_s * SECOND), 0, client)
        if number % 9 == 0:
            node.client_disconnected(client)

    samples: dict[range, list[int]] = {EARLY: [], LATE: []}
    for number in range(MESSAGES):
        time.run(START_US + number * EVERY_US)
        hand_in(number)
        for period, sizes_kb in samples.items():
            if number in period:
                sizes_kb.append(resident_kb())
    print(min(samples[EARLY]), min(samples[LATE]))
    assert transport.calls > 0.8 * MESSAGES, transport.calls
    assert ends[Outcome.GIVEN_UP] > 0.0005 * MESSAGES, ends


def test_what_the_process_holds_is_flat_over_200_000_messages() -> None:
    run = [sys.executable, "-c", "from tests.test_memory import play; play()"]
    result = subprocess.run(run, cwd=ROOT, capture_output=True, text=True, check=False)
    assert result.returncode == 0, result.stderr
    early, late = map(int, result.stdout.split())
    # A leak of 8 bytes per message would be 1.2 MB between the ends of the two periods.
    assert late - early < 600, f"grew by {late - early} kB to {late} kB"
