"""The wire format of an edge node's status report."""

import json
from collections.abc import Set

from amberlug.cluster.edge.status import EdgeStatus, EdgeStatusReport
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import handlers_of

# A frame recorded in a simulation, from the version before typed messages.
RECORDED = (
    '{"ready": true, "edition": 7, "shards": 51, "in hand": 2, "bytes": 24, "out": 0, "copies short": 0, '
    '"counts": {"taken": 35, "offered": 6, "called: done": 31, "ended: done": 31, "called: answered": 1, '
    '"called: dead": 1, "ended: dead": 1}}'
)
REPORT = EdgeStatusReport(
    is_ready=True,
    config_version=7,
    owned_shards=51,
    queued_messages=2,
    queued_bytes=24,
    active_calls=0,
    under_replicated_messages=0,
    counters={
        "taken": 35,
        "offered": 6,
        "called: done": 31,
        "ended: done": 31,
        "called: answered": 1,
        "called: dead": 1,
        "ended: dead": 1,
    },
)


class Source:
    """An edge node that always returns the recorded status."""

    def __init__(self) -> None:
        self.requested: list[Set[str]] = []

    def status_report(self, live_disk_ids: Set[str]) -> EdgeStatusReport:
        self.requested.append(live_disk_ids)
        return REPORT


def test_a_report_is_encoded_as_before_and_decoded() -> None:
    assert EdgeStatusReport.from_wire(json.loads(RECORDED), b"") == REPORT
    assert json.dumps(REPORT.to_wire()) == RECORDED


def test_a_status_request_names_the_disks_whose_replicas_count() -> None:
    source, replies = Source(), list[Json]()
    handler = handlers_of(EdgeStatus(source))["status"]
    handler({"up": ["d", "e"]}, b"", "10.0.0.9:7300", lambda body, blob: replies.append(body))
    assert source.requested == [{"d", "e"}]
    assert json.dumps(replies[0]) == RECORDED
