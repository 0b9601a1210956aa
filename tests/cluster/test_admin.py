"""Tests the admin command line, the control plane's responses to it, and a trial of a local deployment."""

import asyncio
import json
import random
import threading
from collections.abc import Callable, Iterator
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
import yaml
from click.testing import CliRunner, Result
from result import Err, Ok

from amberlug.cluster.admin.config_differences import differences
from amberlug.cluster.admin.files import check_deploy, check_settings
from amberlug.cluster.admin.options import ExitCode
from amberlug.cluster.cli import cli
from amberlug.cluster.control.dead_messages import merge_pages
from amberlug.cluster.control.messages import SessionDescription
from amberlug.cluster.control.node import ControlNode, blank
from amberlug.cluster.interfaces import Json, OnWritten, RawMessage, Reply, ReplyCallback, RequestFailure
from amberlug.cluster.local_deployment.deployment import Deployment, initial_config
from amberlug.cluster.local_deployment.fake_endpoint import Run
from amberlug.cluster.local_deployment.trial import Trial, TrialLoad
from amberlug.cluster.local_deployment.trial_report import SentMessage, TrialReport
from amberlug.cluster.metrics import page
from amberlug.cluster.settings import read_settings_file
from amberlug.cluster.storage.operator_messages import DeadMessagesReply
from tests.rig import ROOT

# -- calls of a control-plane node


class FakeRuntime:
    """Peers in a table reply immediately; requests to others time out when the timers fire."""

    def __init__(self, answers: dict[tuple[str, str], Json]) -> None:
        self.answers, self.rng = answers, random.Random(1)
        self.timers: list[Callable[[], None]] = []

    def now(self) -> float:
        return 10.0

    def wall_clock(self) -> float:
        return 10.0

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Any:
        self.timers.append(callback)

    def send(self, address: str, message: RawMessage) -> None: ...

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        answer = self.answers.get((address, message.tag))
        if answer is not None:
            on_reply(Ok(Reply(answer, answer.get("blob", b""))))
        else:
            self.timers.append(lambda: on_reply(Err(RequestFailure.TIMED_OUT)))

    def fire_timers(self) -> None:
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()


class FakeDisk:
    def write(self, rows: object, then: OnWritten) -> None: ...


class FakeRequest:
    method, body = "GET", b""

    def __init__(self, target: str) -> None:
        self.target = target

    def header(self, name: str) -> str | None:
        return None


def control_node_of(tmp_path: Path, answers: dict[tuple[str, str], Json]) -> tuple[ControlNode, FakeRuntime]:
    deployment = Deployment(tmp_path, "127.0.1")
    deployment.write_settings(first_start=True)
    settings = read_settings_file(str(deployment.machines["core-1"].settings_path)).unwrap()
    runtime = FakeRuntime(answers)
    node = ControlNode(
        runtime, settings, "127.0.1.10:7300", FakeDisk(), blank(settings, runtime.rng.getrandbits)
    )
    for kind, name in (("edge", "e1"), ("edge", "e2"), ("storage", "s1")):
        details = {"disk": f"disk of {name}"}
        member = SessionDescription(name, "1", name, kind, "north", "valley", "up", details)
        node.sessions.open(member, 9.0)
    for name in ("s1", "s2"):
        store = {"name": name, "addr": name, "zone": "north", "region": "valley", "state": "full"}
        node.cluster_state.apply_entry(1, {"do": "roster", "set": {f"disk of {name}": store}})
    return node, runtime


def get(node: ControlNode, runtime: FakeRuntime, target: str) -> tuple[int, Json]:
    responses: list[Any] = []
    node.admin_api.handle(FakeRequest(target), responses.append)
    if not responses:
        runtime.fire_timers()
    (answer,) = responses
    return answer.status, answer.body


EDGE_REPORT = {
    "ready": True,
    "edition": 3,
    "shards": 9,
    "in hand": 2,
    "bytes": 5,
    "out": 1,
    "copies short": 2,
    "counts": {"taken": 4},
}


