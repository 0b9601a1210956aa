"""The checker reports each broken rule in recorded traffic, and nothing if all rules are kept."""

import pytest

from amberlug.standin.checker import Checker, Execution, MessageRecord, Repeat


def checker(repeat: Repeat = Repeat.UNSAFE, taken: float | None = 0.01) -> Checker:
    it = Checker()
    it.handed_in(MessageRecord("m", 1, repeat, key_life=5.0, handed_in=0.0, until=8.0))
    if taken is not None:
        it.taken("m", taken)
    return it


def call(it: Checker, began: float, ended: float | None, ran: Execution, endpoint: str = "e") -> None:
    made = it.began("m", endpoint, began)
    assert made is not None
    if ended is not None:
        it.ended(made, ended, ran, delivered=ran is Execution.YES)


def test_what_keeps_the_rules_is_passed() -> None:
    it = checker()
    call(it, 0.1, 0.2, Execution.NEVER)
    call(it, 0.3, 0.4, Execution.YES)
    assert it.finish(100.0) == []


def test_a_refused_message_owes_nothing() -> None:
    assert checker(taken=None).finish(100.0) == []


@pytest.mark.parametrize(
    ("repeat", "ran", "again", "said"),
    [
        (Repeat.UNSAFE, Execution.MAY, 1.0, ["m: sent again, though it may have run"]),
        (Repeat.UNSAFE, Execution.NEVER, 1.0, []),
        (Repeat.KEYED, Execution.MAY, 4.0, []),
        (Repeat.KEYED, Execution.MAY, 5.2, ["m: sent again after its key's life"]),
        (Repeat.KEYED, Execution.NEVER, 5.2, []),
        (Repeat.SAFE, Execution.MAY, 7.0, []),
    ],
)
def test_repeats(repeat: Repeat, ran: Execution, again: float, said: list[str]) -> None:
    it = checker(repeat)
    call(it, 0.1, 0.2, ran)
    call(it, again, again + 0.1, Execution.YES)
    assert it.finish(100.0) == said


def test_two_copies_at_once() -> None:
    it = checker(Repeat.SAFE)
    call(it, 0.1, None, Execution.MAY)
    call(it, 0.2, 0.3, Execution.YES)
    assert it.finish(100.0) == ["m: a second copy while a call is out"]


def test_an_unsafe_message_that_was_delivered_is_not_sent_again() -> None:
    it = checker()
    call(it, 0.1, 0.2, Execution.YES)
    call(it, 0.3, 0.4, Execution.NEVER)
    assert "m: sent again, though it was delivered" in it.finish(100.0)


@pytest.mark.parametrize(("at", "lost"), [(None, True), (8.2, False), (8.4, True)])
def test_an_end_that_comes_late_or_never_is_a_loss(at: float | None, lost: bool) -> None:
    it = checker()
    if at is not None:
        it.outcome_reported("m", "given_up", at)
    assert it.finish(100.0) == (["m: lost, with 0 calls"] if lost else [])
    assert it.finish(8.3) == []


def test_ends_that_contradict_each_other() -> None:
    it = checker()
    it.outcome_reported("m", "given_up", 1.0)
    it.outcome_reported("m", "given_up", 1.1)  # a repeated report is allowed
    assert it.finish(100.0) == []
    it.outcome_reported("m", "handed_back", 1.2)
    assert it.finish(100.0) == ["m: told given_up, then handed_back"]


def test_an_end_though_it_was_delivered_and_a_refusal_though_it_may_have_run() -> None:
    it = checker()
    call(it, 0.1, 0.2, Execution.MAY)
    it.outcome_reported("m", "handed_back", 1.0)
    assert it.finish(100.0) == ["m: handed back, though it may have run"]
    other = checker()
    call(other, 0.1, 0.2, Execution.YES)
    other.outcome_reported("m", "given_up", 1.0)
    assert other.finish(100.0) == ["m: told given_up, though it was delivered"]


@pytest.mark.parametrize(("at", "kept"), [(2.9, True), (3.1, False)])
def test_drains(at: float, kept: bool) -> None:
    it = checker()
    it.drained("e", 1.0)
    call(it, at, at + 0.1, Execution.YES)
    assert (it.finish(100.0) == []) is kept


@pytest.mark.parametrize(("at", "kept"), [(1.1, True), (1.2, False), (1.49, False), (1.5, True)])
def test_waits(at: float, kept: bool) -> None:
    it = checker()
    it.retry_delay_sent(1, 1.0, 0.5)
    call(it, at, at + 0.1, Execution.YES)
    assert (it.finish(100.0) == []) is kept


def test_attempts_without_end_and_messages_from_nowhere() -> None:
    it = checker(Repeat.SAFE)
    for count in range(13):
        call(it, count / 10, count / 10 + 0.05, Execution.NEVER if count < 12 else Execution.YES)
    it.began("other", "e", 2.0)
    it.outcome_reported("other", "given_up", 2.1)
    assert [line.partition(":")[0] for line in it.finish(100.0)] == ["m", "other", "other"]
