"""Which relay of this process answers for a message: no two of them may attempt the same payment.

Decisions only: who asks tells the time. A message is known by its id, and by its key within its class.
"""

from __future__ import annotations

import os
import threading
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from dataclasses import dataclass

from amberlug.core.messages import End, Message, Outcome
from amberlug.library.taken import Taken

Owner = Hashable  # a state folder, whichever relay has it open


@dataclass(slots=True, eq=False)
class Claim:
    """One message's claim; `taken` is None while it is being handed in."""

    owner: Owner
    message: Message
    taken: Taken | None = None
    hands: int = 0  # how many are handing it in, and have heard nothing yet


def _names(message: Message) -> Iterator[Hashable]:
    yield message.name
    if message.key is not None:
        yield message.message_class, message.key


class Claims:
    """All claims of the process, from any of its threads.

    A claim ends with a refusal or a hand-back, which tell that trying again does no harm. A delivery or an
    end without a promise keeps it until the message's time is up. So does a relay that closes: the message
    goes on when its folder is opened again.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_name: dict[Hashable, Claim] = {}
        self._all: OrderedDict[Claim, None] = OrderedDict()  # the first to be looked at for its time first

    def clear(self) -> None:
        """Forget all, in the child of a fork: its parent's messages are not its own."""
        self._lock = threading.Lock()
        self._by_name.clear()
        self._all.clear()

    def __len__(self) -> int:
        return len(self._all)

    def holder(self, message: Message, now_ms: int) -> Claim | None:
        """Who has this message now, by its id or its key."""
        with self._lock:
            return self._holder(message, now_ms)

    def claim(self, message: Message, owner: Owner, now_ms: int) -> Claim | None:
        """Claim a message for one who hands it in: the claim, or None where there is another's.

        Several who hand the same one in at once share a claim. One that a closed relay of the same folder
        left passes to the new one.
        """
        with self._lock:
            self._forget_some(now_ms)
            held = self._holder(message, now_ms)
            if held is not None and not (held.owner == owner and held.message.name == message.name):
                return None
            if held is not None and held.taken is None:
                held.hands += 1
                return held
            if held is not None:
                self._drop(held)
            claim = Claim(owner, message, hands=1)
            for name in _names(message):
                self._by_name[name] = claim
            self._all[claim] = None
            return claim

    def settle(self, claim: Claim, taken: Taken | None) -> None:
        """Note that the message was taken on, or not."""
        with self._lock:
            claim.taken = taken
            if taken is None:
                self._drop(claim)

    def withdraw(self, claim: Claim) -> None:
        """Note that one of those who hand it in has left, before the message was taken on."""
        with self._lock:
            claim.hands -= 1
            if claim.hands == 0 and claim.taken is None:
                self._drop(claim)

    def ended(self, owner: Owner, end: End) -> None:
        """Note how a message ended; after a hand-back any relay may try."""
        with self._lock:
            claim = self._by_name.get(end.message)
            if claim is not None and claim.owner == owner and end.outcome is Outcome.HANDED_BACK:
                self._drop(claim)

    def _holder(self, message: Message, now_ms: int) -> Claim | None:
        for name in _names(message):
            claim = self._by_name.get(name)
            if claim is not None and not self._over(claim, now_ms):
                return claim
        return None

    def _over(self, claim: Claim, now_ms: int) -> bool:
        """Whether a claim's time is up: that of a message with no end yet is not, while its relay lives."""
        live = claim.taken is not None and claim.taken.ended is None and not claim.taken.closed
        return claim.taken is not None and not live and claim.message.deadline_ms <= now_ms

    def _forget_some(self, now_ms: int) -> None:
        """Look at two, so that those whose time is up don't pile up: each new one adds one."""
        for _ in range(min(2, len(self._all))):
            claim, _ = self._all.popitem(last=False)
            self._all[claim] = None
            if self._over(claim, now_ms):
                self._drop(claim)

    def _drop(self, claim: Claim) -> None:
        self._all.pop(claim, None)
        for name in _names(claim.message):
            if self._by_name.get(name) is claim:
                del self._by_name[name]


CLAIMS = Claims()
os.register_at_fork(after_in_child=CLAIMS.clear)
