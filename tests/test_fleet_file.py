"""The fleet file, link frames, placement of holders, and merging of records."""

from __future__ import annotations

import tomllib
from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amberlug.cli.main import main
from amberlug.copies.placement import ensemble
from amberlug.copies.states import Kind, MessageState, decode_state
from amberlug.peers import fleet
from amberlug.peers.frames import (
    BadFrameError,
    FrameDecoder,
    FrameEncoder,
    FrameKind,
    derive_key,
    negotiate_version,
)
from amberlug.peers.identity import incarnation
from tests.rig import ROOT

SAMPLE = ROOT / "deploy" / "fleet.example.toml"


def test_the_example_file_is_valid(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(SAMPLE.read_text(encoding="utf-8"), encoding="utf-8")
    (tmp_path / "fleet.key").write_bytes(b"k" * 32)
    assert main(["check", str(path)]) == 0
    assert "no problems" in capsys.readouterr().out
    read = fleet.load(path)
    assert (read.copies_of("fee-payment"), read.copies_of("other")) == (2, 1)
    assert read.own.machine == "rack-1"


@pytest.mark.parametrize(
    ("change", "where"),
    [
        ('name = "n9"', "name"),
        ("copies = 3", "copies"),
        ("copies = true", "copies"),
        ("bound_ms = 5000", "bound_ms"),
        ('when_short = "maybe"', "when_short"),
        ('key_file = "none"', "key_file"),
        ("colour = 1", "colour"),
        ('listen = "here"', "listen"),
        ("classes = { a = 99 }", "classes.a"),
        ("suspect_s = 'x'", "suspect_s"),
    ],
)
def test_each_error_is_reported_with_its_place(tmp_path: Path, change: str, where: str) -> None:
    key = change.partition("=")[0].strip()
    whole = SAMPLE.read_text(encoding="utf-8").splitlines()
    lines = [it for it in whole if it.partition("=")[0].strip() != key]
    text = "\n".join([change, *lines])
    if key == "classes":
        text = text.replace("[classes]", "").replace("fee-payment = 2", "")
    if key == "name":  # only the relay's own name: members have names, too
        text = SAMPLE.read_text(encoding="utf-8").replace('name = "n0"', change, 1)
    (tmp_path / "fleet.key").write_bytes(b"k" * 32)
    read, problems = fleet.read(tomllib.loads(text), tmp_path)
    assert read is None
    assert where in [it.where for it in problems]


def test_duplicate_missing_and_malformed_members_are_reported(tmp_path: Path) -> None:
    one = {"name": "a", "address": "127.0.0.1:1"}
    for members in (
        [],
        "x",
        [one, one],
        [{"name": "a b", "address": "127.0.0.1:1"}],
        [one, 3],
        [{"name": "a"}],
    ):
        read, problems = fleet.read({"name": "a", "copies": 0, "member": members}, tmp_path)
        assert read is None, members
        assert problems


def test_a_folder_keeps_its_incarnation_and_an_empty_one_gets_another(tmp_path: Path) -> None:
    one, other = tmp_path / "a", tmp_path / "b"
    one.mkdir()
    other.mkdir()
    assert incarnation(one) == incarnation(one) != incarnation(other)
    (one / "incarnation").write_text("spoilt")
    with pytest.raises(ValueError, match="malformed incarnation"):
        incarnation(one)


KEY = derive_key(b"k" * 32, b"both")
CONTENT = [1, "two", [b"three", None, 4.5, {"five": True}]]


def test_frames_are_decoded_from_any_chunks() -> None:
    encoder = FrameEncoder(KEY)
    data = encoder.encode(FrameKind.MESSAGES, CONTENT) + encoder.encode(FrameKind.MESSAGES, [2])
    for cut in range(len(data) + 1):
        decoder = FrameDecoder(KEY)
        decoder.feed(data[:cut])
        found = list(decoder.frames())
        decoder.feed(data[cut:])
        found += decoder.frames()
        assert found == [(FrameKind.MESSAGES, CONTENT), (FrameKind.MESSAGES, [2])]


@given(st.integers(0, 10**6), st.integers(1, 255))
def test_a_changed_byte_is_rejected_or_leaves_the_frame_incomplete(at: int, by: int) -> None:
    data = bytearray(FrameEncoder(KEY).encode(FrameKind.MESSAGES, CONTENT))
    data[at % len(data)] ^= by
    decoder = FrameDecoder(KEY)
    decoder.feed(bytes(data))
    with suppress(BadFrameError):
        # With a greater length the frame stays incomplete: no tag fits later data.
        assert list(decoder.frames()) == []


@given(st.binary(max_size=400))
def test_random_bytes_are_never_a_frame(data: bytes) -> None:
    decoder = FrameDecoder(KEY)
    decoder.feed(data)
    with suppress(BadFrameError):
        assert list(decoder.frames()) == []


def test_replayed_frames_and_frames_of_another_key_are_rejected() -> None:
    encoder = FrameEncoder(KEY)
    first, second = encoder.encode(FrameKind.MESSAGES, [1]), encoder.encode(FrameKind.MESSAGES, [2])
    for key, data in (
        (KEY, second),
        (KEY, first + first),
        (derive_key(b"k" * 32, b"other"), first),
    ):
        decoder = FrameDecoder(key)
        decoder.feed(data)
        with pytest.raises(BadFrameError, match="authentication tag"):
            list(decoder.frames())
    with pytest.raises(ValueError, match="a frame of"):
        encoder.encode(FrameKind.MESSAGES, [b"x" * (1 << 21)])


def test_the_newest_common_version_is_chosen() -> None:
    assert negotiate_version([1, 9]) == 1
    with pytest.raises(BadFrameError):
        negotiate_version([2, 9])


def member(number: int, machines: int, zones: int) -> fleet.Member:
    return fleet.Member(f"n{number}", ("127.0.0.1", 1), f"m{number % machines}", f"z{number % zones}")


@given(st.integers(3, 40), st.integers(1, 40), st.integers(1, 4), st.integers(1, 2), st.randoms())
def test_holders_are_on_distinct_machines_and_in_other_zones_first(
    count: int, machines: int, zones: int, need: int, chance: object
) -> None:
    members = [member(number, machines, zones) for number in range(count)]
    own, names = members[0], {it.name for it in members}
    chosen = ensemble(own.name, own, members, names, names, need)
    placed = [it for it in members if it.name in chosen]
    others = {it.machine for it in members} - {own.machine}
    assert len(chosen) == (
        fleet.HOLDERS_PER_COPY * need if len(others) >= fleet.HOLDERS_PER_COPY * need else 0
    )
    assert len({it.machine for it in placed} | {own.machine}) == len(placed) + 1
    if chosen and any(it.zone != own.zone and it.machine != own.machine for it in members):
        assert any(it.zone != own.zone for it in placed)
    # Independent of the order of members; an unreachable relay comes last.
    assert chosen == ensemble(own.name, own, members[::-1], names, names, need)
    if len(others) > fleet.HOLDERS_PER_COPY * need and chosen:
        spare = [it for it in members if it.machine not in {own.machine, placed[0].machine}]
        if len({it.machine for it in spare}) >= fleet.HOLDERS_PER_COPY * need:
            assert placed[0].name not in ensemble(
                own.name, own, members, names - {placed[0].name}, names, need
            )


RECORDS = [
    (Kind.TAKEN, ["payment", None, 1, None, b"x", 9, 1]),
    (Kind.ATTEMPT, [0, 5, "e"]),
    (Kind.ATTEMPT, [1, 6, "f"]),
    (Kind.OUTCOME, [0, "refused"]),
    (Kind.REPLY, [1, True, b"here"]),
    (Kind.OWED, ["given_up", 0]),
    (Kind.ENDED, [99]),
]
BALLOTS = [(0, "a", "1"), (1, "b", "1"), (2, "a", "2")]


@given(st.lists(st.tuples(st.sampled_from(RECORDS), st.sampled_from(BALLOTS[:1])), max_size=9), st.randoms())
def test_records_of_an_owner_merge_in_any_order_and_any_number_of_times(
    records: list[tuple[tuple[Kind, list[object]], tuple[int, str, str]]], chance: object
) -> None:
    one, other = MessageState(), MessageState()
    for (kind, record), ballot in records:
        one.add(kind, ballot, list(record))
    for (kind, record), ballot in [*reversed(records), *records]:
        other.add(kind, ballot, list(record))
    assert one.encoded() == other.encoded() == decode_state(one.encoded()).encoded()


@pytest.mark.parametrize(
    "encoded", [None, [], [1, 2], ["x"] * 6, [[0, "a", "b"], [1], [], [0, True, b""], 3, None]]
)
def test_a_malformed_state_is_an_error(encoded: object) -> None:
    with pytest.raises(ValueError):  # noqa: PT011 - the message depends on the input
        decode_state(encoded)  # type: ignore[arg-type]
