"""Members of the core's log over the jig's network, with a state as large as the changes make it."""

import random
from functools import partial

from result import Ok, Result

from amberlug.cluster.consensus.log import PersistentState
from amberlug.cluster.consensus.raft import ProposalRejected, RaftNode, Role, StateMachine
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.disk import ControlDisk, ProcessDisk
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime

SLOW = 15e6 / 8  # bytes a second


class SessionClient(Host):
    """One core machine, and its disk."""

    def __init__(self, group: "Group", name: str, founder: bool = True) -> None:
        super().__init__(name, "z", name)
        self.group, self.founder, self.lives = group, founder, 0
        self.raft_storage = ControlDisk(group.clock, random.Random(name), 0.002)

    def start(self) -> None:
        group = self.group
        self.powered = True
        self.lives += 1
        life = self.life = Incarnation(self, self.lives, group.failed)
        world = SimulatedRuntime(group.net, life, random.Random(f"{self.name} {self.lives}"), 0.0)
        members = group.founders if self.founder else {}
        me = self.name if self.founder else f"{self.name}/{self.lives}"
        life.machine = Replica(
            world,
            ProcessDisk(life, self.raft_storage),
            self.raft_storage.begun(lambda: PersistentState(me, members=members)),
        )
        self.raft: RaftNode = life.machine.raft
        self.replica: Replica = life.machine
        life.do(self.raft.start)

    def stop(self) -> None:
        """Its power is gone."""
        assert self.life is not None
        self.powered = False
        self.life.over = True
        self.raft_storage.lose()
        for link in self.life.links.values():
            link.silence(0)
        for link in self.life.incoming:
            link.silence(1)

    def wipe(self) -> None:
        self.raft_storage.wipe()
        self.founder = False

    @property
    def up(self) -> bool:
        return self.life is not None and not self.life.over


class Replica:
    """What one life of a member holds: the numbers of all changes, and the newest of them."""

    def __init__(self, world: SimulatedRuntime, disk: ProcessDisk, saved: PersistentState) -> None:
        self.state: Json = {"numbers": [], "config": None}
        self.raft = RaftNode(
            world, disk, saved, StateMachine(self._apply, lambda: dict(self.state), self._restore)
        )
        self.handlers = handlers_of(self.raft)

    def _apply(self, index: int, command: Json) -> Json:
        numbers = self.state["numbers"]
        if command["number"] not in numbers:
            numbers = [*numbers, command["number"]]
        self.state = {"numbers": numbers, "config": command["config"]}
        return {"ok": True}

    def _restore(self, state: Json) -> None:
        self.state = state

    def broken(self, address: str) -> None:
        pass


class Group:
    """Three members, and who changes what they hold."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = Clock()
        self.net = Network(self.clock, random.Random(seed), 0.0005)
        self.founders: Json = {name: {"addr": name, "voter": True} for name in "abc"}
        self.members = {name: SessionClient(self, name) for name in "abc"}
        self.faults: list[str] = []
        self.taken: list[int] = []  # numbers of the changes that were acknowledged
        self.seconds: list[float] = []  # how long each took
        for member in self.members.values():
            self.net.hosts[member.address] = member
            member.start()
        self.run(2.0)

    def failed(self, life: Incarnation, error: AssertionError) -> None:
        self.faults.append(f"{life.name}: {error}")

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + seconds)

    @property
    def leader(self) -> SessionClient | None:
        led = [it for it in self.members.values() if it.up and it.raft.role is Role.LEADER]
        return max(led, key=lambda it: it.raft.term) if led else None

    def change(self, number: int, size: int, since: float | None = None) -> None:
        """Have a change taken, however often it must be proposed."""
        since = self.clock.now if since is None else since
        again = partial(self.clock.call_later, 0.05, partial(self.change, number, size, since))
        if number in self.taken:
            return
        leader = self.leader
        if leader is None or leader.life is None:
            again()
            return

        def hear(said: Result[Json, ProposalRejected]) -> None:
            if not isinstance(said, Ok):
                again()
            elif number not in self.taken:
                self.taken.append(number)
                self.seconds.append(self.clock.now - since)

        command = {"number": number, "config": "x" * size}
        leader.life.do(lambda: leader.raft.propose(command, hear))
        self.clock.call_later(1.5, partial(self.change, number, size, since))  # its leader may be gone

    def let_in(self, member: SessionClient) -> None:
        """Put a member that came back empty in the place of the one that it was."""
        again = partial(self.clock.call_later, 0.1, partial(self.let_in, member))
        leader = self.leader
        if leader is None:
            again()
            return
        members, name = leader.raft.members, member.raft.member_id
        old = [it for it, known in members.items() if known["addr"] == member.address and it != name]
        if old:
            rest = {it: known for it, known in members.items() if it not in old}
            leader.raft.change_members(rest, lambda said: None)
        elif name not in members or (
            not members[name]["voter"] and leader.raft.has_replicated(name, leader.raft.commit_index - 8)
        ):
            known = {"addr": member.address, "voter": name in members}
            leader.raft.change_members({**members, name: known}, lambda said: None)
        if not members.get(name, {}).get("voter"):
            again()

    @property
    def whole(self) -> bool:
        """Whether one more may be lost."""
        leader = self.leader
        return leader is not None and not self.behind and len(leader.raft.membership.voters) == 3

    @property
    def behind(self) -> list[str]:
        """Who lacks something that was agreed."""
        last = max(it.raft.commit_index for it in self.members.values() if it.up)
        return [name for name, it in self.members.items() if not it.up or it.raft.last_applied < last]
