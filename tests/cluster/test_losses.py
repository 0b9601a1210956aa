"""Losses right after repairs, and which owners may still write to storage nodes then."""

from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from result import Ok

from amberlug.cluster.control.published_state import StorageRoster
from amberlug.cluster.control.state_entries import StoreState
from amberlug.cluster.dispatch.messages import AdmissionOutcome
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.interfaces import Json, Reply
from amberlug.cluster.simulation.history import Violation
from amberlug.cluster.simulation.mutations import mutated
from amberlug.cluster.simulation.scenarios import Scenario, play
from amberlug.cluster.simulation.seed_search import run_seed
from tests.cluster.test_control_node import Rig as Leader
from tests.cluster.test_shard_owner import STORES, OwnerRig, new_message, table_of_one_shard
from tests.cluster.test_storage_node import Rig

pytestmark = pytest.mark.usefixtures("suppressed_logs")


@pytest.mark.parametrize("name", ["", "old-epoch"])
def test_a_fenced_owner_writes_nothing_to_nodes_that_joined_after_the_fence(name: str) -> None:
    """It resumes after its shards were reassigned, and learns of two new nodes before the reassignment."""
    day = Scenario(5, "quiet")
    old, zone = day.deployment.edges[0], day.deployment.edges[0].zone

    def come() -> None:
        for _ in range(2):
            day.deployment.add("store", zone).start()

    def wake() -> None:
        gossip: GossipStore = old.part.gossip
        offer = gossip.offer

        def late(key: str, version: list[int], value: Any) -> bool:
            if key == "shards":
                day.clock.call_later(0.3, partial(_offer, offer, key, version, value))
                return False
            return offer(key, version, value)

        gossip.offer = late  # type: ignore[method-assign]
        old.thaw()

    day.clock.call_later(6.0, old.freeze)
    day.clock.call_later(6.0, lambda: day.history.record_disturbance("an owner is frozen for 3 s", 3.0))
    day.clock.call_later(8.0, come)
    day.clock.call_later(9.0, wake)
    for number in range(40):
        day.clock.call_later(9.0 + number * 0.01, partial(_send, day, old))
    with mutated(name):
        assert {it.invariant for it in day.play()} == ({"STUCK"} if name else set())


def _offer(offer: Any, *item: Any) -> None:
    offer(*item)


def _send(day: Scenario, edge: Any) -> None:
    day.clients.choose_edge = lambda zone: edge  # type: ignore[method-assign]
    day.clients.send("/plain/")
    del day.clients.choose_edge


ROSTER = {
    "d": {"name": "store", "addr": "s", "zone": "z", "region": "r", "state": "full", "at": 9, "table": 7}
}


def test_a_joining_storage_node_rejects_owners_of_earlier_epochs() -> None:
    rig = Rig()
    rig.node.contents.enrolled_index = 0
    gossip = rig.node.gossip
    rig.put(1)
    assert rig.replies.pop() == {"early": True}  # the node is not on the roster yet
    gossip.offer("roster", [9], ROSTER)
    rig.put(2)
    assert rig.replies.pop() == {"early": True}  # it does not know yet who owned the shards when it joined
    gossip.offer("shards", [7], {"owners": [], "shards": [[0, 3, -1], [0, 7, -1]], "roster": 4})
    rig.put(3)
    assert rig.replies.pop() == {"fenced": 7}
    assert rig.node.contents.enrolled_index == 9


def test_an_owner_serves_once_it_knows_the_roster_of_its_shard_table() -> None:
    rig = OwnerRig()
    received: dict[str, Json] = {it: {"open": []} for it in STORES}
    rig.shard_owner.update_table(table_of_one_shard(epoch=8, roster=5))
    rig.reply("fence", received)
    assert not rig.shard_owner.owned[0].serving
    rig.replicator.update_roster(StorageRoster.from_wire(5, rig.roster))
    rig.shard_owner.roster_changed()
    assert rig.shard_owner.owned[0].serving


@pytest.mark.parametrize("name", ["", "unfenced-drop"])
def test_no_disk_is_dropped_while_a_node_may_accept_writes_of_a_previous_owner(name: str) -> None:
    rig = OwnerRig()
    (last,) = (then for to, _, _, then in rig.runtime.requests if to == STORES[2])
    rig.reply("fence", {it: {"open": []} for it in STORES[:2]})
    rig.clock.run(1.0)
    assert rig.shard_owner.owned[0].serving
    with mutated(name):
        assert bool(rig.shard_owner.unfenced_recoveries) != bool(name)
    last(Ok(Reply({"ok": True, "disk": STORES[2], "refused": {}, "open": []}, b"")))
    rig.clock.run(2.0)
    assert rig.shard_owner.unfenced_recoveries == 0