def test_the_status_shows_all_nodes_where_some_do_not_reply(tmp_path: Path) -> None:
    node, runtime = control_node_of(
        tmp_path, {("e1", "status"): EDGE_REPORT, ("127.0.1.11:7300", "core.status"): {"counts": {}}}
    )
    node.counters["announced"] = 2
    status, data = get(node, runtime, "/-/Foreman.Status")
    assert status == 200
    assert " ".join(data) == (
        "by confirmed members core shards stores configuration endpoints copies_short copies_unknown counters"
    )
    assert not data["confirmed"]
    assert {it["name"]: it["told"] is not None for it in data["members"]} == {
        "e1": True,
        "e2": False,
        "s1": False,
    }
    assert [it["told"] is not None for it in data["core"]["members"]] == [True, True, False]
    assert data["configuration"]["edges"] == {"e1": 3, "e2": None}
    assert (data["copies_short"], data["copies_unknown"]) == (2, 1)
    assert {it["name"]: it["session"] for it in data["stores"].values()} == {"s1": True, "s2": False}
    assert data["counters"] == {"announced": 2, "taken": 4}


def dead_message_row(name: str, meta: Json | None = None) -> list[Any]:
    return [name, {"m": "POST", "t": "/a", "h": "x", "r": "r", "x": []} if meta is None else meta, 3, 1.0]


PAGE_CASES = [
    # pages of the storage nodes (None: no reply), limit, expected names, start of the next page
    ([None], 9, [], None),
    ([(["a", "b"], False)], 9, ["a", "b"], None),
    ([(["a", "c"], False), (["b", "c"], False)], 9, ["a", "b", "c"], None),
    ([(["a", "b"], True), (["b", "x"], False)], 9, ["a", "b"], "b"),
    ([(["a", "b"], True), (["m"], True), None], 9, ["a", "b"], "b"),
    ([(["a", "b", "c"], False)], 2, ["a", "b"], "b"),
]


@pytest.mark.parametrize(("pages", "limit", "names", "after"), PAGE_CASES)
def test_pages_of_dead_messages_are_merged(
    pages: list[Any], limit: int, names: list[str], after: str | None
) -> None:
    replies: dict[str, Any] = {
        str(at): Err(RequestFailure.TIMED_OUT)
        if it is None
        else Ok(
            DeadMessagesReply.from_wire(
                {"rows": [dead_message_row(name) for name in it[0]], "more": it[1]}, b""
            )
        )
        for at, it in enumerate(pages)
    }
    page = merge_pages(replies, limit).to_json()
    assert [it["id"] for it in page["rows"]] == names
    assert page.get("after") == after


DEAD_MESSAGE_CASES = [
    # replies of the storage nodes, status of the response to the operator
    (
        {
            "s1": {"rows": [dead_message_row("a", {})], "more": False},
            "s2": {"rows": [dead_message_row("a")], "more": False},
        },
        200,
    ),
    ({"s1": {"rows": [], "more": False}, "s2": {"rows": [], "more": False}}, 404),
    ({"s1": {"rows": [], "more": False}}, 503),
    ({}, 503),
]


@pytest.mark.parametrize(("stores", "status"), DEAD_MESSAGE_CASES)
def test_a_dead_message_is_read_from_any_storage_node(
    tmp_path: Path, stores: dict[str, Json], status: int
) -> None:
    answers: dict[tuple[str, str], Json] = {(name, "dead"): it for name, it in stores.items()}
    answers["s2", "body"] = {"found": True, "blob": b"abc"}
    node, runtime = control_node_of(tmp_path, answers)
    responses: list[Any] = []
    node.admin_api.handle(FakeRequest("/-/Foreman.Dead/a"), responses.append)
    runtime.fire_timers()
    runtime.fire_timers()
    assert [it.status for it in responses] == [status]
    assert status != 200 or (responses[0].body["body"], responses[0].body["method"]) == ("YWJj", "POST")


