"""Lifecycle of destinations: list updates, creation at the first message, and eviction when idle.

Only list updates and destinations in use take time. An idle destination is a row of `membership.py` and at
most a short summary made by `folding.py`.
"""

from collections import deque

from amberlug.policy import folding
from amberlug.policy import interface as api
from amberlug.policy.account import HISTORY_SIZE, Account
from amberlug.policy.interface import ListKind, State
from amberlug.policy.state import Destination, Endpoint, Message, Records


def elsewhere(was: api.Entry, entry: api.Entry) -> bool:
    """Whether an endpoint is now listed for another destination or kind: it is treated as a new endpoint."""
    return (was.destination, was.kind) != (entry.destination, entry.kind)


class Awake(Records):
    """State of one relay, with destinations created on demand and evicted when idle."""

    def __init__(self, settings: api.Settings) -> None:
        super().__init__(shares=dict.fromkeys(settings.tenants, 0))
        self.settings, self.quiet_us = settings, folding.quiet_us(settings)
        self.crowd, self.initial_idle_keep_us = (
            folding.crowd(settings),
            folding.initial_idle_keep_us(settings),
        )

    def relist(self, event: api.Listed) -> list[Message]:
        """Apply a list update; returns the messages whose destination has no endpoint any more."""
        for entry in event.entries:  # evicted destinations are restored, to be updated as the others are
            if entry.destination in self.folded:
                self.awaken(entry.destination)
        left = self.unlist(event)  # draining: no new calls from the moment this relay learns of it
        altered = [self.destinations[number] for number in left if number in self.destinations]
        for entry in (entry for entry in event.entries if entry.state is State.IN):
            self.members.put(entry)
            if entry.destination in self.destinations:
                altered.append(self.destinations[entry.destination])
                self.enlist(altered[-1], entry)
        for to in altered:
            self.take_rates(to)
        ended: list[Message] = []
        for number in left:
            if number in self.destinations and not self.members.serves(number):
                ended += self.close(self.destinations[number])
        return ended

    def unlist(self, news: api.Listed) -> dict[int, None]:
        """Remove endpoints that drain, are gone or have moved; returns the destinations they served."""
        told, left = {entry.endpoint: entry for entry in news.entries}, dict[int, None]()
        names = told if news.kind is ListKind.PATCH else [*self.members, *told]
        for name in dict.fromkeys(names):
            entry, was = told.get(name), self.members.get(name)
            if was is not None and (entry is None or entry.state is State.GONE or elsewhere(was, entry)):
                if was.destination in self.folded:
                    self.awaken(was.destination)
                self.members.remove(name)
                self.leave(name)
                left[was.destination] = None
            if entry is not None and entry.state is State.DRAINING:
                self.members.put(entry)
                self.leave(name)
                left[entry.destination] = None
        return left

    def enlist(self, to: Destination, entry: api.Entry) -> None:
        """Add or update a listed endpoint at a destination in use."""
        name = entry.endpoint
        for it in to.accounts.values() if to.gone else ():  # calls in flight reported about removed ones
            folding.start_afresh(it)
        where = name if self.settings.kinds[entry.kind].apart else ""
        account = to.accounts.get(where) or Account(self.settings, self.listed_rate(entry))
        to.accounts[where] = account
        if name not in self.endpoints:
            made = Endpoint(
                entry,
                account,
                deque(maxlen=HISTORY_SIZE),
                idle_keep_us=0 if entry.kind in self.small_table_kinds else self.initial_idle_keep_us,
            )
            to.endpoints[name] = self.endpoints[name] = made
        self.endpoints[name].entry, to.gone = entry, False
        self.touched[to] = None

    def listed_rate(self, entry: api.Entry) -> float | None:
        return entry.rate if self.settings.rates_listed and entry.rate > 0 else None

    def take_rates(self, to: Destination) -> None:
        """Set each account's rate from the list; if its endpoints' rates differ, the first one applies."""
        told: dict[Account, float | None] = {}
        for it in to.endpoints.values():
            told.setdefault(it.account, self.listed_rate(it.entry))
        for account, rate in told.items():
            if rate != account.listed:
                account.listed = rate
                account.set_rate(rate)

    def close(self, to: Destination) -> list[Message]:
        """Schedule removal of a destination no longer listed; returns its queued messages, to be ended."""
        to.gone, to.look_us = True, self.now
        self.looks.appendleft((to.look_us, to.number))
        for account in to.accounts.values():
            folding.start_afresh(account)
        return list(to.waiting.values())

    def awaken(self, number: int) -> Destination:
        """Return a destination; if not in memory, create it from the list and its summary, if any."""
        if (to := self.destinations.get(number)) is None:
            to = self.destinations[number] = Destination(number, used_us=self.now)
            for entry in self.members.at(number):
                if entry.state is State.IN:
                    self.enlist(to, entry)
            self.take_rates(to)
            if (kept := self.folded.pop(number, None)) is not None:
                folding.unfold(to, kept[1], self.settings)
            self.look_later(to)
        return to

    def look_later(self, to: Destination) -> None:
        to.look_us = self.now + self.quiet_us
        self.looks.append((to.look_us, to.number))

    def fold_some(self) -> None:
        """Evict idle destinations and discard outdated summaries; a few in each step."""
        for _ in range(folding.LOOKS):
            if not self.looks or self.looks[0][0] > self.now:
                break
            at_us, number = self.looks.popleft()
            to = self.destinations.get(number)
            if to is not None and to.look_us == at_us:
                self.fold(to)
        for _ in range(folding.LOOKS):
            if not self.folded_looks or self.folded_looks[0][0] > self.now:
                break
            at_us, number = self.folded_looks.popleft()
            if number in self.folded and self.folded[number][0] == at_us:
                self.forget_folded(number)

    def fold(self, to: Destination) -> None:
        if folding.may_fold(to, self.now, self.settings):
            self.put_away(to, b"" if to.gone else folding.fold(to, self.now, self.settings))
        else:
            self.look_later(to)

    def put_away(self, to: Destination, kept: bytes) -> None:
        """Remove a destination from memory and store its summary, if not empty."""
        del self.destinations[to.number]
        for name in to.endpoints:
            del self.endpoints[name]
        if kept:
            self.folded[to.number] = self.now + folding.FORGET_US, kept
            self.folded_looks.append((self.now + folding.FORGET_US, to.number))

    def forget_folded(self, number: int) -> None:
        """Discard the summary of a destination if the next message would reset all of it as outdated."""
        kept, to = self.folded[number][1], self.awaken(number)
        folding.forget(to, self.now)
        self.put_away(to, kept if folding.fold(to, self.now, self.settings) else b"")
