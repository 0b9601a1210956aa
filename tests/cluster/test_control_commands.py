"""JSON formats of log commands and of entries of the replicated state, which other versions read."""

import json
from typing import Any

import pytest

from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.command_results import ACCEPTED, REPEATED, CommandResult
from amberlug.cluster.control.commands import (
    AssignShards,
    Command,
    DrainEndpoints,
    ReplaceConfig,
    RetireStore,
    UpdateRoster,
    command_from_wire,
)
from amberlug.cluster.control.shard_assignment import SHARD_COUNT
from amberlug.cluster.control.state_entries import (
    EndpointDrain,
    EndpointRank,
    OwnerEntry,
    StoreEntry,
    StoreState,
)

STORE = StoreEntry("store-1", "10.0.2.1:7300", "z0", "r0", StoreState.FULL)
STORE_TEXT = '{"name": "store-1", "addr": "10.0.2.1:7300", "zone": "z0", "region": "r0", "state": "full"'
EDGE_TEXT = '{"name": "edge-1", "addr": "10.0.1.1:7300", "zone": "z0", "region": "r0"}'
COMMANDS: list[tuple[Command, str]] = [
    (
        ReplaceConfig(1, 2, "hash", {"edition": 2}, 0.5),
        '{"do": "config", "base": 1, "edition": 2, "sum": "hash", "config": {"edition": 2}, "after": 0.5}',
    ),
    (UpdateRoster({"disk": STORE}), f'{{"do": "roster", "set": {{"disk": {STORE_TEXT}}}}}}}'),
    (UpdateRoster(dropped=("disk",)), '{"do": "roster", "drop": ["disk"]}'),
    (RetireStore("store-1"), '{"do": "retire", "name": "store-1"}'),
    (
        AssignShards({"edge-1/a": OwnerEntry("edge-1", "10.0.1.1:7300", "z0", "r0")}, {"edge-1/a": [0, 3]}),
        f'{{"do": "give", "owners": {{"edge-1/a": {EDGE_TEXT}}}, "give": {{"edge-1/a": [0, 3]}}}}',
    ),
    (
        DrainEndpoints((EndpointDrain("i-1", EndpointRank.GONE, 7),), 1.25),
        '{"do": "drain", "ids": [["i-1", 2, 7]], "after": 1.25}',
    ),
]


@pytest.mark.parametrize(("command", "text"), COMMANDS)
def test_a_command_of_the_log_is_encoded_and_decoded(command: Command, text: str) -> None:
    assert json.dumps(command.to_wire()) == text
    assert command_from_wire(json.loads(text)) == command


def test_an_unknown_command_of_the_log_is_an_error() -> None:
    with pytest.raises(KeyError):
        command_from_wire({"do": "unknown"})


RESULTS = [
    (ACCEPTED, '{"ok": true}'),
    (REPEATED, '{"again": true}'),
    (CommandResult(epoch=9), '{"ok": true, "epoch": 9}'),
    (CommandResult.rejected(404, "no store x"), '{"status": 404, "cause": "no store x"}'),
]


@pytest.mark.parametrize(("result", "text"), RESULTS)
def test_a_result_is_encoded_and_decoded(result: CommandResult, text: str) -> None:
    assert json.dumps(result.to_wire()) == text
    assert CommandResult.from_wire(json.loads(text)) == result


def test_a_roster_entry_keeps_its_log_indices() -> None:
    text = STORE_TEXT + ', "at": 4, "table": 0}'
    assert json.dumps(StoreEntry.from_wire(json.loads(text)).to_wire()) == text
    lost = StoreEntry.from_wire(json.loads(text)).with_state(StoreState.LOST)
    assert json.dumps(lost.to_wire()) == text.replace("full", "lost")


def replica(commands: list[Command]) -> ClusterState:
    state = ClusterState()
    for index, command in enumerate(commands, 1):
        state.apply_entry(index, json.loads(json.dumps(command.to_wire())))
    return state


def test_a_restored_snapshot_is_encoded_to_the_same_bytes() -> None:
    config = ReplaceConfig(0, 2, "hash", {"edition": 2}, 0.5)
    state = replica([config, *(command for command, _ in COMMANDS[1:])])
    text = json.dumps(state.to_json())
    other = ClusterState()
    other.from_json(json.loads(text))
    assert json.dumps(other.to_json()) == text
    names = (
        "index edition config config_at now hashes forgotten roster roster_at retired owners shards "
        "shards_at shards_roster leaving gone drains_at"
    )
    assert " ".join(json.loads(text)) == names


def test_a_shard_assignment_has_its_index_as_fencing_token_and_names_the_previous_owner() -> None:
    owners = {name: OwnerEntry(name, name, "z0", "r0") for name in ("a", "b")}
    first, second = AssignShards(owners, {"a": [0, 1]}), AssignShards(owners, {"b": [1]})
    state = ClusterState()
    assert state.apply(5, first) == CommandResult(epoch=5)
    assert state.apply(6, second) == CommandResult(epoch=6)
    first_shards: list[Any] = state.shards[:3]
    assert first_shards == [("a", 5, ""), ("b", 6, "a"), ("", 0, "")]
    assert len(state.shards) == SHARD_COUNT