def test_the_counters_page_has_a_line_for_each_counter() -> None:
    assert page({"ended: done": 2, "called: answered": 3}) == b"called_answered 3\nended_done 2\n"


# -- commands


class FakeControlNode:
    """A fake control-plane node that gives prepared responses in order and repeats the last one."""

    def __init__(self) -> None:
        self.answers: dict[str, list[tuple[int, Any]]] = {}
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []
        node = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:  # noqa: N802
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                headers = {name.lower(): value for name, value in self.headers.items()}
                node.requests.append((self.command, self.path, headers, body))
                responses = node.answers.get(self.path.partition("?")[0], [(404, {"cause": "no call"})])
                status, data = responses.pop(0) if len(responses) > 1 else responses[0]
                text = data if isinstance(data, bytes) else json.dumps(data).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(text)))
                if status == 202:
                    self.send_header("Amberlug-Message-Name", "1-new")
                self.end_headers()
                self.wfile.write(text)

            do_POST = do_GET  # noqa: N815

            def log_message(self, *args: Any) -> None: ...

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.at = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def admin(self, *arguments: str) -> Result:
        return CliRunner().invoke(cli, ["admin", *(self.at if it == "@" else it for it in arguments)])


@pytest.fixture
def control() -> Iterator[FakeControlNode]:
    node = FakeControlNode()
    yield node
    node.server.shutdown()
    node.server.server_close()


NEW_CONFIG = {**initial_config(), "edition": 4}
READ_PATH, REPLACE_PATH = "/-/Configuration.Read", "/-/Configuration.Replace"
DEAD_MESSAGE = {
    "id": "1-a",
    "host": "h",
    "method": "POST",
    "target": "/a",
    "headers": [["x-a", "b"]],
    "body": "YWJj",
}
COMMAND_CASES = [
    # command, the node's responses by path, exit code, expected output
    ("status --at 127.0.0.1:9", {}, ExitCode.UNKNOWN, "refused"),
    ("status --at nowhere", {}, 2, "no address"),
    (
        "message 1-a --at @",
        {"/-/message/1-a": [(200, {"condition": "completed", "seal": "z"})]},
        ExitCode.DONE,
        "seal z",
    ),
    (
        "message 1-a --at @",
        {"/-/message/1-a": [(404, {"cause": "no such message"})]},
        ExitCode.REJECTED,
        "no such",
    ),
    ("message 1-a --at @", {"/-/message/1-a": [(503, {"cause": "not now"})]}, ExitCode.UNKNOWN, "not now"),
    (
        "message 1-a --at 127.0.0.1:9 --at @",
        {"/-/message/1-a": [(200, {"condition": "failed"})]},
        ExitCode.DONE,
        "failed",
    ),
    ("message 1-a --body --at @", {"/-/message-body/1-a": [(200, b"abc")]}, ExitCode.DONE, "abc"),
    (
        "counters --at @ --json",
        {"/-/Foreman.Counters": [(200, b"a 1\nb 2\n")]},
        ExitCode.DONE,
        '{"a": 1, "b": 2}',
    ),
    ("config show --at @", {READ_PATH: [(200, NEW_CONFIG)]}, ExitCode.DONE, '"edition": 4'),
    ("config show --at @", {}, ExitCode.REJECTED, "no configuration"),
    ("config check NEW", {}, ExitCode.DONE, "edition 4"),
    ("config check BAD", {}, ExitCode.BAD_INPUT, "routeTable.0.targetService"),
    ("config check none.json", {}, ExitCode.BAD_INPUT, "No such file"),
    ("config diff NEW --at @", {READ_PATH: [(200, initial_config())]}, ExitCode.DONE, "edition 1 -> 4"),
    ("config push BAD --at @", {}, ExitCode.BAD_INPUT, "routeTable.0.targetService"),
    ("config push NEW --at @", {REPLACE_PATH: [(200, {})]}, ExitCode.DONE, "edition 4 is in force"),
    ("config push NEW --at @", {READ_PATH: [(200, NEW_CONFIG)]}, ExitCode.DONE, "already"),
    (
        "config push NEW --at @ --base 3",
        {REPLACE_PATH: [(503, {}), (503, {}), (200, {})]},
        ExitCode.DONE,
        "is in force",
    ),
    (
        "config push NEW --at @ --base 3",
        {REPLACE_PATH: [(412, {"cause": "2 is in place"})]},
        ExitCode.REJECTED,
        "412: 2 is",
    ),
    (
        "config push NEW --at @ --base 3 --for 0",
        {REPLACE_PATH: [(503, {"cause": "no majority"})]},
        ExitCode.UNKNOWN,
        "no maj",
    ),
    ("retire s1 --at @", {}, 2, "either"),
    (
        "retire s1 --at @ --seconds 5",
        {"/-/Retire.Begin/s1": [(409, {"cause": "too few"})]},
        ExitCode.REJECTED,
        "too few",
    ),
    (
        "retire s1 --at @ --read",
        {"/-/Retire.Read/s1": [(200, {"condition": "in_progress"})]},
        ExitCode.DONE,
        "in_prog",
    ),
    (
        "dead list --at @",
        {
            "/-/Foreman.Dead": [
                (200, {"rows": [], "silent": ["s1"], "after": "x"}),
                (200, {"rows": [], "silent": []}),
            ]
        },
        ExitCode.DONE,
        "storage node s1",
    ),
    (
        "dead again 1-a --at @ --front @",
        {"/-/Foreman.Dead/1-a": [(200, DEAD_MESSAGE)], "/a": [(202, b"")]},
        ExitCode.DONE,
        "1-new",
    ),
    (
        "dead again 1-a --at @ --front @",
        {"/-/Foreman.Dead/1-a": [(200, DEAD_MESSAGE)], "/a": [(503, {}), (202, b"")]},
        ExitCode.DONE,
        "1-new",
    ),
    (
        "dead again 1-a --at @ --front @",
        {"/-/Foreman.Dead/1-a": [(200, DEAD_MESSAGE)], "/a": [(504, {})]},
        ExitCode.UNKNOWN,
        "may",
    ),
    (
        "dead again 1-a --at @ --front @",
        {"/-/Foreman.Dead/1-a": [(200, DEAD_MESSAGE)]},
        ExitCode.REJECTED,
        "404",
    ),
    ("check deploy DEPLOY", {}, ExitCode.DONE, "well formed"),
    ("check settings none.yaml", {}, ExitCode.BAD_INPUT, "file:"),
]


