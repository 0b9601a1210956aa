"""Faults and operations on machines with a disk: lost, replaced, added, retired, partitioned, slow, full."""

from __future__ import annotations

from collections.abc import Callable, Collection
from functools import partial
from typing import Any

from amberlug.cluster.simulation.disk import MessageDisk, SimulatedDisk
from amberlug.cluster.simulation.history import Call, Violation
from amberlug.cluster.simulation.machine import BOUNDS, Machine
from amberlug.cluster.simulation.scenario_context import ScenarioContext

CATCH_UP_S = BOUNDS["catchUpS"]  # a machine still counts as lost for this long after it returns
SETTINGS_S = (0.2, 3.0)  # until processes reload a changed settings file
WITHIN_S = 1.0
ASK_S = 0.4  # between queries of the progress of a retirement
RETIRE_S = 8.0  # time limit of a retirement
SLOWER = 25  # factor of the sync time of a slow disk


class StorageFaults:
    """Injects faults into storage and control-plane nodes, one at a time; each returns its duration."""

    def __init__(self, day: ScenarioContext) -> None:
        self.day, self.deployment, self.rng = day, day.deployment, day.rng
        self.history, self.clock = day.history, day.clock
        self.retired: dict[str, float] = {}  # storage nodes being retired, and when that was ordered
        self.acts: list[Callable[[], float]] = [
            self.wipe_after_put,
            self.wipe_after_put,
            self.wipe_core,
            self.replace_store,
            self.replace_core,
            self.add_store,
            self.retire,
            self.retire,
            self.freeze_store,
            self.partition,
            self.slow_disk,
            self.split_core,
        ]

    def begin(self, start: float, end: float) -> None:
        """Schedule faults one after another, each once the previous one no longer counts as a loss."""
        self.clock.call_later(start - self.clock.now, lambda: self._next(end))

    def _next(self, end: float) -> None:
        if self.clock.now < end:
            seconds = self.rng.choice(self.acts)()
            pause = seconds + (CATCH_UP_S if seconds else 0.0) + self.rng.uniform(0.1, 3.0)
            self.clock.call_later(pause, lambda: self._next(end))

    def _any(self, machines: list[Machine]) -> Machine:
        return self.rng.choice(machines)

    def _down(self, machine: Machine, what: str, seconds: float) -> None:
        self.history.record_disturbance(f"{machine.name} {what}, returns in {seconds:.1f} s", seconds)
        if self.rng.random() < 0.5:
            machine.kill()
        machine.power_off()

    # -- lost disks

    def lose_disk(self, machine: Machine, seconds: float) -> None:
        """Wipe the disk of a machine, which returns with an empty one."""
        self._down(machine, "loses its disk", seconds)
        machine.wipe()
        self.clock.call_later(seconds, machine.start)

    def wipe_after_put(self) -> float:
        """Wipe the disk of a storage node right after it acknowledged a message."""
        store, seconds = self._any(self.deployment.stores), self.rng.uniform(0.3, 2.0)
        self.after_put(store, partial(self.lose_disk, store, seconds))
        return 1.0 + seconds

    def after_put(self, store: Machine, act: Callable[[], None]) -> None:
        """Call `act` as a storage node acknowledges a write, or after a second at the latest."""
        disk = store.disk
        assert disk is not None, "storage nodes have a disk"
        struck = False

        def strike() -> None:
            """Call `act`, once."""
            nonlocal struck
            if not struck:
                struck = True
                disk.on_durable = lambda: None
                act()

        disk.on_durable = lambda: self.clock.call_later(self.rng.choice((0.0, 0.0, 0.002)), strike)
        self.clock.call_later(1.0, strike)

    def wipe_core(self) -> float:
        """Wipe the disk of a control-plane node right after it acknowledged a configuration."""
        seconds = self.rng.uniform(0.3, 2.0)
        struck = False

        def strike(core: Machine) -> None:
            """Wipe the disk of a node, once."""
            nonlocal struck
            if not struck:
                struck = True
                self.day.operator.on_acknowledged = lambda it: None
                self.lose_disk(core, seconds)

        self.day.operator.on_acknowledged = strike
        self.day.operator.change()
        self.clock.call_later(1.0, lambda: strike(self._any(self.deployment.cores)))
        return 1.0 + seconds

    # -- replaced and added machines

    def replace(self, machine: Machine, seconds: float) -> None:
        """Remove a machine; an empty one is added at another address, under the same name or a new one."""
        self._down(machine, "is removed", seconds)
        self.deployment.remove(machine)
        name = machine.name if self.rng.random() < 0.5 else ""
        self._add_machine(machine.kind, machine.zone, seconds, name)

    def _add_machine(self, kind: str, zone: str, seconds: float, name: str = "") -> None:
        def come() -> None:
            """Add the machine, start it, and later have all processes reload their settings."""
            machine = self.deployment.add(kind, zone, name)
            self.history.trace(f"{machine.name} is added at {machine.address}")
            machine.start()
            self.clock.call_later(self.rng.uniform(*SETTINGS_S), self.deployment.reload_settings)

        self.clock.call_later(seconds, come)

    def replace_store(self) -> float:
        """Replace a storage node by an empty one at another address."""
        seconds = self.rng.uniform(0.5, 2.0)
        self.replace(self._any(self.deployment.stores), seconds)
        return seconds

    def replace_core(self) -> float:
        """Replace a control-plane node by an empty one elsewhere; the leader may be killed as well."""
        seconds = self.rng.uniform(0.5, 2.0)
        leader = self.day.leader()
        machine = self._any(self.deployment.cores)
        if leader is not None and self.rng.random() < 0.4:
            machine = leader
        self.replace(machine, seconds)
        if leader not in (None, machine) and self.rng.random() < 0.5:
            assert leader is not None
            self.day.kill_one(leader)
        return seconds

    def add_store(self) -> float:
        """Add one or two storage nodes."""
        for _ in range(self.rng.choice((1, 2))):
            self.history.record_disturbance("a storage node is added")
            self._add_machine("store", self.rng.choice(self.deployment.zones), 0.0)
        return 0.0

    # -- retirement

    def retire(self) -> float:
        """Retire a storage node; once it is empty, it is removed with its disk."""
        if len(self.deployment.stores) < 3:
            return 0.0
        self.empty(self._any(self.deployment.stores))
        return RETIRE_S

    def empty(self, store: Machine) -> None:
        """Order a storage node to be retired, and poll until it is empty."""
        self.history.record_disturbance(f"{store.name} is being retired", RETIRE_S, planned=True)
        self.history.calls.append(Call("retire", store.name, "", self.clock.now))
        self._ask(
            f"/-/Retire.Begin/{store.name}",
            b'{"durationS": 8}',
            "POST",
            partial(self._on_retirement_ordered, store),
        )

    def _ask(self, target: str, body: bytes, method: str, hear: Callable[[int, Any], None]) -> None:
        core = self._any(self.deployment.cores)
        self.deployment.control(core, method, target, body, WITHIN_S, hear)

    def _on_retirement_ordered(self, store: Machine, status: int, said: Any) -> None:
        if status == 200:
            self._poll_retirement(store, self.clock.now + RETIRE_S - 2.0)
        elif status not in (404, 409):
            self.history.trace(f"{store.name}: {status}, retirement was not accepted")

    def _poll_retirement(self, store: Machine, until: float) -> None:
        def hear(status: int, said: Any) -> None:
            """Poll until the retirement is completed; record a violation if it takes too long."""
            if status == 200 and said["condition"] == "completed":
                self._on_retired(store)
            elif self.clock.now < until:
                self.clock.call_later(ASK_S, lambda: self._poll_retirement(store, until))
            else:
                self.history.faults.append(
                    Violation("RETIRE", f"{store.name} is not retired in time: {status}")
                )

        self._ask(f"/-/Retire.Read/{store.name}", b"", "GET", hear)

    def _on_retired(self, store: Machine) -> None:
        self.history.trace(f"{store.name} is retired, and removed")
        self.check_copies(store)
        self.deployment.remove(store)

    def check_copies(self, store: Machine, excused: Collection[Machine] = ()) -> None:
        """Check that pending messages have enough replicas elsewhere.

        `excused` nodes count as holders: they may have lost their copies too recently to be noticed.
        """
        done, tolerance, regions = self.done(), self.deployment.tolerance, self.deployment.regions
        others = [it for it in self.deployment.stores if it is not store]
        for sent in self.history.sent.values():
            if sent.status != 202 or sent.target.startswith("/x") or sent.attempt in done:
                continue
            kept = {it: it.disk.holds(sent.name) for it in others if isinstance(it.disk, MessageDisk)}
            holders = dict.fromkeys([it for it in others if kept[it][0]] + list(excused))
            places = [(it.zone, regions[it.zone]) for it in holders]
            if not any(end for _, end in kept.values()) and not tolerance.holds(places):
                self.history.faults.append(
                    Violation(
                        "RETIRE",
                        f"{store.name} is reported as empty, but {sent.name} has too few replicas elsewhere",
                    )
                )

    def done(self) -> set[str]:
        """Attempt ids of messages that endpoints have ended, or may have."""
        return {run.attempt for run in self.history.runs if run.what in ("done", "dead", "failed")}

    # -- unresponsive machines, slow disks

    def freeze_store(self) -> float:
        """Freeze a storage node for 3 s."""
        store = self._any(self.deployment.stores)
        self.history.record_disturbance(f"{store.name} is frozen for 3 s", 3.0)
        store.freeze()
        self.clock.call_later(3.0, store.thaw)
        return 3.0

    def partition(self) -> float:
        """Partition a storage or control-plane node; its connections may be reset at the end."""
        machine = self._any(self.deployment.stores + self.deployment.cores)
        return self.day.partition(machine, self.rng.uniform(4.0, 7.0), self.rng.random() < 0.5)

    def slow_disk(self) -> float:
        """Have a disk slow, stalled or full for a while."""
        machine = self._any(self.deployment.stores + self.deployment.cores)
        disk, seconds = machine.disk, self.rng.uniform(1.0, 4.0)
        assert disk is not None, "stores and cores have a disk"
        what = self.rng.choice(("slow", "stalled", "full"))
        self.history.record_disturbance(f"the disk of {machine.name} is {what} for {seconds:.1f} s", seconds)
        if what == "stalled":
            disk.stalled_until = self.clock.now + seconds
            return seconds
        usual = disk.sync_s
        disk.full = what == "full"
        disk.sync_s = usual if disk.full else SLOWER * usual

        self.clock.call_later(seconds, partial(self._repair_disk, disk, usual))
        return seconds

    @staticmethod
    def _repair_disk(disk: SimulatedDisk, sync_s: float) -> None:
        disk.full, disk.sync_s = False, sync_s

    def split_core(self) -> float:
        """Partition the control plane into two sides; the configuration is changed on both meanwhile."""
        cores, seconds = self.deployment.cores, self.rng.uniform(2.0, 6.0)
        few = self.rng.sample(cores, 1 if len(cores) < 4 else self.rng.choice((1, len(cores) // 2)))
        others = [it for it in cores if it not in few]
        beside = [it for it in self.deployment.edges + self.deployment.stores if self.rng.random() < 0.3]
        pairs = {(a.name, b.name) for a in few for b in others}
        pairs |= {(b, a) for a, b in pairs}
        names = ", ".join(it.name for it in few)
        self.history.record_disturbance(
            f"{names} partitioned from the other control-plane nodes for {seconds:.1f} s", seconds
        )
        if self.rng.random() < 0.5:
            aside = {(a.name, b.name) for a in beside for b in few}
            pairs |= aside | {(b, a) for a, b in aside}
        self.deployment.net.cut(pairs)
        self.clock.call_later(seconds, partial(self.deployment.net.heal, pairs))
        for _ in range(3):
            self.clock.call_later(self.rng.uniform(0.1, seconds), self.day.operator.race)
        return seconds
