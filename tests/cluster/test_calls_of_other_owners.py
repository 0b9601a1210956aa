"""Calls that outlast the ownership of their message's shard.

While a call can still run, no later owner calls the message, over any number of handovers.
"""

from __future__ import annotations

import pytest
from result import Ok

from amberlug.cluster.control.published_state import PublishedEndpoint, ShardTable, StorageRoster
from amberlug.cluster.dispatch.handover import HANDOVER_TIMEOUT_S, REPORT_TIMEOUT_S
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.messages import CallEnded, CallInFlight, Handover
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.http.routing import build
from amberlug.cluster.interfaces import Json, Reply
from amberlug.cluster.simulation.clients import HOST
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.operator import route, service
from amberlug.cluster.simulation.scenarios import play
from amberlug.cluster.simulation.seed_search import run_seed
from amberlug.cluster.storage.outcomes import OPEN, MessageOutcome
from tests.cluster.fakes import UnresponsiveRuntime, settings
from tests.cluster.test_route_changes import SERVICE_OF_ADDRESS, RecordingEndpoints

STORES = ("a", "b", "c")
DONE = MessageOutcome("done", "seal")
ADDRESS = "10.0.0.1:7300"
EXPIRY_MS = 9000  # of the route: longer than every timer of an owner
REMAINING_S = 7.0  # of the first owner's call, as it hands the shard over
MESSAGE_ID = "0-x"


class Owner:
    """An edge node in a shard table with the owners `first` and `next`; storage replies as it is told to."""

    def __init__(self) -> None:
        self.clock, self.endpoints = Clock(), RecordingEndpoints()
        self.runtime = UnresponsiveRuntime(self.clock)
        self.edge = EdgeNode(self.runtime, settings("edge"), ADDRESS, self.endpoints)
        plain = route("/plain/", "alpha", expiry_ms=EXPIRY_MS)
        services = [service("alpha"), service("beta")]
        self.edge.apply_routes(build(1, {"edition": 1, "routeTable": [plain], "serviceTable": services}))
        for address, name in SERVICE_OF_ADDRESS.items():
            published = PublishedEndpoint(name, address, "z0", 9, "", 0, "ready")
            self.edge.delivery.dispatchers.update_endpoint(f"i-{name}", published)
        roster = {
            disk: {"name": disk, "addr": disk, "zone": disk, "region": "r", "state": "full"}
            for disk in STORES
        }
        self.edge.replicator.update_roster(StorageRoster.from_wire(1, roster))

    def own(self, owner: str, epoch: int, previous: str = "") -> None:
        """Apply a table that assigns shard 0 to `me`, `first` or `next`."""
        ids = {"me": self.edge.session.id, "first": "first", "next": "next"}
        names = list(ids)
        owners = [[ids[name], {"addr": ADDRESS if name == "me" else name}] for name in names]
        row = [names.index(owner), epoch, names.index(previous) if previous else -1]
        self.edge.shard_owner.update_table(ShardTable.from_wire(epoch, {"owners": owners, "shards": [row]}))

    def recover(self) -> None:
        """Have all storage nodes list the message as open."""
        metadata = Message(MESSAGE_ID, 0, "x", HOST, "POST", "/plain/1", "r", "", 0.0, 0.0).encode_metadata()
        row = [MESSAGE_ID, 0, 1, 1, metadata, 2, 2]
        self.reply("fence", {"open": [row], "blob": b"hi", "refused": {}, "ok": True})
        self.reply("find", {"found": {}, "ok": True})

    def reply(self, tag: str, body: Json) -> None:
        """Have all storage nodes reply to their pending requests with a tag."""
        pending, self.runtime.requests = self.runtime.requests, []
        for address, sent_tag, sent_body, on_reply in pending:
            if sent_tag == tag:
                on_reply(Ok(Reply({"disk": address, **body}, body.get("blob", b""))))
            else:
                self.runtime.requests.append((address, sent_tag, sent_body, on_reply))

    def receive(self, handover: Handover, origin: str = "first") -> None:
        self.edge.shard_owner.handover.on_handover(handover, origin, lambda reply: None)

    def receive_end(self, outcome: MessageOutcome = OPEN, origin: str = "first", **fields: object) -> None:
        ended = CallEnded(MESSAGE_ID, outcome, False, **fields)  # type: ignore[arg-type]
        self.edge.shard_owner.handover.on_outcome(ended, origin, lambda reply: None)

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + seconds)

    @property
    def calls(self) -> int:
        return len(self.endpoints.services)

    def told(self, address: str) -> list[Handover | CallEnded]:
        """What was sent to an owner, which is then forgotten."""
        told: list[Handover | CallEnded] = []
        for to, message in self.runtime.sent:
            if to == address and message.tag == Handover.wire_tag:
                told.append(Handover.from_wire(message.body, b""))
            elif to == address and message.tag == CallEnded.wire_tag:
                told.append(CallEnded.from_wire(message.body, b""))
        self.runtime.sent.clear()
        return told


