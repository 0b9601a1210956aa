"""The replicated state machine of the control plane: every replica applies the same commands in log order.

The state machine has a replicated clock, which each timed command advances by the time that the leader has
led since it last did so. All replicas see the same time, and clock steps on a machine do not affect it. It
falls behind real time with each change of leader, so retention periods may be exceeded, but never cut short.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import replace

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
    ConfigDocument,
    ConfigHash,
    Departure,
    DepartureRank,
    EndpointRank,
    OwnerEntry,
    Retirement,
    ShardEntry,
    StoreEntry,
    StoreState,
    retirements_from_wire,
    retirements_to_wire,
    roster_from_wire,
    roster_to_wire,
    shards_from_wire,
)
from amberlug.cluster.interfaces import Json

CONFIG_HASH_RETENTION_S = 3600.0  # how long the hash of each call is kept to recognize a repeated call
# The newest MIN_CONFIG_HASHES outlive the retention period; MAX_CONFIG_HASHES is a hard limit at any age.
MIN_CONFIG_HASHES = 1024
MAX_CONFIG_HASHES = 16384
GONE_RETENTION_S = 600.0  # an endpoint's calls take about a second, and no later incarnation reuses its name
LEAVING_RETENTION_S = 3600.0  # for endpoints that start to leave and never report that they have left


def digest(document: Json) -> str:
    """Return the hash of a JSON object, independent of the order of its keys."""
    return hashlib.blake2b(json.dumps(document, sort_keys=True).encode(), digest_size=12).hexdigest()


def _upgrade_snapshot(snapshot: Json) -> Json:
    """Convert a snapshot to the current format.

    The first version had no replicated clock, so all its entries get the time 0.
    """
    if "drains" not in snapshot:
        return snapshot
    drains = snapshot["drains"].items()
    leaving = {name: (0.0, sequence) for name, (rank, sequence) in drains if rank == EndpointRank.LEAVING}
    gone = {name: (0.0, sequence) for name, (rank, sequence) in drains if rank == EndpointRank.GONE}
    return snapshot | {
        "hashes": {version: (call_hash, 0.0) for version, call_hash in snapshot["hashes"].items()},
        "leaving": leaving,
        "gone": gone,
        "forgotten": min(map(int, snapshot["hashes"]), default=1) - 1,
    }


class ClusterState:
    """Configuration, roster of storage nodes, shard owners, and departures of endpoints.

    :ivar index: log index of the newest applied command.
    :ivar clock_s: seconds of the replicated clock.
    :ivar config_hashes: by configuration version, the hash of the call that set it; oldest first.
    :ivar forgotten_version: the newest configuration version whose hash has been discarded.
    :ivar roster: storage nodes by disk id.
    :ivar retirements: progress of storage node retirements, by node name.
    :ivar owners: shard owners, by incarnation.
    :ivar shards_roster_index: the roster's index when shards were last assigned.
    :ivar leaving: endpoints that are leaving, oldest first; those that have left are in `gone`.
    """

    def __init__(self) -> None:
        self.index = 0
        self.config_version = 0
        self.config: ConfigDocument | None = None
        self.config_index = 0
        self.clock_s = 0.0
        self.config_hashes: dict[int, ConfigHash] = {}
        self.forgotten_version = 0
        self.roster: dict[str, StoreEntry] = {}
        self.roster_index = 0
        self.retirements: dict[str, Retirement] = {}
        self.owners: dict[str, OwnerEntry] = {}
        self.shards: list[ShardEntry] = []
        self.shards_index = 0
        self.shards_roster_index = 0
        self.leaving: dict[str, Departure] = {}
        self.gone: dict[str, Departure] = {}
        self.drains_index = 0
        self._changed_departures: dict[str, DepartureRank] = {}

    def to_json(self) -> Json:
        """Return a snapshot as stored in files and sent in frames, in the key order of its first version."""
        return {
            "index": self.index,
            "edition": self.config_version,
            "config": self.config,
            "config_at": self.config_index,
            "now": self.clock_s,
            "hashes": {str(version): applied for version, applied in self.config_hashes.items()},
            "forgotten": self.forgotten_version,
            "roster": roster_to_wire(self.roster),
            "roster_at": self.roster_index,
            "retired": retirements_to_wire(self.retirements),
            "owners": {name: owner.to_wire() for name, owner in self.owners.items()},
            "shards": [list(shard) for shard in self.shards],
            "shards_at": self.shards_index,
            "shards_roster": self.shards_roster_index,
            "leaving": dict(self.leaving),
            "gone": dict(self.gone),
            "drains_at": self.drains_index,
        }

    def from_json(self, snapshot: Json) -> None:
        """Restore a snapshot of this version or an earlier one; fields that it lacks keep their values."""
        body = {**self.to_json(), **_upgrade_snapshot(snapshot)}
        self.index = body["index"]
        self.config_version, self.config = body["edition"], body["config"]
        self.config_index, self.clock_s = body["config_at"], body["now"]
        self.config_hashes = {int(version): ConfigHash(*row) for version, row in body["hashes"].items()}
        self.forgotten_version = body["forgotten"]
        self.roster, self.roster_index = roster_from_wire(body["roster"]), body["roster_at"]
        self.retirements = retirements_from_wire(body["retired"])
        self.owners = {name: OwnerEntry.from_wire(owner) for name, owner in body["owners"].items()}
        self.shards, self.shards_index = shards_from_wire(body["shards"]), body["shards_at"]
        self.shards_roster_index = body["shards_roster"]
        self.leaving = {name: Departure(*departure) for name, departure in body["leaving"].items()}
        self.gone = {name: Departure(*departure) for name, departure in body["gone"].items()}
        self.drains_index = body["drains_at"]
        self._changed_departures = {name: self.departure(name) for name in (*self.leaving, *self.gone)}

    def apply_entry(self, index: int, command: Json) -> Json:
        """Apply a committed log entry in its JSON form.

        :returns: the JSON form of a `CommandResult`, for the proposer of the command.
        """
        return self.apply(index, command_from_wire(command)).to_wire()

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply a committed command at its log index."""
        self.index = index
        self.clock_s += command.elapsed_s
        match command:
            case ReplaceConfig():
                return self._replace_config(index, command)
            case UpdateRoster():
                return self._update_roster(index, command)
            case RetireStore():
                return self._retire_store(index, command)
            case AssignShards():
                return self._assign_shards(index, command)
            case DrainEndpoints():
                return self._drain_endpoints(index, command)

    def check_config(self, base_version: int, version: int, call_hash: str) -> CommandResult:
        """Return the result that applying a configuration would have now.

        A call whose hash may have been discarded gets no final answer (503), since it may have been applied.
        A call based on the version in force cannot have been applied, whatever its own version.
        """
        applied = self.config_hashes.get(version)
        if applied is not None and applied.call_hash == call_hash:
            return REPEATED
        in_force = self.config_version
        if base_version != in_force and version <= self.forgotten_version:
            return CommandResult.rejected(
                503, f"edition {version} is too old to tell whether it was this one"
            )
        if base_version != in_force:
            return CommandResult.rejected(412, f"edition {in_force} is in place, not {base_version}")
        if version <= in_force:
            return CommandResult.rejected(400, f"edition: {version} does not exceed {in_force}")
        return ACCEPTED

    def _replace_config(self, index: int, command: ReplaceConfig) -> CommandResult:
        result = self.check_config(command.base_version, command.version, command.call_hash)
        if result == ACCEPTED:
            self.config_version, self.config, self.config_index = command.version, command.config, index
            self.config_hashes[command.version] = ConfigHash(command.call_hash, self.clock_s)
            self._forget_config_hashes()
        return result

    def _forget_config_hashes(self) -> None:
        while (count := len(self.config_hashes)) > MIN_CONFIG_HASHES:
            version, oldest = next(iter(self.config_hashes.items()))
            is_recent = self.clock_s - oldest.applied_at_s <= CONFIG_HASH_RETENTION_S
            if count <= MAX_CONFIG_HASHES and is_recent:
                break
            del self.config_hashes[version]
            self.forgotten_version = version

    def _update_roster(self, index: int, command: UpdateRoster) -> CommandResult:
        roster = dict(self.roster)
        for disk, store in command.entries.items():
            current = roster.get(disk)
            state_index = current.state_index if current and current.state is store.state else index
            # Owners that use this shard table or a newer one know the disk; it must reject writes under older
            # tables.
            table_index = self.shards_index if current is None else current.table_index or 0
            roster[disk] = replace(store, state_index=state_index, table_index=table_index)
        for disk in command.dropped:
            dropped = roster.pop(disk, None)
            if dropped is not None and dropped.state is StoreState.RETIRING:
                self.retirements = {**self.retirements, dropped.name: Retirement.COMPLETED}
        self.roster, self.roster_index = roster, index
        return ACCEPTED

    def _retire_store(self, index: int, command: RetireStore) -> CommandResult:
        name = command.name
        disks = {disk: store for disk, store in self.roster.items() if store.name == name}
        # A node whose disks are all marked as lost still exists, and has to be retired once it returns.
        present = {disk: store for disk, store in disks.items() if store.state is not StoreState.LOST}
        affected = present or disks
        has_full = any(store.state is StoreState.FULL for store in affected.values())
        if self.retirements.get(name) is not None and not has_full:
            return REPEATED
        if not affected:
            return CommandResult.rejected(404, f"no store {name}")
        self.retirements = {**self.retirements, name: Retirement.IN_PROGRESS}
        retiring = {disk: store.with_state(StoreState.RETIRING) for disk, store in affected.items()}
        return self._update_roster(index, UpdateRoster(retiring))

    def _assign_shards(self, index: int, command: AssignShards) -> CommandResult:
        """Assign shards to new owners, with the index of the command as their fencing token."""
        self.owners = dict(command.owners)
        shards = list(self.shards) or [ShardEntry("", 0, "")] * SHARD_COUNT
        for owner, numbers in command.assignments.items():
            assert owner in self.owners, "a shard is assigned to an unknown owner"
            for number in numbers:
                previous = shards[number].owner
                shards[number] = ShardEntry(owner, index, previous if previous in self.owners else "")
        self.shards, self.shards_index, self.shards_roster_index = shards, index, self.roster_index
        return CommandResult(epoch=index)

    def _drain_endpoints(self, index: int, command: DrainEndpoints) -> CommandResult:
        for name, rank, sequence in command.drains:
            if self.departure(name) >= (rank, sequence):
                continue
            self.leaving.pop(name, None)
            self.gone.pop(name, None)
            departures = self.gone if rank == EndpointRank.GONE else self.leaving
            departures[name] = Departure(self.clock_s, sequence)
            self._changed_departures[name] = DepartureRank(rank, sequence)
        self._forget_departures(self.leaving, LEAVING_RETENTION_S)
        self._forget_departures(self.gone, GONE_RETENTION_S)
        self.drains_index = index
        return ACCEPTED

    def _forget_departures(self, departures: dict[str, Departure], retention_s: float) -> None:
        while departures and self.clock_s - next(iter(departures.values())).applied_at_s > retention_s:
            del departures[next(iter(departures))]

    def departure(self, name: str) -> DepartureRank:
        """Return the progress of an endpoint's departure; rank and sequence are 0 if none is known."""
        if name in self.gone:
            return DepartureRank(EndpointRank.GONE, self.gone[name].sequence)
        if name in self.leaving:
            return DepartureRank(EndpointRank.LEAVING, self.leaving[name].sequence)
        return DepartureRank(EndpointRank.READY, 0)

    def take_changed_departures(self) -> dict[str, DepartureRank]:
        """Return the departures that changed since the last call, or all after a snapshot was restored."""
        changed, self._changed_departures = self._changed_departures, {}
        return changed
