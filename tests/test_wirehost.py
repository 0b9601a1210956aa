"""The simulator adapter as a process: exchanges, several processes, and malformed input."""

import json
import subprocess
import sys

import pytest

from tests.conftest import setup

PLACE = "Locality=north Model=plain Destination=5"
ENTRY = f"ENDPOINT Endpoint=10.0.0.1:7001 {PLACE} Availability=IN CapacityHint=1"


def enlist(relay: int) -> list[str]:
    return [
        f"ENLIST Relay={relay} RandomSeed=7 Setup={json.dumps(setup(Unknown=1))}",
        "LEDGER RosterId=0 Hosts=1",
        ENTRY,
        f"ENDPOINTS Relay={relay} Kind=stale_copy Revision=1 RosterId=0",
    ]


def request(relay: int, ref: int) -> str:
    return f"NEW_REQUEST Relay={relay} Ref={ref} LeftUs=9000000 Dest=5 Profile=unsafe EffortUs=3"


def exchange(relays: list[int]) -> list[list[str]]:
    """Three batches for these relays: start, messages, answers."""
    answer = "RoundNo=0 Ended=0 TookUs=9 Endpoint=10.0.0.1:7001 StateCode=busy Note=20"
    return [
        [line for relay in relays for line in enlist(relay)],
        [request(relay, 10 * relay + number) for relay in relays for number in range(3)],
        [f"REPORT_BACK Relay={relay} Ref={10 * relay} {answer}" for relay in relays],
    ]


def run(batches: list[list[str]]) -> subprocess.CompletedProcess[str]:
    lines: list[str] = []
    for number, batch in enumerate(batches):
        lines += [f"MARK SimTimeUs={1000 + number * 5000}", *batch, "EOB"]
    command = [sys.executable, "-m", "amberlug.policy.wirehost"]
    return subprocess.run(command, input="\n".join(lines) + "\n", capture_output=True, text=True, timeout=60)


def actions(output: str, relay: int) -> list[str]:
    return [line for line in output.splitlines() if f" Relay={relay}" in line or line == "END"]


def test_scripted_exchange() -> None:
    done = run(exchange([3]))
    assert (done.returncode, done.stderr) == (0, "")
    replies = done.stdout.split("END\n")
    assert len(replies) == 4
    # An attempt is abandoned 150 ms before its message's deadline.
    assert "HAND_OFF Relay=3 Ref=30 Endpoint=10.0.0.1:7001 TryUntilUs=8856000" in replies[1]
    assert "HAND_OFF" not in replies[2]
    assert "SLEEP Relay=3" in replies[2]


def test_one_process_and_several_act_alike() -> None:
    together = run(exchange([1, 2, 3])).stdout
    for relay in (1, 2, 3):
        alone = run(exchange([relay])).stdout
        assert actions(alone, relay) == actions(together, relay)
        assert len(actions(alone, relay)) > 6


def test_a_restarted_relay_knows_nothing() -> None:
    done = run([*exchange([1])[:2], ["RETIRE Relay=1", *enlist(1)], [request(1, 77)]])
    assert done.returncode == 0
    assert "HAND_OFF Relay=1 Ref=77" in done.stdout


def test_lists_resolve_in_event_order() -> None:
    again = ["LEDGER RosterId=0 Hosts=0", "ENDPOINTS Relay=1 Kind=whole Revision=2 RosterId=0"]
    done = run([[*enlist(1), *again], [request(1, 5)]])
    assert done.returncode == 0
    assert "HAND_OFF" not in done.stdout


def test_an_exception_in_a_sender_is_a_panic() -> None:
    done = run([enlist(1), [request(1, 5), request(1, 5)]])
    assert "PANIC Relay=1 What=ValueError: message 5 was taken before" in done.stdout


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("NONSENSE Relay=1", "the event is not known"),
        ("FIRED Relay=9 Label=1", "relay 9 has not been started"),
        ("FIRED Relay=1", "field Label is missing"),
        ("FIRED Relay=1 Label=x", "field Label is not a whole number"),
        ("FIRED Relay", "not a name=value pair"),
        ("ENDPOINTS Relay=1 Kind=whole Revision=2 RosterId=9", "list 9 has not been sent"),
        ("REPORT_BACK Relay=1 Ref=1 Endpoint=a StateCode=lost", "field StateCode is not known"),
        ("ENLIST Relay=1 RandomSeed=7 Setup={", "field Setup is not JSON"),
        ("ENLIST Relay=1 RandomSeed=7 Setup={}", "setting Kinds is missing"),
    ],
)
def test_malformed_input_gets_one_plain_message(line: str, message: str) -> None:
    done = run([enlist(1), [line]])
    assert done.returncode == 2
    assert message in done.stderr
    assert "line 8" in done.stderr
    assert done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("path", "value"),
    [("FamilyInfo__Slots", 0), ("Bounds__MaxOpen", 1.5), ("Rules__ColdShare", 2), ("RegistryMode", "pull")],
)
def test_a_setting_out_of_range_is_named(path: str, value: object) -> None:
    bad = json.dumps(setup(**{path: value}))
    done = run([[f"ENLIST Relay=1 RandomSeed=7 Setup={bad}"]])
    assert done.returncode == 2
    assert f"setting {path.replace('__', '.')}" in done.stderr
