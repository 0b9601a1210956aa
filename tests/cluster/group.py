"""A Raft group of three members on the simulated network; the size of its state follows from its commands."""

import random
from functools import partial

from result import Ok

from amberlug.cluster.consensus.membership import Member, Members
from amberlug.cluster.consensus.persistent_state import PersistentState
from amberlug.cluster.consensus.raft import ProposalResult, RaftNode, Role, StateMachine
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.disk import ControlDisk, ProcessDisk
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime

SLOW_LINK_BYTES_PER_S = 15e6 / 8  # bytes per second of a 15 Mbit/s link


class GroupMember(Host):
    """A member of the group and its disk."""

    def __init__(self, group: "RaftGroup", name: str) -> None:
        super().__init__(name, "z", name)
        self.group, self.is_founder, self.incarnations = group, True, 0
        self.disk = ControlDisk(group.clock, random.Random(name), 0.002)

    def start(self) -> None:
        group = self.group
        self.powered = True
        self.incarnations += 1
        incarnation = self.incarnation = Incarnation(self, self.incarnations, group.on_failed_assertion)
        runtime = SimulatedRuntime(
            group.net, incarnation, random.Random(f"{self.name} {self.incarnations}"), 0.0
        )
        members = group.founders if self.is_founder else Members()
        member_id = self.name if self.is_founder else f"{self.name}/{self.incarnations}"
        incarnation.machine = RecordingStateMachine(
            runtime,
            ProcessDisk(incarnation, self.disk),
            self.disk.load(lambda: PersistentState(member_id, members=members)),
        )
        self.raft: RaftNode = incarnation.machine.raft
        self.state_machine: RecordingStateMachine = incarnation.machine
        incarnation.do(self.raft.start)

    def stop(self) -> None:
        """Lose power, and with it all writes that are not on disk yet."""
        assert self.incarnation is not None
        self.powered = False
        self.incarnation.over = True
        self.disk.lose()
        for link in self.incarnation.links.values():
            link.close_silently(0)
        for link in self.incarnation.incoming:
            link.close_silently(1)

    def wipe(self) -> None:
        self.disk.wipe()
        self.is_founder = False

    @property
    def up(self) -> bool:
        return self.incarnation is not None and not self.incarnation.over


class RecordingStateMachine:
    """State machine of one incarnation of a member: all command numbers and the newest configuration."""

    def __init__(self, runtime: SimulatedRuntime, disk: ProcessDisk, saved: PersistentState) -> None:
        self.state: Json = {"numbers": [], "config": None}
        self.raft = RaftNode(
            runtime, disk, saved, StateMachine(self._apply, lambda: dict(self.state), self._restore)
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

    def on_peer_disconnected(self, address: str) -> None:
        pass


class RaftGroup:
    """Three members and a client that submits commands."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = Clock()
        self.net = Network(self.clock, random.Random(seed), 0.0005)
        self.founders = Members.from_wire({name: {"addr": name, "voter": True} for name in "abc"})
        self.members = {name: GroupMember(self, name) for name in "abc"}
        self.failed_assertions: list[str] = []
        self.committed: list[int] = []  # numbers of the acknowledged commands
        self.latencies_s: list[float] = []  # of each acknowledged command
        for member in self.members.values():
            self.net.hosts[member.address] = member
            member.start()
        self.run(2.0)

    def on_failed_assertion(self, incarnation: Incarnation, error: AssertionError) -> None:
        self.failed_assertions.append(f"{incarnation.name}: {error}")

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + seconds)

    @property
    def leader(self) -> GroupMember | None:
        """The leader of the highest term."""
        leaders = [
            member for member in self.members.values() if member.up and member.raft.role is Role.LEADER
        ]
        return max(leaders, key=lambda member: member.raft.term) if leaders else None

    def submit(self, number: int, size: int, since: float | None = None) -> None:
        """Propose a command repeatedly until it is committed."""
        since = self.clock.now if since is None else since
        retry = partial(self.clock.call_later, 0.05, partial(self.submit, number, size, since))
        if number in self.committed:
            return
        leader = self.leader
        if leader is None or leader.incarnation is None:
            retry()
            return

        def on_outcome(outcome: ProposalResult) -> None:
            if not isinstance(outcome, Ok):
                retry()
            elif number not in self.committed:
                self.committed.append(number)
                self.latencies_s.append(self.clock.now - since)

        command = {"number": number, "config": "x" * size}
        leader.incarnation.do(lambda: leader.raft.propose(command, on_outcome))
        self.clock.call_later(1.5, partial(self.submit, number, size, since))  # in case the leader has failed

    def admit(self, member: GroupMember) -> None:
        """Replace the old incarnation of a member that returned with an empty disk by the new one."""
        retry = partial(self.clock.call_later, 0.1, partial(self.admit, member))
        leader = self.leader
        if leader is None:
            retry()
            return
        members, name = leader.raft.members, member.raft.member_id
        old = [other for other in members if members[other].address == member.address and other != name]
        if old:
            rest = Members({other: members[other] for other in members if other not in old})
            leader.raft.change_members(rest, lambda outcome: None)
        elif name not in members or (
            not members.is_voter(name) and leader.raft.has_replicated(name, leader.raft.commit_index - 8)
        ):
            record = Member.from_wire({"addr": member.address, "voter": name in members})
            leader.raft.change_members(members.with_member(name, record), lambda outcome: None)
        if not members.is_voter(name):
            retry()

    @property
    def tolerates_a_loss(self) -> bool:
        """Whether the group survives the loss of another member."""
        leader = self.leader
        return leader is not None and not self.lagging and len(leader.raft.members.voters) == 3

    @property
    def lagging(self) -> list[str]:
        """The members that are down or have not applied all committed entries."""
        commit_index = max(member.raft.commit_index for member in self.members.values() if member.up)
        return [
            name
            for name, member in self.members.items()
            if not member.up or member.raft.last_applied < commit_index
        ]
