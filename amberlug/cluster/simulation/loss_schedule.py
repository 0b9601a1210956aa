"""Losses in as quick succession as the tolerance allows: after repairs, replacements and retirements."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from amberlug.cluster.settings import Tolerance
from amberlug.cluster.simulation.history import Call, Violation
from amberlug.cluster.simulation.machine import BOUNDS, Machine
from amberlug.cluster.simulation.scenario_context import ScenarioContext
from amberlug.cluster.simulation.storage_faults import ASK_S, CATCH_UP_S, RETIRE_S, StorageFaults

ACK_S = BOUNDS["ackMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000
INSIST_S = 8.0  # a command is retried for so long before the operator gives up
PATIENCE_S = 25.0  # limit for a retirement while other nodes are lost
NOTICED_S = 2.5  # within which the system must notice a silent storage node or a lost disk
TOLERANCE_WEIGHTS = (
    (Tolerance(1, 0, 0), 4),
    (Tolerance(2, 0, 0), 2),
    (Tolerance(0, 1, 0), 3),
    (Tolerance(1, 1, 0), 2),
    (Tolerance(0, 0, 1), 2),
    (Tolerance(0, 0, 0), 1),
)


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """The size of a deployment, and the losses that it must tolerate."""

    tolerance: Tolerance
    zones: int
    regions: int
    edges: int
    stores: int
    cores: int
    backlog: bool  # many messages are pending at any time, and replication is slow


def draw_plan(rng: random.Random, aim: str) -> DeploymentPlan:
    """Draw zones and node counts; at times only just as many nodes as the tolerance needs."""
    by_aim = {"zone": Tolerance(0, 1, 0), "region": Tolerance(0, 0, 1)}
    tolerance = by_aim.get(aim.rpartition("-")[2]) or rng.choices(*zip(*TOLERANCE_WEIGHTS, strict=True))[0]
    zones = rng.choice((3, 3, 4, 5))
    regions = min(zones, 3) if tolerance.regions else 1
    least = 5 if tolerance.machines == 2 else 3
    stores = rng.choice((zones, zones, 2 * zones, zones + 1))
    return DeploymentPlan(
        tolerance,
        zones,
        regions,
        rng.randrange(max(2, zones - 1), zones + 2),
        max(least, stores),
        rng.randrange(least, 7),
        "stores" in aim and rng.random() < 0.5,
    )


class LossSchedule(StorageFaults):
    """Injects concurrent sequences of losses, one for each machine that may be lost at once.

    Operators retire and add nodes meanwhile.
    """

    def __init__(self, day: ScenarioContext) -> None:
        super().__init__(day)
        tolerance = self.deployment.tolerance
        wide = tolerance.zones or tolerance.regions
        self.lines = 1 if wide else tolerance.machines
        self.lost: dict[Machine, None] = {}  # also those that returned too recently to lose another
        self.wiped: dict[Machine, float] = {}
        self.gone: dict[Machine, float] = {}
        self.being_replaced: dict[Machine, None] = {}  # those whose replacement has already started
        self._free: list[int] = []  # sequences that wait for their next loss
        self._end = 0.0
        self._kinds = tuple(it for it in ("core", "store") if it in day.aim) or ("core", "store")
        self.operations: list[Callable[[], None]] = [self._retire, self._add]

    def begin(self, start: float, end: float) -> None:
        """Schedule loss sequences and operations from `start` to `end`, in seconds of virtual time."""
        self._end = end
        for line in range(self.lines):
            self.clock.call_later(start - self.clock.now + line * 0.7, partial(self._lose, line))
        self.clock.call_later(start - self.clock.now, self._run_operation)
        # The last command that is checked has had its full time by then.
        self.clock.call_later(end + CONTACT_S + ACK_S + 1.5 - self.clock.now, self._check_acks)

    # -- sequences of losses

    def _choose_unit(self) -> list[Machine]:
        """Choose what is lost next: one machine, or machines of one zone or region that may fail together."""
        tolerance, rng, regions = self.deployment.tolerance, self.rng, self.deployment.regions
        counted = [it for it in self.deployment.stores + self.deployment.cores if it not in self.lost]
        counted = [it for it in counted if it.kind in self._kinds]
        if not counted:
            return []
        first = rng.choice(counted)
        wide = tolerance.zones or tolerance.regions
        if not wide or (tolerance.machines and rng.random() < 0.5):
            return [first]
        whole = [
            it
            for it in counted
            if it.zone == first.zone or (tolerance.regions and regions[it.zone] == regions[first.zone])
        ]
        return whole if rng.random() < 0.7 else rng.sample(whole, rng.randrange(1, len(whole) + 1))

    def _lose(self, line: int) -> None:
        """Inject the next loss of a sequence; the one after it follows once this one no longer counts."""
        if line in self._free:
            self._free.remove(line)
        unit = self._choose_unit()
        if self.clock.now > self._end or not unit:
            return
        acts = [
            self._wipe_unit,
            self._wipe_unit,
            self._power_off_unit,
            self._power_off_unit,
            self._partition_unit,
            self._freeze_unit,
        ]
        if len(unit) == 1:
            acts += [self._replace_lost, self._replace_lost, self._replace_as_planned]
        self.lost |= dict.fromkeys(unit)
        self.rng.choice(acts)(unit, partial(self._on_unit_back, line, unit))

    def _on_unit_back(self, line: int, unit: list[Machine]) -> None:
        """All lost machines, or their replacements, are back: after `catchUpS` the next loss may follow."""

        def next_one() -> None:
            """Stop counting the machines as lost, and schedule the next loss of the sequence."""
            for it in unit:
                self.lost.pop(it, None)
            self._free.append(line)
            pause = self.rng.choice((0.0, 0.0, 0.0, self.rng.uniform(0.0, 10.0)))
            self.clock.call_later(pause, partial(self._lose_if_free, line))

        self.clock.call_later(CATCH_UP_S + 0.001, next_one)

    def _lose_if_free(self, line: int) -> None:
        if line in self._free:
            self._lose(line)

    def _lose_now(self) -> None:
        """Start the next loss of every waiting sequence, right after an operation has finished."""
        for line in list(self._free):
            self._lose(line)

    def _start(self, machine: Machine) -> None:
        if machine in self.deployment.machines:  # it may have been removed meanwhile
            machine.start()

    def _names(self, unit: list[Machine]) -> str:
        return ", ".join(it.name for it in unit)

    # -- kinds of loss

    def _down_all(
        self, unit: list[Machine], what: str, seconds: float, wipe: bool, then: Callable[[], None]
    ) -> None:
        unit = [it for it in unit if it in self.deployment.machines]
        self.history.record_disturbance(f"{self._names(unit)} {what}, return in {seconds:.2f} s", seconds)
        for machine in unit:
            if self.rng.random() < 0.5:
                machine.kill()
            machine.power_off()
            if wipe:
                machine.wipe()
                self.wiped[machine] = self.clock.now
            self.clock.call_later(seconds, partial(self._start, machine))
        self.clock.call_later(seconds, then)

    def _wipe_unit(self, unit: list[Machine], then: Callable[[], None]) -> None:
        """Wipe disks right after one of the machines acknowledged a write."""
        seconds = self.rng.uniform(0.3, 2.0)
        act = partial(self._down_all, unit, "lose their disks", seconds, True, then)
        first = self.rng.choice(unit)
        if first.kind == "store":
            self.after_put(first, act)
        else:
            self._after_ack(act)

    def _after_ack(self, act: Callable[[], None]) -> None:
        """Call `act` as a configuration is acknowledged, or after a second at the latest."""
        struck = False

        def strike(core: Machine | None = None) -> None:
            """Call `act`, once."""
            nonlocal struck
            if not struck:
                struck = True
                self.day.operator.on_acknowledged = lambda it: None
                act()

        self.day.operator.on_acknowledged = strike
        self.day.operator.change()
        self.clock.call_later(1.0, strike)

    def _power_off_unit(self, unit: list[Machine], then: Callable[[], None]) -> None:
        """Power off machines for a while; at times the edge nodes of their zones as well."""
        seconds = self.rng.uniform(0.5, 3.0)
        zones = {it.zone for it in unit}
        edges = [it for it in self.deployment.edges if it.zone in zones and it not in self.lost]
        if len(unit) > 1 and len(edges) < len(self.deployment.edges) and self.rng.random() < 0.5:
            unit = unit + edges
        self._down_all(unit, "lose power", seconds, False, then)

    def _partition_unit(self, unit: list[Machine], then: Callable[[], None]) -> None:
        """Partition machines from all others, or from the control plane, one way or both."""
        seconds = self.rng.uniform(1.0, 6.0)
        others = [it for it in self.deployment.machines if it not in unit]
        if self.rng.random() < 0.5:
            others = [it for it in others if it.kind == "core"]
        way = self.rng.choice(("to", "from", "both", "both"))
        pairs = {(a.name, b.name) for a in unit for b in others if way != "to"}
        pairs |= {(b.name, a.name) for a in unit for b in others if way != "from"}
        self.history.record_disturbance(
            f"{self._names(unit)} partitioned ({way}) for {seconds:.1f} s", seconds
        )
        self.deployment.net.cut(pairs)
        self.clock.call_later(seconds, partial(self.deployment.net.heal, pairs))
        self.clock.call_later(seconds, then)

    def _freeze_unit(self, unit: list[Machine], then: Callable[[], None]) -> None:
        """Freeze machines for a while."""
        seconds = self.rng.uniform(0.5, 4.0)
        self.history.record_disturbance(f"{self._names(unit)} frozen for {seconds:.1f} s", seconds)
        for machine in unit:
            machine.freeze()
            self.clock.call_later(seconds, machine.thaw)
        self.clock.call_later(seconds, then)

    def _replace_lost(self, unit: list[Machine], then: Callable[[], None]) -> None:
        """Remove a machine; an empty one is added at another address, under the same name or a new one."""
        (machine,) = unit
        seconds = self.rng.uniform(0.3, 2.0)
        name = machine.name if self.rng.random() < 0.5 else ""
        self.history.record_disturbance(
            f"{machine.name} is lost for good, replaced in {seconds:.1f} s", seconds
        )
        self._remove(machine)
        self._add_machine(machine.kind, machine.zone, seconds, name)
        self.clock.call_later(seconds, then)

    def _replace_as_planned(self, unit: list[Machine], then: Callable[[], None]) -> None:
        """Replace a machine as planned: add the new one, then shut down and remove the old one."""
        (machine,) = unit
        if self.retired:
            self._power_off_unit(unit, then)
            return
        seconds = self.rng.uniform(0.5, CATCH_UP_S)
        self.being_replaced[machine] = None
        self.history.record_disturbance(
            f"{machine.name} is replaced, and removed in {seconds:.1f} s", seconds, planned=True
        )
        self._add_machine(machine.kind, machine.zone, 0.0)
        self.clock.call_later(seconds, partial(self._shut_down_replaced, machine))
        self.clock.call_later(0.0, then)

    def _shut_down_replaced(self, machine: Machine) -> None:
        if machine not in self.deployment.machines:
            self.being_replaced.pop(machine, None)
            return
        self.history.record_disturbance(f"{machine.name} is shut down and removed", 0.1)
        machine.term()
        self.clock.call_later(0.1, partial(self._remove, machine))

    def _remove(self, machine: Machine) -> None:
        self.being_replaced.pop(machine, None)
        if machine in self.deployment.machines:
            self.deployment.remove(machine)
            self.gone[machine] = self.clock.now

    # -- operations

    def _run_operation(self) -> None:
        if self.clock.now < self._end:
            self.rng.choice(self.operations)()
            self.clock.call_later(self.rng.uniform(2.0, 12.0), self._run_operation)

    def _add(self) -> None:
        """Add a storage or control-plane node; the next losses may follow right after."""
        kind = self.rng.choice(self._kinds)
        count = len(self.deployment.stores if kind == "store" else self.deployment.cores)
        if count >= 9:
            return
        self.history.trace(f"a {kind} is added")
        self._add_machine(kind, self.rng.choice(self.deployment.zones), 0.0)
        if self.rng.random() < 0.5:
            self.clock.call_later(self.rng.choice((0.05, 0.5, 1.0)), self._lose_now)

    def _retire(self) -> None:
        """Retire a storage node; once it is empty it is removed with its disk, and the next loss follows."""
        stores = [it for it in self.deployment.stores if it not in self.lost and it.up]
        if stores and "store" in self._kinds:
            self.empty(self.rng.choice(stores))

    def empty(self, store: Machine) -> None:
        """Order a storage node to be retired; the order must be rejected if too few others remain."""
        if self.retired or self.being_replaced:
            return  # operators remove only one node at a time
        others = [it for it in self.deployment.stores if it is not store]
        regions = self.deployment.regions
        whole = [it for it in others if it not in self.lost]
        remain = self.deployment.tolerance.holds([(it.zone, regions[it.zone]) for it in others])
        surely = self.deployment.tolerance.holds([(it.zone, regions[it.zone]) for it in whole])
        if not remain and not self.history.is_undisturbed(self.clock.now - CATCH_UP_S, self.clock.now):
            return  # the system may not have noticed yet how few there are
        self.history.trace(
            f"{store.name} is to be retired: {'enough' if remain else 'too few'} others remain"
        )
        began = self.clock.now

        def hear(status: int, said: object) -> None:
            """Poll an accepted retirement; record a violation if it was wrongly accepted or rejected."""
            calm = self.history.is_undisturbed(began - CATCH_UP_S, self.clock.now)
            if status == 200 and not remain and calm:
                self.history.faults.append(
                    Violation("RETIRE", f"{store.name} is retired, but too few others remain")
                )
            elif status == 200:
                self._poll_retirement(store, self.clock.now + RETIRE_S - 2.0)
            else:
                self.retired.pop(store.name, None)
                if status == 409 and surely and calm:
                    self.history.faults.append(
                        Violation(
                            "RETIRE", f"{store.name}: retirement rejected with 409, but enough others remain"
                        )
                    )

        self.retired[store.name] = began
        self.history.calls.append(Call("retire", store.name, "", began))
        self._ask(f"/-/Retire.Begin/{store.name}", b'{"durationS": 8}', "POST", hear)

    def _poll_retirement(self, store: Machine, until: float) -> None:
        began = self.retired[store.name]

        def hear(status: int, said: object) -> None:
            """Poll until the retirement is completed; record a violation if it takes too long."""
            if store not in self.deployment.stores:
                self.retired.pop(store.name, None)
            elif status == 200 and isinstance(said, dict) and said["condition"] == "completed":
                self._on_retired(store)
            elif self.clock.now < until or not self.history.is_undisturbed(began, self.clock.now):
                if self.clock.now < began + PATIENCE_S:
                    self.clock.call_later(ASK_S, lambda: self._poll_retirement(store, until))
                else:
                    self.history.faults.append(Violation("RETIRE", f"{store.name} is not retired: {status}"))
            else:
                self.history.faults.append(
                    Violation("RETIRE", f"{store.name} is not retired in time: {status}")
                )

        self._ask(f"/-/Retire.Read/{store.name}", b"", "GET", hear)

    def _on_retired(self, store: Machine) -> None:
        self.history.trace(f"{store.name} is retired, and removed")
        self.retired.pop(store.name)
        # The system can't have noticed the latest losses yet: their copies still counted, and these are the
        # losses that it must tolerate.
        late = [
            it
            for it, at in (self.wiped | self.gone).items()
            if at > self.clock.now - NOTICED_S and it is not store
        ]
        self.check_copies(store, late)
        self.deployment.remove(store)
        self._lose_now()

    # -- further checks

    def _check_acks(self) -> None:
        """Each command gets a response within `ackMs` of time without faults."""
        disturbances = sorted(self.history.disturbances, key=lambda it: it.at)
        for version in self.history.versions:
            if not version.valid or version.at > self._end:
                continue
            due = version.at + ACK_S
            for it in disturbances:
                if it.until + CONTACT_S > version.at and it.at <= due:
                    due = max(due, it.until + CONTACT_S + ACK_S)
            answered = version.answered_at or 1e9
            if due <= min(answered, version.at + INSIST_S, self.clock.now):
                self.history.faults.append(
                    Violation(
                        "ACKS", f"edition {version.edition} of {version.at:.3f} has no response by {due:.3f}"
                    )
                )
