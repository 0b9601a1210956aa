"""Control-plane nodes without contact with a majority: they keep no sessions and reject no commands.

Edge and storage nodes fail over to other control-plane nodes.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest
from result import Ok

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.persistent_state import Entry, PersistentState
from amberlug.cluster.control.command_results import CommandResult
from amberlug.cluster.control.node import ControlNode
from amberlug.cluster.control.submitted_commands import (
    ConfigCall,
    ReadState,
    SubmitConfig,
    SubmitRetirement,
)
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.gossip import announcements, store
from amberlug.cluster.interfaces import OnWritten, Reply
from amberlug.cluster.simulation.clients import HOST
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.machine import Machine
from amberlug.cluster.simulation.scenarios import Scenario
from amberlug.cluster.storage.outcomes import MessageOutcome
from amberlug.cluster.storage.records import StoredMessage
from tests.cluster.fakes import UnresponsiveRuntime, settings

pytestmark = pytest.mark.usefixtures("suppressed_logs")

WARM_UP_S, PARTITION_S, CONFIG_TIMEOUT_S = 6.0, 20.0, 3.0


class InstantDisk:
    """A disk that acknowledges each write at once, and stores nothing."""

    def write(self, rows: list[tuple[str, tuple[Any, ...]]], then: OnWritten) -> None:
        then(None)


class PartitionedDeployment:
    """A deployment without other faults, one of whose control-plane nodes is partitioned from the others.

    :param raft_role: `leader` or `follower`.
    :param direction: direction in which messages are blocked: `to` the node, `from` it, or `both`.
    """

    def __init__(self, seed: int, raft_role: str, direction: str) -> None:
        day = self.day = Scenario(seed, "quiet")
        self.deployment, self.clock = day.deployment, day.clock
        for machine in self.deployment.machines:
            machine.start()
        self.clock.call_later(0.6, day.operator.begin)
        self.clock.run(WARM_UP_S)
        leader = day.leader()
        assert leader is not None
        voters = [machine for machine in self.deployment.cores if machine.part.raft.is_voter]
        follower = next(voter for voter in voters if voter is not leader)
        self.partitioned = leader if raft_role == "leader" else follower
        self.others = [machine for machine in self.deployment.cores if machine is not self.partitioned]
        name = self.partitioned.name
        pairs = {(name, other.name) for other in self.others} if direction != "to" else set()
        pairs |= {(other.name, name) for other in self.others} if direction != "from" else set()
        self.deployment.net.cut(pairs)
        self.clock.call_later(PARTITION_S, partial(self.deployment.net.heal, pairs))

    def restart_others(self) -> None:
        """Restart the other control-plane nodes, so that sessions move to the partitioned one if possible."""
        for machine in self.others:
            machine.kill()
            self.clock.call_later(0.5, machine.start)

    def wait(self, what: Callable[[], bool], most: float) -> bool:
        until = self.clock.now + most
        while not what() and self.clock.now < until:
            self.clock.run(self.clock.now + 0.05)
        return what()

    def ask(self, core: Machine, method: str, path: str, body: bytes = b"", base: str = "") -> int:
        """Return the status of a control-plane node's reply within one second, or the code of a failure."""
        found: list[int] = []
        headers = (("amberlug-base-version", base),) if base else ()
        self.deployment.control(
            core, method, path, body, 1.0, lambda status, responses: found.append(status), headers
        )
        self.clock.run(self.clock.now + 1.1)
        return found[0]

    def editions(self) -> set[int]:
        return {machine.part.routes.edition for machine in self.deployment.edges}

    def relays(self) -> set[str]:
        nodes = self.deployment.edges + self.deployment.stores
        return {node.part.session.control_address for node in nodes}


@pytest.mark.parametrize("direction", ["both", "to", "from"])
@pytest.mark.parametrize("raft_role", ["leader", "follower"])
def test_no_session_stays_with_a_partitioned_control_node(raft_role: str, direction: str) -> None:
    play = PartitionedDeployment(3, raft_role, direction)
    play.clock.run(WARM_UP_S + 0.5)
    play.restart_others()
    assert play.wait(lambda: play.day.leader() not in (None, play.partitioned), 4.0)
    assert play.wait(lambda: not play.relays() & {play.partitioned.address, ""}, 3.0)
    before = play.day.operator.edition
    play.day.operator.change()
    assert play.wait(lambda: play.day.operator.edition > before, 6.0)
    assert play.wait(lambda: play.editions() == {play.day.operator.edition}, CONFIG_TIMEOUT_S)


