"""Faults of the control plane: a node is partitioned while operators send commands to both sides."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from amberlug.cluster.simulation.history import What
from amberlug.cluster.simulation.machine import BOUNDS, RESTART_S, Machine
from amberlug.cluster.simulation.scenario_context import ScenarioContext

CUT_S = (2.0, 4.0, 8.0, 14.0, 20.0, 25.0)
DOWN_S = (0.3, 0.8, 1.2)  # downtime of a restarted process
CATCH_UP_S = BOUNDS["catchUpS"]  # a node still counts as lost for this long after it returns
RESETS_S = (2.0, 9.0)  # between resets of the connections of a partitioned node
COMMANDS_S = (0.3, 2.2)  # between commands
BURST_S = (0.02, 0.2)  # between commands of a burst
NEW_ROUTE_REQUESTS_S = 0.03  # between client requests to new routes
PARTITION_FORMS = ("silent", "silent", "to", "from", "reset", "refuse", "refuse")


@dataclass(slots=True)
class Partition:
    """A partition of one machine."""

    machine: Machine
    until: float


class ControlFaults:
    """Injects faults into the control plane, and sends it commands."""

    def __init__(self, day: ScenarioContext) -> None:
        self.day, self.deployment, self.rng = day, day.deployment, day.rng
        self.history, self.clock, self.operator = day.history, day.clock, day.operator
        self.cut: Partition | None = None

    def begin(self, start: float, end: float) -> None:
        """Schedule partitions one after another, and commands throughout.

        The next partition starts once the node of the previous one no longer counts as lost.
        """
        self.clock.call_later(start - self.clock.now, lambda: self._next(end))
        self.clock.call_later(start - self.clock.now, lambda: self._send_commands(end))

    def _next(self, end: float) -> None:
        left = end - self.clock.now
        if left < CUT_S[0]:
            return
        seconds = self.rng.choice([it for it in CUT_S if it <= left])
        self.partition(self.choose_node(), seconds, self.rng.choice(PARTITION_FORMS), self.rng.random() < 0.5)
        assert self.cut is not None, "a machine was just cut off"
        then = self.rng.choice(("both", "both", "seeds", "kill", "leader", "freeze", "roll", "loss", "none"))
        if then == "both":
            self.restart_all(seconds)
        elif then == "seeds":
            self.change_seeds(seconds)
        elif then != "none":
            act = {
                "kill": self._kill_all,
                "leader": self._kill_leader,
                "freeze": self._freeze_leader,
                "roll": self._restart_in_turn,
                "loss": self._lose_packets,
            }[then]
            self.clock.call_later(self.rng.uniform(0.5, seconds), act)
        if self.rng.random() < 0.6:
            self.send_burst(self.clock.now + self.rng.uniform(1.0, 3.0))
        if self.rng.random() < 0.6:
            self.restart_some_edges()
        if self.rng.random() < 0.6:
            self.clock.call_later(seconds - 0.1, lambda: self.send_burst(self.clock.now + 2.0))
        self.send_to_partitioned(self.cut)
        pause = seconds + CATCH_UP_S + self.rng.uniform(0.1, 3.0)
        self.clock.call_later(pause, lambda: self._next(end))

    def choose_node(self) -> Machine:
        """Choose the node to partition: the leader, a follower, or a seed of the settings files."""
        cores, leader = self.deployment.cores, self.day.leader()
        if self.day.home and self.rng.random() < 0.6:
            return next(it for it in cores if it.zone == self.day.home)  # gets all endpoint heartbeats
        which = self.rng.choice(("leader", "follower", "seed"))
        if which == "leader" and leader is not None:
            return leader
        if which == "follower":
            return self.rng.choice([it for it in cores if it is not leader])
        return self.rng.choice((self.deployment.seeds or cores)[:3])

    def partition(self, machine: Machine, seconds: float, form: str, stores_too: bool) -> None:
        """Partition a control-plane node from the others, and optionally from the storage nodes.

        `form` is silent, to or from (one way), reset (connections are reset at the start and from time to
        time), or refuse (packets between the two sides are answered by a reset).
        """
        others = [*self.deployment.cores, *(self.deployment.stores if stores_too else [])]
        pairs = set()
        for it in others:
            if it is not machine:
                pairs |= {(machine.name, it.name)} if form != "to" else set()
                pairs |= {(it.name, machine.name)} if form != "from" else set()
        self.history.record_disturbance(
            f"{machine.name} is partitioned from the control plane{' and storage' if stores_too else ''}"
            f" ({form}) for {seconds:.1f} s",
            seconds,
            is_in_events=True,
        )
        cut = self.cut = Partition(machine, self.clock.now + seconds)
        refuse = form == "refuse"
        self.deployment.net.cut(pairs, refuse)
        if form == "reset":
            self._reset(cut, frozenset(it.name for it in others if it is not machine))

        def over() -> None:
            """End the partition."""
            self.history.trace(f"{machine.name} is connected again")
            self.deployment.net.heal(pairs, refuse)
            if self.cut is cut:
                self.cut = None

        self.clock.call_later(seconds, over)

    def _reset(self, cut: Partition, others: frozenset[str]) -> None:
        if self.clock.now < cut.until:
            self.history.record_event(cut.machine.name, What.RESET)
            self.deployment.net.reset(cut.machine, others)
            self.clock.call_later(self.rng.uniform(*RESETS_S), lambda: self._reset(cut, others))

    # -- restarts during a partition

    def restart_some_edges(self) -> None:
        """Restart half of the edge nodes just after a partition begins, while the configuration changes.

        They look for a control-plane node while the partitioned one has not noticed the partition yet.
        """
        for machine in self.rng.sample(self.deployment.edges, len(self.deployment.edges) // 2):
            self.clock.call_later(self.rng.uniform(0.0, 0.5), partial(self.restart, machine, DOWN_S[0]))
        until = self.clock.now + 1.8
        self.send_burst(until - 0.8)
        self._use_new_routes(until)

    def _use_new_routes(self, until: float) -> None:
        """Send client requests to the newest routes until a time."""
        if self.clock.now < until:
            self.day.use_recent_routes()
            if self.day.clients.extra:
                self.day.clients.send(self.rng.choice(self.day.clients.extra))
            self.clock.call_later(NEW_ROUTE_REQUESTS_S, lambda: self._use_new_routes(until))

    def restart(self, machine: Machine, seconds: float = 0.0) -> None:
        """Kill a process, and start it again after a downtime."""
        seconds = seconds or self.rng.choice(DOWN_S)
        self.history.record_disturbance(f"{machine.name} is restarted", seconds, is_in_events=True)
        machine.kill()
        self.clock.call_later(seconds, machine.start)

    def restart_all(self, seconds: float) -> None:
        """Restart the partitioned node, then all other control-plane and storage nodes, at intervals."""
        cut = self.cut
        assert cut is not None, "a machine is cut off"
        at = self.rng.uniform(0.1, 0.5) * seconds
        self.clock.call_later(at, partial(self.restart, cut.machine))
        others = [it for it in self.deployment.cores + self.deployment.stores if it is not cut.machine]
        gap = self.rng.choice((0.0, 0.0, 0.2, 1.5))
        at += self.rng.uniform(0.5, 3.0)
        for machine in others:
            self.clock.call_later(at, partial(self.restart, machine))
            at += gap

    def change_seeds(self, seconds: float) -> None:
        """Make the partitioned node the first seed of the settings files, and restart some other machines."""
        cut = self.cut
        assert cut is not None, "a machine is cut off"
        others = [it for it in self.deployment.cores if it is not cut.machine]
        self.deployment.seeds = [cut.machine, *self.rng.sample(others, 2)]
        if self.rng.random() < 0.5:
            self.history.trace("settings files are reloaded")
            self.deployment.reload_settings()
        some = self.rng.sample(self.deployment.edges, len(self.deployment.edges) // 2)
        some += self.rng.sample(self.deployment.stores, 1)
        for machine in some:
            self.clock.call_later(self.rng.uniform(0.1, 0.6) * seconds, partial(self.restart, machine))

    def _kill_all(self) -> None:
        """Kill or power off all control-plane and storage nodes as a configuration is acknowledged."""
        struck = False

        def strike(core: Machine | None = None) -> None:
            """Kill or power off the nodes; only the first call has an effect."""
            nonlocal struck
            if struck:
                return
            struck = True
            self.operator.on_acknowledged = lambda it: None
            counted, power = self.deployment.cores + self.deployment.stores, self.rng.random() < 0.5
            self.history.record_disturbance(
                f"all control-plane and storage nodes {'lose power' if power else 'are killed'}",
                1.2,
                is_in_events=True,
            )
            for machine in counted:
                machine.power_off() if power else machine.kill()
                self.clock.call_later(self.rng.uniform(0.5, 1.2), machine.start)

        self.operator.on_acknowledged = strike
        self.clock.call_later(2.0, strike)

    def _leader(self) -> Machine | None:
        """The leader on the majority side of the partition."""
        cut_off = self.cut.machine if self.cut is not None else None
        return next(
            (
                it
                for it in self.deployment.cores
                if it is not cut_off and it.up and it.part.raft.leader_id == it.part.raft.member_id
            ),
            None,
        )

    def _kill_leader(self) -> None:
        """Kill the leader as a configuration is acknowledged, and send a burst of commands."""
        struck = False

        def strike(core: Machine | None = None) -> None:
            """Kill the leader and send the burst, once; does nothing while no leader is known."""
            nonlocal struck
            leader = self._leader()
            if struck or leader is None:
                return
            struck = True
            self.operator.on_acknowledged = lambda it: None
            self.restart(leader)
            self.send_burst(self.clock.now + 2.5)

        self.operator.on_acknowledged = strike
        self.clock.call_later(1.5, strike)

    def _freeze_leader(self) -> None:
        """Freeze the leader for a while: when it resumes, it does not know yet that another node leads."""
        leader = self._leader()
        if leader is None:
            return
        seconds = self.rng.uniform(0.7, 3.0)
        self.history.record_disturbance(
            f"{leader.name} is frozen for {seconds:.1f} s", seconds, is_in_events=True
        )
        leader.freeze()
        self.clock.call_later(seconds, leader.thaw)
        self.send_burst(self.clock.now + seconds + 0.5)
        for _ in range(3):
            at = max(0.0, seconds - self.rng.uniform(-0.01, 0.9))
            self.clock.call_later(at, partial(self.operator.order, to=leader))

    def _lose_packets(self) -> None:
        """Have a control-plane node lose some of its packets during a burst of commands."""
        machine, seconds = self.rng.choice(self.deployment.cores), self.rng.uniform(2.0, 5.0)
        self.history.record_disturbance(f"{machine.name} loses packets for {seconds:.1f} s", seconds)
        machine.loss = self.rng.choice((0.05, 0.2))

        def whole() -> None:
            """End the packet loss."""
            machine.loss = 0.0

        self.clock.call_later(seconds, whole)
        self.send_burst(self.clock.now + 2.0)

    def _restart_in_turn(self) -> None:
        """Stop and restart the control-plane nodes in an orderly way, one after the other."""
        at = 0.0
        for machine in self.deployment.cores:
            self.clock.call_later(at, partial(self._term, machine))
            at += self.rng.uniform(1.2, 2.5)

    def _term(self, machine: Machine) -> None:
        self.history.record_disturbance(f"{machine.name} is shut down", RESTART_S, is_in_events=True)
        machine.term()

        def look() -> None:
            """Check every 0.05 s whether the process has ended; once it has, schedule its restart."""
            self.clock.call_later(*((0.05, look) if machine.up else (RESTART_S, machine.start)))

        look()

    # -- commands

    def send_burst(self, until: float) -> None:
        """Send commands in quick succession until a time."""
        if self.clock.now < until:
            operator = self.operator
            self.rng.choice((operator.order, operator.order, operator.pair, operator.read, operator.retire))()
            self.clock.call_later(self.rng.uniform(*BURST_S), lambda: self.send_burst(until))

    def send_to_partitioned(self, cut: Partition) -> None:
        """Send commands to the partitioned node, during the partition and as it ends."""
        left = cut.until - self.clock.now
        times = [self.rng.uniform(0.0, left), left + self.rng.uniform(-0.05, 0.3)]
        for at in times:
            same_node = self.rng.random() < 0.3
            how: Callable[[], None] = partial(self.operator.order, to=cut.machine, same_node=same_node)
            if self.rng.random() < 0.4:
                other = self.rng.choice([it for it in self.deployment.cores if it is not cut.machine])
                how = partial(self.operator.pair, cut.machine, self.rng.choice((cut.machine, other)))
            self.clock.call_later(at, how)
        if self.rng.random() < 0.4:
            self.clock.call_later(
                left + self.rng.uniform(0.1, 1.0), partial(self._replace_endpoints_near, cut.machine)
            )

    def _replace_endpoints_near(self, machine: Machine) -> None:
        """Replace the endpoints in the zone of a machine, except the last ready one of each service."""
        endpoint_fleet = self.deployment.endpoint_fleet
        for it in endpoint_fleet.up():
            if it.zone == machine.zone and len(endpoint_fleet.up(it.kind.name)) > 1:
                endpoint_fleet.start(it.kind.name, it.zone)
                self.history.trace(f"{it.name} of {it.kind.name} starts to drain")
                it.leave(1.0, lambda: None)

    def _send_commands(self, end: float) -> None:
        if self.clock.now > end:
            return
        rng, operator = self.rng, self.operator
        acts: list[Callable[[], object]] = [
            operator.order,
            operator.order,
            operator.order,
            operator.pair,
            operator.many,
            operator.read,
            operator.invalid,
            self.day.replace_endpoint,
        ]
        rng.choice(acts)()
        self.day.use_recent_routes()
        self.clock.call_later(rng.uniform(*COMMANDS_S), lambda: self._send_commands(end))
