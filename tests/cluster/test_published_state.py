"""Wire formats of the values that control-plane nodes publish by gossip."""

import json

import pytest

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.control.published_state import (
    NO_OWNER,
    EndpointCondition,
    PublishedEndpoint,
    ShardRow,
    ShardTable,
    StorageRoster,
    TableOwner,
    published_index,
    with_condition,
)
from amberlug.cluster.control.state_entries import OwnerEntry, StoreEntry, StoreState
from amberlug.cluster.gossip.announcements import VersionedValue

STORE = StoreEntry("store", "10.0.0.1:7300", "z", "r", StoreState.FULL, 9, 7)
TABLE = ShardTable(
    12,
    (TableOwner("edge/1", OwnerEntry("edge", "10.0.0.2:7300", "z", "r")),),
    (ShardRow(0, 7, NO_OWNER), ShardRow(NO_OWNER, 8, 0)),
    9,
)
ENDPOINT = PublishedEndpoint("s", "10.0.0.3:80", "z", 3, "1.2", 1500, "ready")


def test_a_roster_keeps_its_fields_on_the_wire() -> None:
    roster = StorageRoster(9, {"disk": STORE})
    text = (
        '{"disk": {"name": "store", "addr": "10.0.0.1:7300", "zone": "z", "region": "r", "state": "full",'
        ' "at": 9, "table": 7}}'
    )
    assert json.dumps(roster.to_wire()) == text
    assert StorageRoster.from_wire(9, json.loads(text)) == roster


def test_a_disk_of_an_early_version_has_no_index_of_a_table() -> None:
    row = {"name": "store", "addr": "a", "zone": "z", "region": "r", "state": "full"}
    assert StorageRoster.from_wire(9, {"disk": row}).stores["disk"].table_index is None


def test_a_disk_in_a_state_of_a_later_version_takes_no_replicas() -> None:
    row = {**STORE.to_wire(), "state": "suspended"}
    assert StorageRoster.from_wire(9, {"disk": row}).stores["disk"].state is StoreState.RETIRING


def test_a_shard_table_keeps_its_fields_on_the_wire() -> None:
    text = (
        '{"owners": [["edge/1", {"name": "edge", "addr": "10.0.0.2:7300", "zone": "z", "region": "r"}]],'
        ' "shards": [[0, 7, -1], [-1, 8, 0]], "roster": 9}'
    )
    assert json.dumps(TABLE.to_wire()) == text
    assert ShardTable.from_wire(12, json.loads(text)) == TABLE


def test_a_shard_table_of_an_early_version_has_no_index_of_a_roster() -> None:
    table = ShardTable.from_wire(1, {"owners": [["me", {"addr": "a"}]], "shards": [[0, 7, -1]]})
    owner = table.owner_of(0)
    assert table.roster_index == 0
    assert owner is not None
    assert (owner.node_id, owner.address) == ("me", "a")


def test_a_shard_table_names_owners_by_shard() -> None:
    assert TABLE.owner_of(0) == TABLE.previous_owner_of(1) == TABLE.owners[0]
    assert TABLE.owner_of(1) is TABLE.owner_of(2) is TABLE.previous_owner_of(0) is None
    assert TABLE.epochs_of("edge/1") == {0: 7}
    assert not ShardTable()


def test_an_endpoint_keeps_its_fields_on_the_wire() -> None:
    text = (
        '{"service": "s", "addr": "10.0.0.3:80", "zone": "z", "slots": 3, "edition": "1.2",'
        ' "warm_ms": 1500, "cond": "ready"}'
    )
    assert json.dumps(ENDPOINT.to_wire()) == text
    assert PublishedEndpoint.from_wire(json.loads(text)) == ENDPOINT
    assert ENDPOINT.warm_up_s == 1.5


def test_a_change_of_condition_keeps_fields_of_other_versions() -> None:
    body = {**ENDPOINT.to_wire(), "weight": 2}
    assert json.dumps(with_condition(body, EndpointCondition.LOST)) == json.dumps({**body, "cond": "lost"})


@pytest.mark.parametrize("field", ["service", "addr", "zone", "slots", "warm_ms", "cond"])
def test_an_endpoint_without_a_field_is_rejected(field: str) -> None:
    body = ENDPOINT.to_wire()
    del body[field]
    with pytest.raises(KeyError):
        PublishedEndpoint.from_wire(body)


def test_control_nodes_may_have_no_zone() -> None:
    records = {"1/a": {"addr": "a", "zone": "z", "voter": True}, "2/b": {"addr": "b"}}
    members = Members.from_wire(records).values()
    assert [(member.address, member.zone) for member in members] == [("a", "z"), ("b", "")]


def test_the_index_of_a_value_that_is_not_known_is_zero() -> None:
    items = {"roster": VersionedValue([9], {})}
    assert (published_index(items, "roster"), published_index(items, "shards")) == (9, 0)