def test_a_partitioned_control_node_neither_accepts_nor_rejects_commands() -> None:
    play = PartitionedDeployment(3, "leader", "both")
    play.clock.run(WARM_UP_S + 0.1)  # it still considers itself the leader
    calls: list[tuple[str, str, bytes, str]] = [
        ("POST", "/-/Configuration.Replace", b'{"edition": 900}', "899"),
        ("GET", "/-/Configuration.Read", b"", ""),
        ("POST", "/-/Retire.Begin/nobody", b'{"durationS": 1}', ""),
        ("POST", "/-/Retire.Begin/store-0", b'{"durationS": 1}', ""),
        ("GET", "/-/Retire.Read/store-0", b"", ""),
    ]
    assert {play.ask(play.partitioned, *call) for call in calls} <= {503, -2}
    play.clock.run(WARM_UP_S + 5.0)
    announce = b'{"targetService": "alpha", "address": "10.0.0.9:80", "sequence": 1}'
    assert {play.ask(play.partitioned, *call) for call in calls} == {503}
    assert play.ask(play.partitioned, "POST", "/-/Instances.Announce/i-1", announce) == 503
    responses: list[Any] = []
    other = play.others[0]
    body = announce.replace(b"{", b'{"zone": "%s",' % play.partitioned.zone.encode(), 1)
    play.deployment.control(
        other,
        "POST",
        "/-/Instances.Announce/i-1",
        body,
        1.0,
        lambda status, reply_body: responses.append((status, reply_body)),
    )
    play.clock.run(play.clock.now + 1.1)
    assert responses[0][0] == 200
    assert responses[0][1].get("heartbeatUri") != play.partitioned.control


def test_endpoints_of_a_partitioned_zone_fail_over_and_are_not_lost() -> None:
    play = PartitionedDeployment(5, "follower", "both")
    endpoint_fleet = play.deployment.endpoint_fleet
    for _ in range(3):
        endpoint_fleet.start("alpha", play.partitioned.zone)
    lost: set[str] = set()
    while play.clock.now < WARM_UP_S + PARTITION_S + 4.0:
        play.clock.run(play.clock.now + 0.5)
        for core in play.deployment.cores:
            items = core.part.registry.gossip.items
            lost |= {key for key, (version, _) in items.items() if key.startswith("ep/") and version[2]}
    assert lost == set()


def test_an_edge_serves_no_configuration_that_no_majority_has_confirmed() -> None:
    play = PartitionedDeployment(3, "leader", "both")
    play.clock.run(WARM_UP_S + 3.0)
    edge = play.deployment.edges[0]
    edge.kill()
    edge.start()
    part = edge.part
    statuses: list[int] = []

    class HttpRequest:
        method, target, body, headers = "POST", "/plain/1", b"", ()

        def header(self, name: str) -> str | None:
            return {"host": "x", "amberlug-attempt-id": "a"}.get(name)

    old = play.deployment.edges[1].part.gossip.announcements()
    part.gossip.apply(old)  # gossip from another edge node arrives first
    assert part.routes.index > 0
    part.handle(HttpRequest(), lambda response: statuses.append(response.status))
    assert statuses == [503]
    assert not part.ready


def test_a_new_leader_rejects_nothing_while_its_state_lags() -> None:
    of = settings("core")
    world = UnresponsiveRuntime(Clock())
    names = [f"10.0.0.{number}:7300" for number in (1, 2, 3)]
    member = {"voter": True, "zone": "", "control": ""}
    members = Members.from_wire({name: {"addr": name, **member} for name in names})
    config = {"do": "config", "base": 0, "edition": 5, "sum": "x", "config": {"edition": 5}}
    saved = PersistentState(names[0], 1, members=members, entries=[Entry(1, config)])
    core = ControlNode(world, of, names[0], InstantDisk(), saved)
    core.raft.election.start(2)
    core.raft.become_leader()  # its log has what the previous leader committed, which it has not applied yet
    responses: list[Any] = []
    core.executor.execute(SubmitConfig(ConfigCall.REPLACE, 5, {"edition": 6}), responses.append)
    core.executor.execute(SubmitRetirement("store-0"), responses.append)
    core.executor.execute(ReadState(), responses.append)
    assert responses == []
    for commit in (0, 2):
        for address, tag, body, on_reply in world.requests[:]:
            if tag == "vise.append" and address == names[1] and body["commit"] == commit:
                on_reply(Ok(Reply({"ok": True, "term": 2})))
    results = [response.ok_value for response in responses if isinstance(response, Ok)]
    statuses = [result.status for result in results if isinstance(result, CommandResult)]
    assert core.cluster_state.config_version == 5
    assert 412 not in statuses
    assert len(responses) == 2  # the retirement is proposed, but not committed yet