@pytest.mark.parametrize(("arguments", "answers", "code", "expected_output"), COMMAND_CASES)
def test_a_command_exits_by_its_outcome(
    control: FakeControlNode,
    tmp_path: Path,
    arguments: str,
    answers: dict[str, Any],
    code: int,
    expected_output: str,
) -> None:
    bad = {**NEW_CONFIG, "routeTable": [{**NEW_CONFIG["routeTable"][0], "targetService": "none"}]}
    for name, data in (("NEW", NEW_CONFIG), ("BAD", bad)):
        (tmp_path / name).write_text(json.dumps(data))
    files = {
        "NEW": str(tmp_path / "NEW"),
        "BAD": str(tmp_path / "BAD"),
        "DEPLOY": str(ROOT / "deploy/system.toml"),
    }
    control.answers = {path: list(it) for path, it in answers.items()}
    result = control.admin(*(files.get(it, it) for it in arguments.split()))
    assert (result.exit_code, expected_output in result.output) == (code, True), result.output


def test_exit_codes_are_those_of_the_operators_page() -> None:
    assert [(code.name, code.value) for code in ExitCode] == [
        ("DONE", 0),
        ("REJECTED", 1),
        ("BAD_INPUT", 2),
        ("UNKNOWN", 3),
    ]


def test_a_configuration_push_is_retried_unchanged(control: FakeControlNode, tmp_path: Path) -> None:
    (tmp_path / "c").write_text(json.dumps(NEW_CONFIG))
    control.answers = {READ_PATH: [(200, initial_config())], REPLACE_PATH: [(503, {}), (503, {}), (200, {})]}
    assert control.admin("config", "push", str(tmp_path / "c"), "--at", "@").exit_code == ExitCode.DONE
    pushed = [
        (headers["amberlug-base-version"], body)
        for _, path, headers, body in control.requests
        if path == REPLACE_PATH
    ]
    assert pushed == [("1", json.dumps(NEW_CONFIG).encode())] * 3


