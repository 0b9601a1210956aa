"""Scenarios drawn from a seed: a deployment, a load and faults, never more at once than it must tolerate."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from unittest.mock import patch

from amberlug.cluster.consensus import log
from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.address_changes import AddressChanges
from amberlug.cluster.simulation.clients import Clients, Load
from amberlug.cluster.simulation.control_faults import PARTITION_FORMS, ControlFaults
from amberlug.cluster.simulation.deployment import ONE_MACHINE, Deployment
from amberlug.cluster.simulation.endpoints import Kind
from amberlug.cluster.simulation.history import Violation
from amberlug.cluster.simulation.invariants import InvariantChecker
from amberlug.cluster.simulation.loss_schedule import LossSchedule, draw_plan
from amberlug.cluster.simulation.machine import BOUNDS, RESTART_S, Machine
from amberlug.cluster.simulation.operator import Operator, route, service
from amberlug.cluster.simulation.stop_series import StopSeries, draw_call_length
from amberlug.cluster.simulation.storage_faults import StorageFaults

TRAFFIC_S = 3.5  # from the start of the machines until traffic starts
DELIVERY_S = 10.0  # from the end of traffic, for accepted messages to end
FINAL_QUERIES_S = 6.0
CATCH_UP_S = BOUNDS["catchUpS"]  # a machine still counts as lost for this long after it returns
CONTROL_PARTITION_S = (4.0, 4.4)  # duration of control-plane partitions outside the family `control`
MAX_ATTEMPTS = 3
MANY_KEYS = 40  # so that messages with long calls do not wait for others of their key to the end


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a deployment and its traffic."""

    zones: int
    edges: int
    stores: int
    cores: int
    seconds: float
    rate: float