def test_an_edge_reads_all_published_state_page_by_page_before_it_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(announcements, "PAGE_ITEMS", 2)
    monkeypatch.setattr(store, "PAGE_ITEMS", 2)
    pages: list[int] = []
    page_after = store.GossipStore.page_after

    def page(self: store.GossipStore, after: str) -> Any:
        found = page_after(self, after)
        pages.append(len(found.announcements))
        return found

    monkeypatch.setattr(store.GossipStore, "page_after", page)
    day = Scenario(3, "quiet")
    for machine in day.deployment.machines:
        machine.start()
    day.clock.call_later(0.6, day.operator.begin)
    for number in range(5):
        day.deployment.endpoint_fleet.start("alpha", day.deployment.zones[number % 2])
    day.clock.run(5.0)
    edge = day.deployment.edges[0]
    edge.kill()
    edge.start()
    pages.clear()
    while not edge.part.session.is_confirmed:
        day.clock.run(day.clock.now + 0.001)
        assert day.clock.now < 7.0
    known = edge.part.gossip.items
    assert len(known) >= 8
    assert known.keys() == day.deployment.cores[0].part.gossip.items.keys()
    assert len(pages) >= 4
    assert max(pages) == 2


def test_a_body_is_not_read_again_and_again_once_the_outcome_is_stored() -> None:
    day = Scenario(2, "quiet")
    for machine in day.deployment.machines:
        machine.start()
    day.clock.call_later(0.6, day.operator.begin)
    day.clock.run(5.0)
    edge = day.deployment.edges[0].part
    shard = next(iter(edge.shard_owner.owned))
    for machine in day.deployment.stores:
        machine.part.contents.messages[f"{shard}-x"] = StoredMessage(
            shard, 1, 1, {}, 1, MessageOutcome("done", "seal"), day.clock.now + 2e9
        )
    message = Message(f"{shard}-x", shard, "x", HOST, "POST", "/plain/x", "r-plain", "", 1.79e9, 1.79e9)
    message.body, message.holders = None, set(edge.replicator.stores)
    edge.delivery.add(message)  # read as open without its body, before its outcome was known there
    day.clock.run(6.0)
    assert message.ended
    assert edge.delivery.outcomes.get(message.id) == MessageOutcome("done", "seal")


def start_deployment(cores: int) -> Scenario:
    """Return a fault-free deployment with `cores` control-plane nodes, `WARM_UP_S` after its start."""
    day = next(day for day in (Scenario(seed, "quiet") for seed in range(1, 99)) if day.size.cores == cores)
    for machine in day.deployment.machines:
        machine.start()
    day.clock.call_later(0.6, day.operator.begin)
    day.clock.run(WARM_UP_S)
    return day


@pytest.mark.parametrize("raft_role", ["leader", "follower"])
def test_a_voter_that_shuts_down_hands_over_its_vote_first(raft_role: str) -> None:
    day = start_deployment(4)
    leader = day.leader()
    assert leader is not None
    voters = [machine for machine in day.deployment.cores if machine.part.raft.is_voter]
    assert len(voters) == 3
    stopping = leader if raft_role == "leader" else next(voter for voter in voters if voter is not leader)
    name = stopping.part.raft.member_id
    stopping.term()
    while stopping.up:
        day.clock.run(day.clock.now + 0.01)
        assert day.clock.now < WARM_UP_S + 1.0
    others = [machine for machine in day.deployment.cores if machine is not stopping]
    assert all(machine.part.raft.is_voter for machine in others)
    assert name not in others[0].part.raft.members.voters


def test_nodes_find_a_control_node_while_several_do_not_respond() -> None:
    day = start_deployment(5)
    unresponsive = [machine for machine in day.deployment.cores if not machine.part.raft.is_voter]
    assert len(unresponsive) == 2
    gone = {machine.address for machine in unresponsive}
    sessions = [machine.part.session for machine in day.deployment.edges + day.deployment.stores]
    session = next(session for session in sessions if session.control_address not in gone)
    for machine in unresponsive:
        machine.power_off()
    day.clock.run(day.clock.now + 2.0)
    session._candidates = [machine.address for machine in unresponsive] + [
        machine.address for machine in day.deployment.cores if machine not in unresponsive
    ]
    session._attempts = 0
    session.on_disconnect(session.control_address)
    day.clock.run(day.clock.now + 0.8)
    assert session.control_address != ""
