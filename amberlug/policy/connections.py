"""Connection limits of endpoints shared by a large fleet: full-table detection and idle connection lifetimes.

An endpoint accepts few connections, and idle ones count. A relay that holds one is served at once and never
sees that other relays are refused. Idle connections are therefore kept only for as long as the endpoint
recently had room for new ones.
"""

import random

from amberlug.policy import interface as api
from amberlug.policy.account import SECOND, UNLIMITED
from amberlug.policy.destinations import DestinationManager
from amberlug.policy.interface import Result
from amberlug.policy.state import Endpoint

JITTER = 0.7, 1.3  # jitter factor of retry delays: relays that fail together must not retry together
FIRST_TABLE_PAUSE_US = SECOND // 10  # initial backoff after a full table, doubled with each consecutive one
MAX_TABLE_PAUSE_US = SECOND // 2
HANDSHAKE_SHARE = 0.6  # of the fastest answer that included a handshake; a faster one included none
# Consecutive full tables after which each counts as an ordinary refusal, as in a small fleet.
MAX_FULL_TABLES = 5
KEEP_GROWTH = 1.5  # growth of the keep time with each new connection served, before the first full table
KEEP_STEP_US = SECOND // 500  # growth after it: an idle connection is worth less than a slot for a call


class ConnectionManager(DestinationManager):
    """Connection handling of a relay: full tables and idle connections."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings)
        self.rng = random.Random(seed)
        self.reused = False  # whether the outcome being processed came on a reused connection

    def close_idle(self) -> None:
        """Close connections that idle for longer than the endpoint's table recently had room for."""
        # Prevents tables full of idle connections. Cost: a handshake per burst where bursts are far apart.
        for endpoint in self.newly_idle if self.relays_per_connection > 1 else ():
            if endpoint.idle and not endpoint.close_timer_set:
                self.close_stale(endpoint)
        self.newly_idle = {}

    def close_stale(self, endpoint: Endpoint) -> None:
        """Close an endpoint's idle connections if their keep time is over, else set a timer for its end."""
        endpoint.close_timer_set = False
        if not endpoint.idle or self.endpoints.get(endpoint.entry.endpoint) is not endpoint:
            return
        until_us = endpoint.idle[-1] + endpoint.idle_keep_us
        if until_us <= self.now:
            endpoint.idle.clear()
            self.actions.append(api.CloseIdle(endpoint.entry.endpoint))
        else:
            endpoint.close_timer_set = True
            self.set_timer(until_us, endpoint)

    def refused_by_full_table(self, endpoint: Endpoint, result: Result) -> bool:
        """Whether the call judged last was refused by a full connection table."""
        return self.relays_per_connection > 1 and result is Result.REFUSED and endpoint.full_tables > 0

    def table_full(self, endpoint: Endpoint, start_us: int, result: Result, wait_us: int) -> bool:
        """Whether a call was refused by a full table shared by many relays; adapts the idle keep time."""
        # Idle connections of relays that call rarely keep other relays out. A new connection is then refused
        # at once, which says nothing about the rate limit. Cost: an endpoint that is closed and sends no
        # Retry-After gets a few more calls before its refusals count for the limit. A failed connect is not a
        # full table: by the protocol a full table answers, and an endpoint that is down would otherwise be
        # retried every few tenths of a second by each of hundreds of relays, even while it is warming up.
        took_us, zone = self.now - start_us, endpoint.entry.zone
        if not self.reused and (result is Result.DONE or wait_us):
            self.fastest_new_us[zone] = min(took_us, self.fastest_new_us.get(zone, took_us))
        refused = result is Result.REFUSED and not wait_us and not self.reused
        # A full table answers without a handshake.
        soon = took_us < HANDSHAKE_SHARE * self.fastest_new_us.get(zone, UNLIMITED)
        if not (refused and soon):
            endpoint.full_tables = 0
            if not self.reused and result is Result.DONE:
                small = endpoint.entry.kind in self.small_table_kinds
                kept_us = endpoint.idle_keep_us
                kept_us = kept_us + KEEP_STEP_US if small else int(kept_us * KEEP_GROWTH)
                endpoint.idle_keep_us = min(self.settings.idle_us, kept_us)
            return False
        if endpoint.entry.kind not in self.small_table_kinds:
            self.small_table_kinds.add(endpoint.entry.kind)
            for other in self.endpoints.values():
                if other.entry.kind == endpoint.entry.kind:
                    other.idle_keep_us = 0
                    self.close_stale(other)
        endpoint.full_tables += 1
        endpoint.idle_keep_us = 0
        pause_us = min(MAX_TABLE_PAUSE_US, FIRST_TABLE_PAUSE_US << min(endpoint.full_tables - 1, 8))
        endpoint.table_full_until = self.now + int(pause_us * self.rng.uniform(*JITTER))
        return endpoint.full_tables < MAX_FULL_TABLES
