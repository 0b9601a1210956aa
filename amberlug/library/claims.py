"""Which relay of this process is responsible for a message, so that no two attempt the same payment.

No I/O and no clock: callers pass the current time. A message is identified by its id, and by its key within
its class.
"""

from __future__ import annotations

import os
import threading
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from dataclasses import dataclass

from amberlug.core.messages import End, Message, Outcome
from amberlug.library.taken import Taken

Owner = Hashable  # identifies a state folder, whichever relay has it open


@dataclass(slots=True, eq=False)
class Claim:
    """The claim to one message; `taken` is None while the message is being submitted."""

    owner: Owner
    message: Message
    taken: Taken | None = None
    submissions: int = 0  # number of pending submissions that share the claim


def _keys(message: Message) -> Iterator[Hashable]:
    yield message.name
    if message.key is not None:
        yield message.message_class, message.key


class Claims:
    """All claims of the process; thread-safe.

    A refusal or a hand-back releases the claim, because the message may safely be retried. After a delivery,
    or when the message was given up, the claim is kept until the message's deadline. The same holds when the
    relay closes, because the message is resumed when its folder is opened again.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_key: dict[Hashable, Claim] = {}
        # In the order in which they are checked for expiry.
        self._all: OrderedDict[Claim, None] = OrderedDict()

    def clear(self) -> None:
        """Drop all claims in the child of a fork: the parent's messages are not the child's."""
        self._lock = threading.Lock()
        self._by_key.clear()
        self._all.clear()

    def __len__(self) -> int:
        return len(self._all)

    def find(self, message: Message, now_ms: int) -> Claim | None:
        """The current claim to this message, by its id or its key."""
        with self._lock:
            return self._find(message, now_ms)

    def claim(self, message: Message, owner: Owner, now_ms: int) -> Claim | None:
        """Claim a message for a submission; None if another owner holds the claim.

        Concurrent submissions of the same message share a claim. A claim left by a closed relay passes to the
        next relay on the same folder.
        """
        with self._lock:
            self._drop_some_expired(now_ms)
            held = self._find(message, now_ms)
            if held is not None and not (held.owner == owner and held.message.name == message.name):
                return None
            if held is not None and held.taken is None:
                held.submissions += 1
                return held
            if held is not None:
                self._drop(held)
            claim = Claim(owner, message, submissions=1)
            for name in _keys(message):
                self._by_key[name] = claim
            self._all[claim] = None
            return claim

    def settle(self, claim: Claim, taken: Taken | None) -> None:
        """Record whether the message was accepted."""
        with self._lock:
            claim.taken = taken
            if taken is None:
                self._drop(claim)

    def withdraw(self, claim: Claim) -> None:
        """Record that one of the pending submissions was withdrawn before the message was accepted."""
        with self._lock:
            claim.submissions -= 1
            if claim.submissions == 0 and claim.taken is None:
                self._drop(claim)

    def ended(self, owner: Owner, end: End) -> None:
        """Record the outcome of a message; after a hand-back any relay may claim it."""
        with self._lock:
            claim = self._by_key.get(end.message)
            if claim is not None and claim.owner == owner and end.outcome is Outcome.HANDED_BACK:
                self._drop(claim)

    def _find(self, message: Message, now_ms: int) -> Claim | None:
        for name in _keys(message):
            claim = self._by_key.get(name)
            if claim is not None and not self._is_expired(claim, now_ms):
                return claim
        return None

    def _is_expired(self, claim: Claim, now_ms: int) -> bool:
        """Whether a claim has expired.

        It never does while the message is being submitted, or has no outcome and its relay is open.
        """
        live = claim.taken is not None and claim.taken.ended is None and not claim.taken.closed
        return claim.taken is not None and not live and claim.message.deadline_ms <= now_ms

    def _drop_some_expired(self, now_ms: int) -> None:
        """Check two claims for expiry. Each new claim adds one, so expired ones do not accumulate."""
        for _ in range(min(2, len(self._all))):
            claim, _ = self._all.popitem(last=False)
            self._all[claim] = None
            if self._is_expired(claim, now_ms):
                self._drop(claim)

    def _drop(self, claim: Claim) -> None:
        self._all.pop(claim, None)
        for name in _keys(claim.message):
            if self._by_key.get(name) is claim:
                del self._by_key[name]


CLAIMS = Claims()
os.register_at_fork(after_in_child=CLAIMS.clear)
