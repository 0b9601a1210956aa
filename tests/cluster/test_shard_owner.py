"""An owner of shards alone, with stores that a test plays."""

from result import Err, Ok

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.dispatch.shard_owner import AdmissionOutcome, ShardOwner
from amberlug.cluster.interfaces import Json, Reply, RequestFailure
from amberlug.cluster.settings import Tolerance
from amberlug.cluster.simulation.clock import Clock
from tests.cluster.fakes import Alone

META = {"a": "x", "h": "", "m": "POST", "t": "/", "r": "r", "k": "", "w": 0.0, "d": 0.0, "x": [], "c": 0}
OPEN = ["0-x", 0, 1, 1, META, 2, 2]
STORES = ("a", "b", "c")


def fresh() -> Message:
    return Message("0-x", 0, "x", "", "POST", "/", "r", "", 0.0, 0.0, body=b"hi", size=2)


class Rig:
    """An owner to whom shard 0 was just given."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.world = Alone(self.clock)
        self.replicator = Replicator(self.world, Tolerance(), "z", "r", 60.0)
        self.roster = {
            it: {"name": it, "addr": it, "zone": "z", "region": "r", "state": "full"} for it in STORES
        }
        self.replicator.roster_is(self.roster)
        self.taken: list[Message] = []
        self.shards = ShardOwner(
            self.world, self.replicator, "me", self.taken.append, lambda number: [], lambda *said: None
        )
        self.shards.table_is({"owners": [["me", {"addr": "me"}]], "shards": [[0, 7, -1]]})

    def answer(self, word: str, said: dict[str, Json]) -> None:
        """Have stores answer what they were asked; the others are silent."""
        asked, self.world.asked = self.world.asked, []
        for to, it, _, then in asked:
            if it == word and to in said:
                then(
                    Ok(Reply({"disk": to, "refused": {}, "ok": True, **said[to]}, said[to].get("blob", b"")))
                )

    def told(self) -> list[str]:
        """The stores that are told of ends from now on."""
        self.world.asked.clear()
        self.clock.run(self.clock.now + 0.1)
        return sorted(to for to, word, _, _ in self.world.asked if word == "marks")


def test_stores_that_did_not_tell_what_they_hold_are_told_of_ends() -> None:
    rig = Rig()
    rig.answer("fence", {"a": {"open": [OPEN], "blob": b"hi"}, "b": {"open": [OPEN], "blob": b"hi"}})
    rig.replicator.mark(rig.taken[0], "done", "seal")
    assert rig.told() == ["a", "b", "c"]


def test_a_store_that_lists_a_message_as_open_is_told_of_the_end_that_another_knows() -> None:
    rig = Rig()
    rig.answer("fence", {"a": {"open": [OPEN], "blob": b"hi"}, "b": {"open": []}})
    rig.answer("find", {"b": {"found": {"0-x": ["done", "seal"]}}})
    assert rig.taken == []
    assert "a" in rig.told()


def test_stores_of_an_earlier_try_are_told_of_the_end() -> None:
    rig = Rig()
    rig.answer("fence", {it: {"open": []} for it in STORES})
    said: list[AdmissionOutcome] = []
    rig.shards.accept(fresh(), said.append)
    first, second = (it[0] for it in rig.world.asked)
    rig.clock.run(2.0)
    for _, _, _, then in rig.world.asked:
        then(Err(RequestFailure.TIMED_OUT))
    assert said == [AdmissionOutcome.OUTCOME_UNKNOWN]
    rig.world.asked.clear()
    rig.shards.accept(fresh(), said.append)
    rig.answer("put", {it: {} for it in STORES})
    assert said == [AdmissionOutcome.OUTCOME_UNKNOWN, AdmissionOutcome.ACCEPTED]
    rig.replicator.mark(rig.taken[0], "done", "seal")
    assert set(rig.told()) >= {first, second} | rig.taken[0].holders
