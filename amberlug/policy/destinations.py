"""Lifecycle of destinations: list updates, creation at the first message, and eviction when idle.

Apart from a few checks per step, only list updates and destinations in use take time. An evicted destination
has only its endpoints' rows in `membership.py` and at most a short summary made by `eviction.py`.
"""

from collections import deque

from amberlug.policy import eviction
from amberlug.policy import interface as api
from amberlug.policy.account import HISTORY_SIZE, Account
from amberlug.policy.interface import ListKind, State
from amberlug.policy.state import Destination, Endpoint, Message, RelayState


def is_moved(was: api.Entry, entry: api.Entry) -> bool:
    """Whether an endpoint is now listed for another destination or kind: it is treated as a new endpoint."""
    return (was.destination, was.kind) != (entry.destination, entry.kind)


class DestinationManager(RelayState):
    """State of one relay, with destinations created on demand and evicted when idle."""

    def __init__(self, settings: api.Settings) -> None:
        super().__init__(quota_used_until=dict.fromkeys(settings.tenants, 0))
        self.settings, self.idle_before_eviction_us = settings, eviction.idle_before_eviction_us(settings)
        self.relays_per_connection = eviction.relays_per_connection(settings)
        self.initial_idle_keep_us = eviction.initial_idle_keep_us(settings)

    def apply_list(self, event: api.Listed) -> list[Message]:
        """Apply a list update; returns queued messages of destinations without endpoints, even draining."""
        for entry in event.entries:  # evicted destinations are restored, to be updated as the others are
            if entry.destination in self.summaries:
                self.load_destination(entry.destination)
        left = self.remove_endpoints(event)  # no new calls to draining, gone or moved ones
        altered = [self.destinations[number] for number in left if number in self.destinations]
        for entry in (entry for entry in event.entries if entry.state is State.IN):
            self.members.put(entry)
            if entry.destination in self.destinations:
                altered.append(self.destinations[entry.destination])
                self.add_endpoint(altered[-1], entry)
        for to in altered:
            self.apply_listed_rates(to)
        ended: list[Message] = []
        for number in left:
            if number in self.destinations and not self.members.serves(number):
                ended += self.mark_gone(self.destinations[number])
        return ended

    def remove_endpoints(self, news: api.Listed) -> dict[int, None]:
        """Remove endpoints gone, moved or missing in a whole list; returns destinations, drains included."""
        new_entries, left = {entry.endpoint: entry for entry in news.entries}, dict[int, None]()
        names = new_entries if news.kind is ListKind.PATCH else [*self.members, *new_entries]
        for name in dict.fromkeys(names):
            entry, was = new_entries.get(name), self.members.get(name)
            if was is not None and (entry is None or entry.state is State.GONE or is_moved(was, entry)):
                if was.destination in self.summaries:
                    self.load_destination(was.destination)
                self.members.remove(name)
                self.discard_endpoint(name)
                left[was.destination] = None
            if entry is not None and entry.state is State.DRAINING:
                self.members.put(entry)
                self.discard_endpoint(name)
                left[entry.destination] = None
        return left

    def add_endpoint(self, to: Destination, entry: api.Entry) -> None:
        """Add or update a listed endpoint at a destination in use."""
        name = entry.endpoint
        # Results of calls in flight since `mark_gone` may have changed these again.
        for it in to.accounts.values() if to.gone else ():
            eviction.reset_learned(it)
        where = name if self.settings.kinds[entry.kind].apart else ""
        account = to.accounts.get(where) or Account(self.settings, self.listed_rate(entry))
        to.accounts[where] = account
        if name not in self.endpoints:
            keep_us = 0 if entry.kind in self.small_table_kinds else self.initial_idle_keep_us
            made = Endpoint(entry, account, deque(maxlen=HISTORY_SIZE), idle_keep_us=keep_us)
            to.endpoints[name] = self.endpoints[name] = made
        self.endpoints[name].entry, to.gone = entry, False
        self.affected[to] = None

    def listed_rate(self, entry: api.Entry) -> float | None:
        """Return an endpoint's listed rate in calls per second; None if absent or not to be used."""
        return entry.rate if self.settings.rates_listed and entry.rate > 0 else None

    def apply_listed_rates(self, to: Destination) -> None:
        """Set the rate of accounts whose listed rate changed; of endpoints that differ, the first applies."""
        rates: dict[Account, float | None] = {}
        for it in to.endpoints.values():
            rates.setdefault(it.account, self.listed_rate(it.entry))
        for account, rate in rates.items():
            if rate != account.listed:
                account.listed = rate
                account.set_rate(rate)

    def mark_gone(self, to: Destination) -> list[Message]:
        """Reset what was learned of a destination no longer listed; returns its queued messages, to be ended.

        Its eviction check is due at once.
        """
        to.gone, to.eviction_check_us = True, self.now
        self.eviction_checks.appendleft((to.eviction_check_us, to.number))
        for account in to.accounts.values():
            eviction.reset_learned(account)
        return list(to.waiting.values())

    def load_destination(self, number: int) -> Destination:
        """Return a destination; if not in memory, create it from the list and its summary, if any."""
        if (to := self.destinations.get(number)) is None:
            to = self.destinations[number] = Destination(number, used_us=self.now)
            for entry in self.members.at(number):
                if entry.state is State.IN:
                    self.add_endpoint(to, entry)
            self.apply_listed_rates(to)
            if (kept := self.summaries.pop(number, None)) is not None:
                eviction.restore(to, kept[1], self.settings)
            self.schedule_eviction_check(to)
        return to

    def schedule_eviction_check(self, to: Destination) -> None:
        """Schedule the next check whether a destination can be evicted."""
        to.eviction_check_us = self.now + self.idle_before_eviction_us
        self.eviction_checks.append((to.eviction_check_us, to.number))

    def evict_idle(self) -> None:
        """Evict idle destinations and discard outdated summaries; a few in each step."""
        for _ in range(eviction.CHECKS_PER_STEP):
            if not self.eviction_checks or self.eviction_checks[0][0] > self.now:
                break
            at_us, number = self.eviction_checks.popleft()
            to = self.destinations.get(number)
            if to is not None and to.eviction_check_us == at_us:
                self.evict_if_idle(to)
        for _ in range(eviction.CHECKS_PER_STEP):
            if not self.summary_expiries or self.summary_expiries[0][0] > self.now:
                break
            at_us, number = self.summary_expiries.popleft()
            if number in self.summaries and self.summaries[number][0] == at_us:
                self.expire_summary(number)

    def evict_if_idle(self, to: Destination) -> None:
        """Evict a destination if it is idle, with a summary if it is still listed; else check again later."""
        if eviction.can_evict(to, self.now, self.settings):
            self.evict(to, b"" if to.gone else eviction.serialize(to, self.now, self.settings))
        else:
            self.schedule_eviction_check(to)

    def evict(self, to: Destination, kept: bytes) -> None:
        """Remove a destination from memory and store its summary, if not empty."""
        del self.destinations[to.number]
        for name in to.endpoints:
            del self.endpoints[name]
        if kept:
            self.summaries[to.number] = self.now + eviction.OUTDATED_US, kept
            self.summary_expiries.append((self.now + eviction.OUTDATED_US, to.number))

    def expire_summary(self, number: int) -> None:
        """Discard a summary that the next message would reset as a whole; else keep it OUTDATED_US longer."""
        kept, to = self.summaries[number][1], self.load_destination(number)
        eviction.reset_outdated(to, self.now)
        self.evict(to, kept if eviction.serialize(to, self.now, self.settings) else b"")
