"""A single shard owner whose storage nodes are scripted by the test."""

from result import Err, Ok

from amberlug.cluster.control.published_state import ShardTable, StorageRoster
from amberlug.cluster.dispatch.handover import DeliveryCallbacks, LocalOwner
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.messages import AdmissionOutcome
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.dispatch.shard_owner import ShardOwner
from amberlug.cluster.interfaces import Json, Reply, RequestFailure
from amberlug.cluster.settings import Tolerance
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.storage.outcomes import MessageOutcome
from tests.cluster.fakes import UnresponsiveRuntime

METADATA = {"a": "x", "h": "", "m": "POST", "t": "/", "r": "r", "k": "", "w": 0.0, "d": 0.0, "x": [], "c": 0}
OPEN_ROW = ["0-x", 0, 1, 1, METADATA, 2, 2]
STORES = ("a", "b", "c")
DONE = MessageOutcome("done", "seal")


def table_of_one_shard(epoch: int, **fields: int) -> ShardTable:
    """A shard table that assigns shard 0 to this owner, with only the fields of early versions."""
    body = {"owners": [["me", {"addr": "me"}]], "shards": [[0, epoch, -1]], **fields}
    return ShardTable.from_wire(epoch, body)


def new_message() -> Message:
    return Message("0-x", 0, "x", "", "POST", "/", "r", "", 0.0, 0.0, body=b"hi", body_bytes=2)


class OwnerRig:
    """An owner that shard 0 was just assigned to."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.runtime = UnresponsiveRuntime(self.clock)
        self.replicator = Replicator(self.runtime, Tolerance(), "z", "r", 60.0)
        self.roster = {
            disk: {"name": disk, "addr": disk, "zone": "z", "region": "r", "state": "full"} for disk in STORES
        }
        self.replicator.update_roster(StorageRoster.from_wire(0, self.roster))
        self.admitted: list[Message] = []
        callbacks = DeliveryCallbacks(
            self.admitted.append,
            lambda shard: [],
            lambda ended: None,
            lambda message_id: False,
            lambda message_id: True,
            lambda message_id: None,
            lambda message: 1.0,
            lambda message_id, on_outcome: on_outcome(None),
        )
        self.shard_owner = ShardOwner(self.runtime, self.replicator, LocalOwner("me", "me"), callbacks)
        self.shard_owner.update_table(table_of_one_shard(epoch=7))

    def reply(self, wire_tag: str, bodies: dict[str, Json]) -> None:
        """Reply to the pending requests with a tag, and drop all other pending requests."""
        requests, self.runtime.requests = self.runtime.requests, []
        for address, tag, _, on_reply in requests:
            if tag == wire_tag and address in bodies:
                body = bodies[address]
                common = {"disk": address, "refused": {}, "ok": True}
                on_reply(Ok(Reply({**common, **body}, body.get("blob", b""))))

    def notified_of_outcomes(self) -> list[str]:
        """The storage nodes that are sent outcomes from now on."""
        self.runtime.requests.clear()
        self.clock.run(self.clock.now + 0.1)
        return sorted(address for address, tag, _, _ in self.runtime.requests if tag == "marks")


def test_disks_that_were_not_read_are_notified_of_outcomes() -> None:
    rig = OwnerRig()
    rig.reply("fence", {"a": {"open": [OPEN_ROW], "blob": b"hi"}, "b": {"open": [OPEN_ROW], "blob": b"hi"}})
    rig.replicator.record_outcome(rig.admitted[0], DONE)
    assert rig.notified_of_outcomes() == ["a", "b", "c"]


def test_a_disk_with_an_open_replica_is_notified_of_the_outcome_that_another_disk_has() -> None:
    rig = OwnerRig()
    rig.reply("fence", {"a": {"open": [OPEN_ROW], "blob": b"hi"}, "b": {"open": []}})
    rig.reply("find", {"b": {"found": {"0-x": ["done", "seal"]}}})
    assert rig.admitted == []
    assert "a" in rig.notified_of_outcomes()


def test_disks_of_an_earlier_write_attempt_are_notified_of_the_outcome() -> None:
    rig = OwnerRig()
    rig.reply("fence", {disk: {"open": []} for disk in STORES})
    outcomes: list[AdmissionOutcome] = []
    rig.shard_owner.accept(new_message(), outcomes.append)
    first, second = (request[0] for request in rig.runtime.requests)
    rig.clock.run(2.0)
    for _, _, _, on_reply in rig.runtime.requests:
        on_reply(Err(RequestFailure.TIMED_OUT))
    assert outcomes == [AdmissionOutcome.OUTCOME_UNKNOWN]
    rig.runtime.requests.clear()
    rig.shard_owner.accept(new_message(), outcomes.append)
    rig.reply("put", {disk: {} for disk in STORES})
    assert outcomes == [AdmissionOutcome.OUTCOME_UNKNOWN, AdmissionOutcome.ACCEPTED]
    rig.replicator.record_outcome(rig.admitted[0], DONE)
    assert set(rig.notified_of_outcomes()) >= {first, second} | rig.admitted[0].holders
