"""Claims to messages: which relay is responsible. No I/O; the tests set the time."""

from amberlug.core.messages import End, Message, Outcome
from amberlug.library.claims import Claims
from amberlug.library.taken import Taken

NOW, UNTIL = 1000, 5000


def message(name: str, key: str | None = None, message_class: str = "fee") -> Message:
    return Message(name, message_class, None, 1, key, b"", UNTIL)


def taken(name: str) -> Taken:
    return Taken(name, lambda name: None)


def test_a_message_is_identified_by_its_id_and_by_its_key_in_its_class() -> None:
    claims = Claims()
    assert claims.claim(message("m1", "k"), "a", NOW) is not None
    assert claims.claim(message("m1"), "b", NOW) is None
    assert claims.claim(message("m2", "k"), "b", NOW) is None
    assert claims.claim(message("m3", "k"), "a", NOW) is None
    assert claims.claim(message("m4", "k", "entry"), "b", NOW) is not None


def test_a_refusal_a_withdrawal_and_a_hand_back_release_the_claim() -> None:
    claims = Claims()
    for _ in range(2):
        claim = claims.claim(message("m1", "k"), "a", NOW)
        assert claim is not None
        claims.settle(claim, None)
    first = claims.claim(message("m1", "k"), "a", NOW)
    assert first is claims.claim(message("m1", "k"), "a", NOW)
    assert first is not None
    claims.withdraw(first)
    assert claims.claim(message("m1"), "b", NOW) is None  # the second submission is still pending
    claims.withdraw(first)
    claim = claims.claim(message("m1"), "b", NOW)
    assert claim is not None
    claims.settle(claim, taken("m1"))
    claims.ended("a", End("m1", Outcome.HANDED_BACK))  # the claim belongs to another relay
    assert claims.find(message("m1"), NOW) is claim
    claims.ended("b", End("m1", Outcome.HANDED_BACK))
    assert (claims.find(message("m1"), NOW), len(claims)) == (None, 0)


def test_a_given_up_message_stays_claimed_until_its_deadline() -> None:
    claims = Claims()
    claim = claims.claim(message("m1"), "a", NOW)
    assert claim is not None
    held = taken("m1")
    claims.settle(claim, held)
    assert claims.find(message("m1"), UNTIL + 1) is claim  # there is no outcome yet
    held.finish(End("m1", Outcome.GIVEN_UP))
    claims.ended("a", End("m1", Outcome.GIVEN_UP))
    assert claims.claim(message("m1"), "b", UNTIL - 1) is None
    assert claims.claim(message("m1"), "b", UNTIL) is not None


def test_claims_of_a_closed_relay_pass_to_the_next_one_on_its_folder() -> None:
    claims = Claims()
    claim = claims.claim(message("m1"), "a", NOW)
    assert claim is not None
    left = taken("m1")
    claims.settle(claim, left)
    left.close()
    assert claims.claim(message("m1"), "b", NOW) is None
    assert claims.claim(message("m1"), "a", NOW) is not None


def test_expired_claims_do_not_accumulate() -> None:
    claims = Claims()
    for number in range(10_000):
        claim = claims.claim(
            Message(f"m{number}", "fee", None, 1, f"k{number}", b"", number + 100), "a", number
        )
        assert claim is not None
        held = taken(f"m{number}")
        claims.settle(claim, held)
        held.finish(End(f"m{number}", Outcome.DELIVERED))
        assert len(claims) <= 250