def test_a_dead_message_is_resubmitted_unchanged_with_a_new_attempt_id(control: FakeControlNode) -> None:
    control.answers = {"/-/Foreman.Dead/1-a": [(200, DEAD_MESSAGE)], "/a": [(202, b"")]}
    for _ in range(2):
        control.admin("dead", "again", "1-a", "--at", "@", "--front", "@")
    (_, _, first, body), (_, _, second, _) = [it for it in control.requests if it[1] == "/a"]
    assert (first["host"], first["x-a"], body) == ("h", "b", b"abc")
    assert first["amberlug-attempt-id"] != second["amberlug-attempt-id"]


# -- files

ROLE_SETTINGS = 'run = "python3 -m amberlug.cluster run"\nshare = 1.0\n'
STORAGE_ROLE = f'[roles.s]\n{ROLE_SETTINGS}on = "storage"\nserves = ["storage"]\n'
CONTROL_ROLE = f'[roles.c]\n{ROLE_SETTINGS}on = "core"\nserves = ["control_plane"]\n'
EDGE_ROLE = f'[roles.e]\n{ROLE_SETTINGS}on = "edge"\nserves = ["edge"]\n'
DEPLOY_FILE_CASES = [
    (STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE, []),
    ('packages = ["python3", "libstdc++6"]\n' + STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE, []),
    ('packages = ["python3 pip"]\n' + STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE, ["packages.0"]),
    ("roles = 3", ["roles"]),
    ("[roles", ["file"]),
    (STORAGE_ROLE + CONTROL_ROLE, ["roles: none serves edge"]),
    (STORAGE_ROLE.replace('on = "storage"', 'on = "core"') + CONTROL_ROLE + EDGE_ROLE, ["roles.s.serves"]),
    (STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE.replace("1.0", "1.5"), ["roles.e.share"]),
    (STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE + "count = 2\n", ["roles.e: takes one"]),
    (STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE + "shares = 2\n", ["roles.e.shares"]),
    (STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE.replace("python3", "env A=1 python3"), ["roles.e.run"]),
    (
        STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE.replace("amberlug.cluster run", "amberlug.cluster run | cat"),
        ["roles.e.run"],
    ),
    (
        STORAGE_ROLE + CONTROL_ROLE + EDGE_ROLE + EDGE_ROLE.replace("roles.e", "roles.f"),
        ["roles: 2 on the class edge"],
    ),
]


@pytest.mark.parametrize(("text", "paths"), DEPLOY_FILE_CASES)
def test_errors_of_a_deploy_file_name_their_paths(tmp_path: Path, text: str, paths: list[str]) -> None:
    (tmp_path / "d.toml").write_text(text)
    errors = check_deploy(tmp_path / "d.toml")
    assert len(errors) == len(paths), errors
    assert all(error.startswith(error_path) for error, error_path in zip(errors, paths, strict=True)), errors


SETTINGS_FILE_CASES: list[tuple[str, Json, list[str]]] = [
    ("edge-1", {}, []),
    ("core-1", {}, []),
    ("core-1", {"dataDir": None}, ["dataDir"]),
    ("storage-1", {"dataDir": None, "seedNodes": []}, ["seedNodes", "dataDir"]),
    ("edge-1", {"bindings": {}}, ["bindings.front", "bindings.readiness"]),
    ("edge-1", {"serves": ["edge", "storage"], "dataDir": "x"}, ["serves"]),
    ("edge-1", {"serves": ["edges"]}, ["serves: 'edges'", "serves: one"]),
    ("edge-1", {"internalPorts": [7], "zone": 3}, ["zone", "internalPorts"]),
]