def test_a_replica_write_survives_the_removal_of_its_disk() -> None:
    rig = OwnerRig()
    rig.reply("fence", {it: {"open": []} for it in STORES})
    reply_body: list[AdmissionOutcome] = []
    rig.shard_owner.accept(new_message(), reply_body.append)
    first, second = (to for to, tag, _, _ in rig.runtime.requests if tag == "put")
    (left,) = set(STORES) - {first, second}
    remaining = {disk: rig.roster[disk] for disk in STORES if disk != left}
    rig.replicator.update_roster(StorageRoster.from_wire(0, remaining))
    rig.clock.run(0.5)  # long enough for a write to a further node
    rig.reply("put", {first: {}, second: {}})
    assert reply_body == [AdmissionOutcome.ACCEPTED]


def test_a_replica_write_in_flight_while_its_disk_is_emptied_leaves_nothing() -> None:
    rig = Rig()
    rig.put(1)
    rig.node.gossip.offer("roster", [9], {})  # other nodes have replaced it
    while rig.disk.pending:
        rig.disk.finish_write(None)
    assert rig.replies == [{"early": True}]
    assert rig.open_messages() == []


def _emptied(seed: int) -> list[Violation]:
    """Run a scenario in which a storage node is retired while replication is slow."""
    day = Scenario(seed, "quiet")
    store = day.deployment.stores[0]
    day.clients.load = replace(day.clients.load, delayed=0.9)

    def slow() -> None:
        for it in day.deployment.stores:
            assert it.disk is not None, "storage nodes have a disk"
            it.disk.sync_s = 0.3

    day.clock.call_later(7.2, slow)
    day.clock.call_later(7.5, lambda: day.storage_faults.empty(store))
    return day.play()


@pytest.mark.parametrize("name", ["", "retire-short", "blind-drop"])
def test_a_storage_node_is_retired_once_enough_replicas_are_elsewhere(name: str) -> None:
    with mutated(name):
        assert any(_emptied(seed) for seed in range(1, 4)) == bool(name)


@pytest.mark.parametrize("name", ["", "last-short"])
def test_no_disk_is_dropped_while_a_message_is_under_replicated(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Leader(monkeypatch)
    rig.set_state("disk-c", StoreState.RETIRING)
    rig.reconcile_roster("a", "b", "c")
    rig.proposed.clear()
    edge = rig.session("edge", "edge", table=0, loading=0, short=1, roster=9)
    with mutated(name):
        rig.core.reconciler.drop_replaced_disks({edge.id: edge})
    assert bool(rig.proposed) == bool(name)


def test_no_disk_is_dropped_while_a_full_member_does_not_respond(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Leader(monkeypatch)
    roster = rig.core.cluster_state.roster
    roster["disk-d"] = replace(roster["disk-c"], name="d", state=StoreState.RETIRING)
    rig.reconcile_roster("a", "b", "d")
    rig.proposed.clear()
    rig.drop_disks()
    assert rig.proposed == []
    rig.reconcile_roster("a", "b", "c", "d")
    rig.proposed.clear()
    rig.drop_disks()
    assert [it["drop"] for it in rig.proposed] == [["disk-d"]]


def test_a_lost_disk_that_is_there_again_is_not_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Owners may count it from now on; a drop proposed together with its return would remove it."""
    rig = Leader(monkeypatch)
    rig.set_state("disk-c", StoreState.LOST)
    rig.reconcile_roster("a", "b", "c")
    rig.drop_disks()
    assert [it for it in rig.proposed if it.get("drop")] == []


def test_no_disk_is_entered_while_one_is_being_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Leader(monkeypatch)
    rig.set_state("disk-c", StoreState.LOST)
    rig.reconcile_roster("a", "b")
    rig.drop_disks()
    assert [it["drop"] for it in rig.proposed] == [["disk-c"]]
    rig.reconcile_roster("a", "b", "c")
    assert len(rig.proposed) == 1, "it would be on the roster again after its drop"


@pytest.mark.parametrize(
    ("seed", "family"), [(1, "losses-stores"), (2, "losses-stores-zone"), (3, "losses-stores-region")]
)
def test_a_loss_right_after_each_repair_breaks_no_invariant(seed: int, family: str) -> None:
    assert play(seed, family) == []


def test_replicas_in_one_zone_are_detected() -> None:
    assert any(run_seed(seed, "losses-stores-zone", "one-zone")[1] for seed in range(5, 20))