def handover(epoch: int, *calls: CallInFlight) -> Handover:
    return Handover({0: epoch}, calls, ())


CALL = CallInFlight(MESSAGE_ID, "", REMAINING_S, 5)


def owner_that_waits(epoch: int = 5) -> Owner:
    """An owner that has got the shard from `first`, which has a call of the message in flight."""
    owner = Owner()
    owner.own("me", epoch, "first")
    owner.receive(handover(epoch, CALL))
    owner.recover()
    return owner


# -- a call may run for as long as its timeout allows


def test_a_message_is_not_called_while_the_previous_owners_call_can_run() -> None:
    # TWICE: a call of more than four seconds was taken for over, and the message was called again.
    owner = owner_that_waits()
    owner.run(REMAINING_S + REPORT_TIMEOUT_S - 0.1)
    assert owner.calls == 0
    owner.run(0.2)
    owner.reply("find", {"found": {MESSAGE_ID: OPEN.to_pair()}, "ok": True})
    owner.run(0.1)
    assert owner.calls == 1


def test_a_call_without_a_report_ends_with_the_outcome_that_its_caller_has_stored() -> None:
    owner = owner_that_waits()
    owner.run(REMAINING_S + REPORT_TIMEOUT_S + 0.1)
    owner.reply("find", {"found": {MESSAGE_ID: DONE.to_pair()}, "ok": True})
    owner.run(0.1)
    owner.reply("marks", {"ok": True})
    owner.run(3.0)
    assert owner.calls == 0
    assert owner.edge.delivery.outcomes.get(MESSAGE_ID) == DONE


def test_a_lost_connection_to_the_caller_does_not_end_its_call() -> None:
    owner = owner_that_waits()
    owner.edge.on_peer_disconnected("first")
    owner.run(REMAINING_S)
    assert owner.calls == 0


def test_the_reported_end_of_a_call_makes_the_message_callable_at_once() -> None:
    owner = owner_that_waits()
    owner.run(1.0)
    owner.receive_end()
    assert owner.calls == 1


def test_a_handover_of_an_earlier_version_does_not_say_how_long_its_calls_run() -> None:
    owner = Owner()
    owner.own("me", 5, "first")
    owner.receive(Handover.from_wire({"shards": {"0": 5}, "out": [MESSAGE_ID], "ended": []}, b""))
    owner.recover()
    owner.run(4.0)
    assert owner.calls == 0
    owner.receive_end()
    assert owner.calls == 1


def test_messages_count_as_being_called_by_an_owner_that_does_not_hand_over_in_time() -> None:
    owner = Owner()
    owner.own("me", 5, "first")
    owner.recover()
    owner.run(HANDOVER_TIMEOUT_S + 0.1)
    owner.reply("find", {"found": {}, "ok": True})
    assert MESSAGE_ID in owner.edge.delivery_queue.messages
    owner.run(EXPIRY_MS / 1000)
    assert owner.calls == 0


@pytest.mark.parametrize("is_called", [False, True])
def test_a_late_handover_says_which_messages_are_being_called(is_called: bool) -> None:
    owner = Owner()
    owner.own("me", 5, "first")
    owner.recover()
    owner.run(HANDOVER_TIMEOUT_S + 0.1)
    owner.receive(handover(5, CALL) if is_called else handover(5))
    owner.run(REMAINING_S)
    assert owner.calls == (0 if is_called else 1)


def test_a_call_that_is_reported_late_holds_a_message_that_is_to_be_retried() -> None:
    owner = Owner()
    owner.own("me", 5)
    owner.recover()
    owner.endpoints.answer(503)
    owner.receive(Handover({}, (CALL,), ()))
    owner.run(REMAINING_S)
    assert owner.calls == 1
    owner.receive_end()
    owner.run(1.0)
    assert owner.calls == 2


def test_the_end_of_another_nodes_call_does_not_repeat_one_that_is_in_flight_here() -> None:
    owner = Owner()
    owner.own("me", 5)
    owner.recover()
    owner.receive(Handover({}, (CALL,), ()))
    owner.receive_end()
    owner.run(1.0)
    assert owner.calls == 1


# -- over any number of handovers


@pytest.mark.parametrize("is_recovered", [False, True])
def test_the_calls_of_an_earlier_owner_are_handed_on(is_recovered: bool) -> None:
    # TWICE: the third owner was not told of the first one's call, and called the message while it ran.
    owner = Owner()
    owner.own("me", 5, "first")
    owner.receive(handover(5, CALL))
    if is_recovered:
        owner.recover()
    owner.run(1.0)
    owner.own("next", 6, "me")
    assert owner.told("next") == [handover(6, CallInFlight(MESSAGE_ID, "first", REMAINING_S - 1.0, 6))]