@pytest.mark.parametrize(("name", "change", "paths"), SETTINGS_FILE_CASES)
def test_errors_of_a_settings_file_name_their_paths(
    tmp_path: Path, name: str, change: Json, paths: list[str]
) -> None:
    deployment = Deployment(tmp_path, "127.0.1")
    deployment.write_settings(first_start=True)
    path = deployment.machines[name].settings_path
    path.write_text(yaml.safe_dump({**yaml.safe_load(path.read_text()), **change}))
    errors = check_settings(path)
    assert len(errors) == len(paths), errors
    assert all(any(error.startswith(error_path) for error in errors) for error_path in paths), errors


def test_differences_name_the_changed_fields() -> None:
    old, new = initial_config(), initial_config()
    new["routeTable"][0]["expiryMs"] = 9
    new["routeTable"][1]["name"] = "other"
    del new["limits"]["idleTimerMs"]
    assert differences(old, new) == [
        "- routeTable to-clear",
        "+ routeTable other",
        "~ routeTable to-weigh: expiryMs 1500 -> 9",
        "~ limits: idleTimerMs 15000 -> none",
    ]


# -- a trial

weigh_run = partial(Run, service="weigh", target="/weigh/1")
FIRST_MESSAGE = SentMessage("k", False, 1.0, "a", "1-a", 1.1, condition="completed", receipt="z")
SECOND_MESSAGE = SentMessage("k", False, 1.2, "b", "1-b", 1.3, condition="completed", receipt="y")
RUNS = [weigh_run("a", "k", 1.1, 1.2, 200, "z"), weigh_run("b", "k", 1.3, 1.4, 200, "y")]
REPORT_CASES: list[tuple[list[SentMessage], list[Run], list[str]]] = [
    ([FIRST_MESSAGE, SECOND_MESSAGE], RUNS, []),
    ([], [], ["no message"]),
    ([SentMessage("", False, 1.0, "a", "1-a", 1.1)], [], ["1-a: accepted, but pending"]),
    ([FIRST_MESSAGE], [weigh_run("a", "k", 1.1, 1.2, 200, "other")], ["1-a: completed with the seal"]),
    (
        [SentMessage("", True, 1.0, "a", "1-a", 1.1, condition="failed")],
        [weigh_run("a", "", 1.1, 1.2, 422)],
        [],
    ),
    ([SentMessage("", True, 1.0, "a", "1-a", 1.1, condition="failed")], [], ["1-a: unprocessable, but"]),
    (
        [FIRST_MESSAGE],
        [weigh_run("a", "k", 1.1, 1.2, 200, "z", service="clear")],
        ["a: /weigh/1 ran at clear"],
    ),
    (
        [FIRST_MESSAGE, SECOND_MESSAGE],
        [weigh_run("a", "k", 1.1, 1.35, 200, "z"), RUNS[1]],
        ["1-b: began before 1-a"],
    ),
]


@pytest.mark.parametrize(("sent", "runs", "wrong"), REPORT_CASES)
def test_a_trial_reports_broken_guarantees(
    sent: list[SentMessage], runs: list[Run], wrong: list[str]
) -> None:
    failures = TrialReport(sent, runs).all_failures()
    assert [it.startswith(start) for it, start in zip(failures, wrong, strict=True)] == [True] * len(wrong)


def test_a_local_deployment_keeps_accepted_messages(tmp_path: Path) -> None:
    rng = random.Random()
    net = f"127.{rng.randrange(2, 255)}.{rng.randrange(1, 255)}"
    lines: list[str] = []

    async def run_trial() -> TrialReport:
        deployment = Deployment(tmp_path, net)
        return await Trial(deployment, TrialLoad(20.0, 3.0), rng, lines.append).run()

    report = asyncio.run(run_trial())
    assert report.figures()["wrong"] == []
    assert len(report.accepted()) > 20
    assert sum("is killed" in it for it in lines) == 2