class Scenario:
    """One run of one seed, in a scenario family."""

    def __init__(self, seed: int, aim: str = "") -> None:
        self.aim = aim
        rng = self.rng = random.Random(f"{seed} day")
        size = self.size = Size(
            rng.choice((2, 3, 3, 4)),
            rng.randrange(2, 6),
            rng.choice((3, 3, 4)),
            rng.choice((3, 3, 3, 4, 5)),
            rng.uniform(12.0, 20.0),
            rng.uniform(20.0, 40.0),
        )
        if aim in ("closing", "core"):
            # Only the final fault matters: it strikes while many messages are in flight, or few.
            size = self.size = replace(size, seconds=6.5, rate=100.0 if aim == "closing" else 8.0)
        elif aim == "storage":
            size = self.size = replace(size, seconds=36.0, rate=20.0)
        elif aim == "control":
            size = self.size = replace(size, seconds=38.0, rate=10.0)
        tolerance, regions, delayed = ONE_MACHINE, 1, 0.1
        if aim.startswith("losses"):
            plan = draw_plan(random.Random(f"{seed} site"), aim)
            tolerance, regions = plan.tolerance, plan.regions
            rate, delayed = (50.0, 0.7) if plan.backlog else (20.0, 0.1)
            size = self.size = Size(plan.zones, plan.edges, plan.stores, plan.cores, 50.0, rate)
        dedup = rng.random() < 0.4
        calls = draw_call_length(seed)
        kinds = [
            Kind("alpha", 4, 0.06, False),
            Kind("beta", 4, 0.06, dedup),
            Kind("gamma", 4, 0.05, dedup),
        ]
        if aim == "addresses":
            size = self.size = replace(size, seconds=40.0)
        if aim == "handovers":
            size = self.size = replace(size, edges=max(3, size.edges), seconds=30.0, rate=calls.rate)
            kinds = [replace(kind, work_s=calls.work_s) for kind in kinds]
        heartbeat = 2.0 if aim == "drain" else rng.choice((1.0, 1.2, 2.0))
        self.deployment = Deployment(
            seed, size.zones, size.edges, size.stores, size.cores, kinds, heartbeat, tolerance, regions
        )
        self.history, self.clock = self.deployment.history, self.deployment.clock
        self.stop_series = StopSeries(
            rng, self.clock, self.deployment.edges, lambda machine: self._restart_as_planned(machine)
        )
        ceiling = 5.0 if aim == "rate" else rng.choice((0.0, 0.0, 8.0))
        paths: tuple[str, ...] = ("/plain/", "/plain/", "/plain/", "/seq/", "/seq/", "/rated/")
        if aim == "rate":
            paths = ("/plain/", "/seq/", "/rated/", "/rated/")
        load = Load(size.rate, paths, frozenset(("/seq/",)), rng.choice((4, 10, 30)), delayed)
        if aim == "handovers":
            load = replace(load, keys=MANY_KEYS)
        if aim == "retention":
            load = replace(load, delayed=0.4, longest_delay_ms=8000, keys=4)
        if aim == "routes":
            load = replace(load, delayed=0.5, extra=0.6)  # many messages wait as the configuration changes
        self.clients = Clients(self.deployment, load)
        first: Json = {
            "routeTable": [
                route("/plain/", "alpha"),
                route("/seq/", "beta", True, rank=0),
                route("/rated/", "gamma"),
            ],
            "serviceTable": [
                service("alpha"),
                service("beta", dedup=dedup),
                service("gamma", ceiling, dedup),
            ],
            "limits": {"maxHeaderBytes": 16384},
        }
        if aim == "handovers":
            for row in first["routeTable"]:
                row["expiryMs"] = calls.expiry_ms
        self.operator = Operator(self.deployment, first)
        self.operator.changes_names = aim == "routes"
        self.operator.changes_retention = aim == "retention"
        self.compact = log.SNAPSHOT_ENTRIES  # Raft log entries between snapshots
        self.storage_faults = LossSchedule(self) if aim.startswith("losses") else StorageFaults(self)
        self.control = ControlFaults(self)
        if delayed > 0.1:
            for machine in self.deployment.stores:
                assert machine.disk is not None, "stores have a disk"
                machine.disk.sync_s = self.deployment.sync_s = 0.05
        if aim in ("closing", "core"):
            # Different sync times, so that the disks differ in their content at any time.
            for machine in self.deployment.stores + self.deployment.cores:
                assert machine.disk is not None, "stores and cores have a disk"
                machine.disk.sync_s = rng.choice((0.002, 0.05, 0.1))
        self.end = 0.0  # of the faults
        self.home = ""  # the zone of all endpoints, if they are in one
        if aim == "control":
            if rng.random() < 0.4:
                self.home = rng.choice(self.deployment.cores).zone
            self.operator.lost, self.operator.repeats = rng.choice((0.0, 0.2)), 0.5
            self.compact = rng.choice((512, 60, 20))
            for machine in self.deployment.cores:
                assert machine.disk is not None, "core machines have a disk"
                machine.disk.sync_s = rng.choice((0.002, 0.002, 0.03))
        if aim == "config":
            for machine in self.deployment.machines:
                machine.loss = 0.06
            self.history.lossy = True

    def play(self) -> list[Violation]:
        """Run the scenario; returns the violations."""
        with patch.object(log, "SNAPSHOT_ENTRIES", self.compact):
            return self._play()

    def _play(self) -> list[Violation]:
        for machine in self.deployment.machines:
            self.clock.call_later(self.rng.uniform(0.0, 0.15), machine.start)
        for name, count in (("alpha", 4), ("beta", 3), ("gamma", 2)):
            for number in range(count):
                zone = self.home or self.deployment.zones[number % self.size.zones]
                self.clock.call_later(1.2, partial(self._start, name, zone))
        self.clock.call_later(0.6, self.operator.begin)
        self.clients.begin()
        self.clock.run(TRAFFIC_S)
        self.clients.open()
        over = TRAFFIC_S + self.size.seconds
        self._plan(TRAFFIC_S + 1.0, over - 5.0)
        self.clock.run(over)
        self.clients.sending = False
        self.history.traffic_ended_at = over
        self.history.trace("traffic ends")
        self.clock.run(over + DELIVERY_S)
        self.clients.ask_all(8)
        self.operator.read_back(10)
        self.clock.run(over + DELIVERY_S + FINAL_QUERIES_S)
        for machine in self.deployment.machines:
            machine.note_violations()
        return InvariantChecker(self.history, MAX_ATTEMPTS).check()

    # -- faults

    def _plan(self, start: float, end: float) -> None:
        """Schedule faults and operations; losses of machines are apart by the time it takes to catch up."""
        rng, self.end = self.rng, end
        free = {"system": start, "other": start}
        system: list[Callable[[], float]] = [
            self._kill_any,
            self._power_off_any,
            self._freeze_any,
            self._restart_any,
            self._partition_any,
            self._kill_acknowledging_node,
            self._disturb_connections,
            self._stall_or_fill_disk,
            self._kill_node_acknowledging_drain,
            self._partition_control_node,
        ]
        aims: dict[str, list[Callable[[], float]]] = {
            "edges": [self._freeze_edge, self._kill_edge, self._restart_edge, self._partition_edge],
            "roll": [self._restart_edge],
            "drain": [self._kill_node_acknowledging_drain],
            "closing": [lambda: 0.0],
            "core": [lambda: 0.0],
            "config": [lambda: 0.0],
            "rate": [self._kill_edge, self._restart_edge],
            "freeze": [self._freeze_edge],
            "quiet": [lambda: 0.0],
            "routes": [self._kill_edge, self._restart_edge, self._freeze_edge, self._partition_edge],
            "answers": [self._kill_edge, self._restart_edge, self._freeze_edge, self._partition_edge],
            "storage": [lambda: 0.0],
            "control": [lambda: 0.0],
            "handovers": [self.stop_series.begin],
            "addresses": [self._kill_edge, self._restart_edge],
            "retention": [self._kill_edge, self._restart_edge],
        }
        others = [
            self._crash_endpoint,
            self.replace_endpoint,
            self._lose_responses,
            self._change_config,
            self._change_config,
            self._change_config_concurrently,
            self._submit_invalid_config,
        ]
        system = aims.get(self.aim, system)
        if self.aim == "config":
            others = [self._change_config_twice]
        if self.aim in ("routes", "retention"):
            others = [self._change_config, self._change_config, self._change_config_concurrently]
        if self.aim.startswith("losses"):
            system = [lambda: 0.0]
            others = [
                self._change_config,
                self._change_config,
                self._change_config_concurrently,
                self.replace_endpoint,
                self._crash_endpoint,
            ]
            self.storage_faults.begin(start, end - 2.0)
        if self.aim == "answers":
            others = [
                self._garble_responses,
                self._garble_responses,
                self._lose_responses,
                self._crash_endpoint,
            ]
        if self.aim == "storage":
            others = [*others, self._kill_edge, self._restart_edge, self._freeze_edge]
            self.storage_faults.begin(start, end - 2.0)
        if self.aim in ("handovers", "addresses"):
            others = [lambda: 0.0]
        if self.aim == "addresses":
            fleet, zones = self.deployment.endpoint_fleet, self.deployment.zones
            changes = AddressChanges(self.clock, fleet, self.operator, zones, end)
            self.clock.call_later(start - self.clock.now, changes.begin)
        if self.aim == "control":
            others = [lambda: 0.0]
            self.control.begin(start, end)
        while free["system"] < end or free["other"] < end:
            which = min(free, key=lambda name: free[name])
            act = rng.choice(system if which == "system" else others)
            at = free[which]
            self.clock.call_later(at - self.clock.now, partial(self._run_action, act))
            free[which] = at + (
                rng.uniform(CATCH_UP_S + 3.5, CATCH_UP_S + 6.0)
                if which == "system"
                else rng.uniform(0.4, 3.0)
            )
        often = {"": 0.25, "control": 0.4}.get(self.aim, 0.0)
        if self.aim in ("closing", "core") or (often and rng.random() < often):
            self.clock.call_later(
                end + 1.0 - self.clock.now, partial(self._run_action, self._inject_final_fault)
            )

    @staticmethod
    def _run_action(act: Callable[[], float]) -> None:
        act()

    def _start(self, service: str, zone: str, address: str = "") -> None:
        self.deployment.endpoint_fleet.start(service, zone, address)

    def _any(self, machines: list[Machine]) -> Machine:
        return self.rng.choice(machines)

    def _restart(self, machine: Machine, seconds: float = RESTART_S) -> float:
        self.clock.call_later(seconds, machine.start)
        return seconds

    def kill_one(self, machine: Machine) -> float:
        """Kill a process, and restart it."""
        self.history.record_disturbance(f"{machine.name} is killed", RESTART_S, is_in_events=True)
        machine.kill()
        return self._restart(machine)

    def _kill_any(self) -> float:
        return self.kill_one(self._any(self.deployment.machines))

    def _kill_edge(self) -> float:
        return self.kill_one(self._any(self.deployment.edges))

    def _power_off_any(self) -> float:
        machine, seconds = self._any(self.deployment.machines), self.rng.uniform(0.5, 3.0)
        self.history.record_disturbance(
            f"{machine.name} loses power for {seconds:.1f} s", seconds, is_in_events=True
        )
        machine.power_off()
        return self._restart(machine, seconds)

    def _freeze_one(self, machine: Machine) -> float:
        seconds = self.rng.choice((0.5, 1.0, 2.0, 3.0))
        self.history.record_disturbance(
            f"{machine.name} is frozen for {seconds:.1f} s", seconds, is_in_events=True
        )
        machine.freeze()
        self.clock.call_later(seconds, machine.thaw)
        return seconds

    def _freeze_any(self) -> float:
        return self._freeze_one(self._any(self.deployment.machines))

    def _freeze_edge(self) -> float:
        return self._freeze_one(self._any(self.deployment.edges))

    def _restart_as_planned(self, machine: Machine) -> float:
        """Restart as planned; of a control-plane or storage node, this counts as a fault."""
        self.history.record_disturbance(f"{machine.name} is shut down", 7.0, planned=machine.kind == "edge")
        machine.term()

        def look() -> None:
            """Check every 0.1 s whether the process has ended; once it has, schedule its restart."""
            if machine.up:
                self.clock.call_later(0.1, look)
            else:
                self.history.trace(f"{machine.name} has ended")
                self.clock.call_later(RESTART_S, machine.start)

        look()
        return 7.0

    def _restart_any(self) -> float:
        return self._restart_as_planned(self._any(self.deployment.machines))

    def _restart_edge(self) -> float:
        return self._restart_as_planned(self._any(self.deployment.edges))

    def partition(self, machine: Machine, seconds: float, reset: bool = False) -> float:
        """Partition a machine from others, one way or both; its connections may be reset at the end."""
        others = self.deployment.machines
        if self.rng.random() < 0.5:
            others = self.rng.sample(others, len(others) // 2)
        way = self.rng.choice(("to", "from", "both"))
        pairs = set()
        for it in others:
            if it is not machine:
                pairs |= {(machine.name, it.name)} if way != "to" else set()
                pairs |= {(it.name, machine.name)} if way != "from" else set()
        self.history.record_disturbance(
            f"{machine.name} is partitioned from {len(others)} machines ({way}) for {seconds:.1f} s", seconds
        )
        self.deployment.net.cut(pairs)
        self.clock.call_later(seconds, partial(self.deployment.net.heal, pairs))
        if reset:
            self.clock.call_later(seconds, partial(self.deployment.net.reset, machine))
        return seconds

    def _partition_control_node(self) -> float:
        """Partition a control-plane node, unless it would still count as lost at the final fault."""
        control = self.control
        if self.clock.now + CONTROL_PARTITION_S[1] + CATCH_UP_S > self.end + 1.0:
            return self._partition_any()
        control.partition(
            self._any(self.deployment.cores),
            self.rng.uniform(*CONTROL_PARTITION_S),
            self.rng.choice(PARTITION_FORMS),
            self.rng.random() < 0.5,
        )
        assert control.cut is not None, "a machine was just cut off"
        control.send_to_partitioned(control.cut)
        return CONTROL_PARTITION_S[1]

    def _partition_any(self) -> float:
        return self.partition(self._any(self.deployment.machines), self.rng.uniform(0.3, 4.0))

    def _partition_edge(self) -> float:
        return self.partition(self._any(self.deployment.edges), self.rng.uniform(0.3, 4.0))

    def _disturb_connections(self) -> float:
        """Reset the connections of one machine, or have it lose some packets for a while."""
        machine = self._any(self.deployment.machines)
        if self.rng.random() < 0.5:
            self.history.record_disturbance(f"the connections of {machine.name} are reset")
            self.deployment.net.reset(machine)
            return 0.0
        self.history.record_disturbance(f"{machine.name} loses packets for 3 s", 3.0)
        machine.loss = 0.05

        def whole() -> None:
            """End the packet loss."""
            machine.loss = 0.0

        self.clock.call_later(3.0, whole)
        return 3.0

    def _stall_or_fill_disk(self) -> float:
        """Stall a disk for a while, or have it full."""
        machine = self._any(self.deployment.stores + self.deployment.cores)
        disk = machine.disk
        assert disk is not None, "stores and cores have a disk"
        seconds = self.rng.uniform(0.3, 3.0)
        if self.rng.random() < 0.5:
            self.history.record_disturbance(f"the disk of {machine.name} stalls for {seconds:.1f} s", seconds)
            disk.stalled_until = self.clock.now + seconds
        elif machine.kind == "store":
            self.history.record_disturbance(
                f"the disk of {machine.name} is full for {seconds:.1f} s", seconds
            )
            disk.full = True

            def room() -> None:
                """Make space on the disk again."""
                disk.full = False

            self.clock.call_later(seconds, room)
        return seconds

    def leader(self) -> Machine | None:
        """The control-plane node that believes it is the leader, if any."""
        return next(
            (
                it
                for it in self.deployment.cores
                if it.up and it.part.raft.leader_id == it.part.raft.member_id
            ),
            None,
        )

    def _kill_acknowledging_node(self) -> float:
        """Kill the node that acknowledges a configuration, or the leader, at that moment."""
        which = self.rng.random() < 0.5

        def strike(core: Machine) -> None:
            """Kill the acknowledging node or the leader, at the first acknowledgement only."""
            self.operator.on_acknowledged = lambda it: None
            machine = core if which else self.leader()
            if machine is not None:
                self.kill_one(machine)

        self.operator.on_acknowledged = strike
        self.operator.change()
        self.clock.call_later(2.0, self._cancel_strikes)
        return 2.0

    def _cancel_strikes(self) -> None:
        self.operator.on_acknowledged = lambda core: None
        self.deployment.endpoint_fleet.on_drained = lambda core: None

    def _kill_node_acknowledging_drain(self) -> float:
        """Kill the node that acknowledges a drain, or the leader, at that moment."""
        which = self.aim == "drain" or self.rng.random() < 0.5

        def strike(core: Machine) -> None:
            """Kill the acknowledging node or the leader, at the first acknowledgement only."""
            self.deployment.endpoint_fleet.on_drained = lambda it: None
            machine = core if which else self.leader()
            if machine is not None:
                self.kill_one(machine)

        self.deployment.endpoint_fleet.on_drained = strike
        self.replace_endpoint()
        self.clock.call_later(2.0, self._cancel_strikes)
        return 2.0

    def _inject_final_fault(self) -> float:
        """Inject the final fault, which hits all machines, as a configuration is acknowledged."""
        rng = self.rng
        # In the family `control`, a partitioned machine may still count as lost: no disk may be lost as well.
        hows = ("power", "kill") if self.aim == "control" else ("power", "kill", "wipe")
        what = "wipe" if self.aim in ("closing", "core") else rng.choice(hows)
        by_aim = {"core": self.deployment.cores, "closing": self.deployment.stores}
        counted = by_aim.get(self.aim, self.deployment.stores + self.deployment.cores)
        seconds = rng.uniform(0.5, 2.0)
        struck = False

        def strike(core: Machine | None = None) -> None:
            """Kill or power off all machines, and wipe one disk if drawn; only the first call counts."""
            nonlocal struck
            if struck:
                return
            struck = True
            self.operator.on_acknowledged = lambda it: None
            self.history.record_disturbance(f"final fault: {what}", seconds)
            for machine in self.deployment.machines:
                machine.kill() if what == "kill" else machine.power_off()
                self._restart(machine, seconds + rng.uniform(0.0, 2.0 if self.aim == "core" else 0.3))
            if what == "wipe":
                lost = self._any(counted)
                self.history.trace(f"{lost.name} loses its disk")
                lost.wipe()

        self.operator.on_acknowledged = strike
        self.operator.change()
        self.clock.call_later(1.5, strike)
        return seconds

    # -- endpoints and configuration

    def _crash_endpoint(self) -> float:
        ready = self.deployment.endpoint_fleet.up()
        victim = self.rng.choice(ready)
        silent = self.rng.random() < 0.3
        if len(self.deployment.endpoint_fleet.up(victim.kind.name)) > 1:
            self.history.trace(f"{victim.name} crashes{' with its machine' if silent else ''}")
            victim.crash(silent)
            reuse = "" if self.rng.random() < 0.5 else victim.address
            names = list(self.deployment.endpoint_fleet.kinds)
            other = victim.kind.name if not reuse else self.rng.choice(names)
            if reuse:
                self.clock.call_later(2.2, partial(self._start, other, victim.zone, reuse))
            if other != victim.kind.name or not reuse:
                self.clock.call_later(1.0, partial(self._start, victim.kind.name, victim.zone))
        return 0.0

    def replace_endpoint(self) -> float:
        """Shut down an endpoint as planned, and start another one in its place."""
        endpoint_fleet = self.deployment.endpoint_fleet
        victim = self.rng.choice(endpoint_fleet.up())
        endpoint_fleet.start(victim.kind.name, victim.zone)
        linger = self.rng.uniform(2.0 if self.aim == "drain" else 0.3, 4.0)
        self.history.trace(f"{victim.name} of {victim.kind.name} starts to drain")
        victim.leave(linger, lambda: self.history.trace(f"{victim.name} has ended"))
        return 0.0

    def _lose_responses(self) -> float:
        kind = self.rng.choice(list(self.deployment.endpoint_fleet.kinds.values()))
        self.history.trace(f"{kind.name} loses responses for 1 s")
        kind.lost = 0.2

        def whole() -> None:
            """Stop losing responses."""
            kind.lost = 0.0

        self.clock.call_later(1.0, whole)
        return 0.0

    def _garble_responses(self) -> float:
        """For a while, cut off, delay or repeat responses of a service, or omit their attempt id."""
        kind = self.rng.choice(list(self.deployment.endpoint_fleet.kinds.values()))
        seconds = self.rng.uniform(0.5, 3.0)
        self.history.trace(f"{kind.name} garbles responses for {seconds:.1f} s")
        kind.garbled = 0.5

        def whole() -> None:
            """Stop garbling responses."""
            kind.garbled = 0.0

        self.clock.call_later(seconds, whole)
        return 0.0

    def _change_config(self) -> float:
        self.operator.change()
        self.use_recent_routes()
        return 0.0

    def _change_config_twice(self) -> float:
        """Submit two changes, the second as soon as the first is acknowledged."""

        def again(core: Machine) -> None:
            """Submit the second change 10 ms after the first acknowledgement."""
            self.operator.on_acknowledged = lambda it: None
            self.clock.call_later(0.01, partial(self._run_action, self._change_config))

        self.operator.on_acknowledged = again
        return self._change_config()

    def _change_config_concurrently(self) -> float:
        self.operator.race()
        self.use_recent_routes()
        return 0.0

    def _submit_invalid_config(self) -> float:
        self.operator.invalid()
        return 0.0

    def use_recent_routes(self) -> None:
        """Have clients use recently added or removed routes."""
        recent = [
            prefix for it in self.history.versions[-4:] for prefix in it.services if prefix.startswith("/x")
        ]
        self.clients.extra = sorted(set(recent))


def play(seed: int, aim: str = "") -> list[Violation]:
    """Run the scenario of a seed; returns the violations."""
    return Scenario(seed, aim).play()