def test_a_handover_waits_for_that_of_the_owner_before() -> None:
    # TWICE: a shard that was lost before it had been handed over here reached the third owner without calls.
    owner = Owner()
    owner.own("me", 5, "first")
    owner.own("next", 6, "me")
    assert owner.told("next") == []
    assert not owner.edge.is_idle
    owner.receive(handover(5, CALL))
    calls = CallInFlight(MESSAGE_ID, "first", REMAINING_S, 6)
    assert owner.told("next") == [Handover({}, (calls,), ()), handover(6)]


@pytest.mark.parametrize("is_connected", [False, True])
def test_a_handover_does_not_wait_long_for_an_owner_that_is_gone(is_connected: bool) -> None:
    owner = Owner()
    owner.own("me", 5, "first")
    owner.own("next", 6, "me")
    if is_connected:
        owner.run(HANDOVER_TIMEOUT_S + 0.1)
    else:
        owner.edge.on_peer_disconnected("first")
    assert owner.told("next") == [handover(6)]


def test_the_end_of_a_call_is_passed_on_to_the_present_owner() -> None:
    owner = owner_that_waits()
    owner.own("next", 6, "me")
    owner.runtime.sent.clear()
    owner.receive_end(DONE, epoch=5)
    assert owner.told("next") == [CallEnded(MESSAGE_ID, DONE, False, "first", 6)]


def test_an_end_that_came_before_the_shard_was_recovered_is_passed_on() -> None:
    owner = Owner()
    owner.own("me", 5, "first")
    owner.receive(handover(5, CALL))
    owner.receive_end(epoch=5)
    owner.own("next", 6, "me")
    assert owner.told("next") == [handover(6), CallEnded(MESSAGE_ID, OPEN, False, "first", 6)]


@pytest.mark.parametrize("is_early", [False, True])
def test_an_end_of_a_message_that_is_not_open_any_more_is_not_kept(is_early: bool) -> None:
    # Otherwise each later handover of the shard would pass it on again.
    owner = Owner()
    owner.own("me", 5, "first")
    owner.receive(handover(5))
    if is_early:
        owner.receive_end(DONE, epoch=5)
    owner.reply("fence", {"open": [], "refused": {}, "ok": True})
    if not is_early:
        owner.receive_end(DONE, epoch=5)
    owner.own("next", 6, "me")
    assert owner.told("next") == [handover(6)]


def test_a_report_for_a_later_owner_than_is_known_here_is_kept() -> None:
    owner = Owner()
    owner.own("first", 4)
    owner.receive(handover(5, CALL))
    assert owner.told("first") == []
    owner.own("me", 5, "first")
    owner.recover()
    owner.run(REMAINING_S)
    assert owner.calls == 0


def test_a_caller_reports_its_call_to_every_later_owner() -> None:
    # An owner between them may be lost before it has handed the shard over.
    owner = Owner()
    owner.own("me", 5)
    owner.recover()
    assert owner.calls == 1
    owner.own("first", 6, "me")
    owner.own("next", 7)
    (handed_on,) = owner.told("next")
    assert isinstance(handed_on, Handover)
    assert [(call.message_id, call.caller, call.epoch) for call in handed_on.in_flight] == [
        (MESSAGE_ID, "", 7)
    ]
    owner.endpoints.answer(200)
    assert owner.told("next") == [CallEnded(MESSAGE_ID, DONE, False, "", 7)]


@pytest.mark.parametrize("is_lost_between", [False, True])
def test_a_caller_that_gets_the_shard_back_does_not_call_while_its_own_call_runs(
    is_lost_between: bool,
) -> None:
    owner = Owner()
    owner.own("me", 5)
    owner.recover()
    if is_lost_between:
        owner.own("first", 6, "me")
    owner.own("me", 7, "first")
    owner.receive(handover(7, CallInFlight(MESSAGE_ID, ADDRESS, REMAINING_S, 7)))
    owner.recover()
    owner.run(1.0)
    assert owner.calls == 1
    owner.endpoints.answer(503)
    owner.run(1.0)
    assert owner.calls == 2


@pytest.mark.usefixtures("suppressed_logs")
@pytest.mark.parametrize("seed", [2, 4, 13, 18, 24])
def test_no_message_runs_again_while_edge_nodes_stop_in_series(seed: int) -> None:
    assert play(seed, "handovers") == []


@pytest.mark.usefixtures("suppressed_logs")
@pytest.mark.parametrize("name", ["calls-reported-once", "short-wait"])
def test_a_call_that_is_forgotten_is_found(name: str) -> None:
    assert any(run_seed(seed, "handovers", name)[1] for seed in range(1, 21))
