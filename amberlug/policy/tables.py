"""Tables of connections that relays of a large fleet share: which were met full, how long to keep what idles.

Endpoints hold few connections, idle ones counted. A relay that keeps one is served at once and never learns
that the others are turned away; so what idles is kept only as long as there was room of late.
"""

import random

from amberlug.policy import interface as api
from amberlug.policy.account import OPEN, SECOND
from amberlug.policy.interface import Result
from amberlug.policy.state import Endpoint
from amberlug.policy.waking import Awake

SPREAD = 0.7, 1.3  # drawn part of that window: relays that fail together must not come back together
TABLE_PAUSE_US = SECOND // 10  # first pause after a full table, doubled with each in a row
TABLE_PAUSE_MOST_US = SECOND // 2
SOON = 0.6  # part of the quickest answer that waited for a handshake: what comes sooner did not
UNMET = 5  # full tables in a row, from which on each is judged as in a small fleet
KEEP_MORE = 1.5  # growth of a keeping with each new connection that is served, until a full table is met
KEEP_STEP_US = SECOND // 500  # the same after that: an idle connection is worth less than a place for a call


class Tables(Awake):
    """The part of a relay's decisions that is about connections."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings)
        self.chance = random.Random(seed)
        self.reused = False  # whether the outcome that is being taken in came on a connection used before

    def close_idle(self) -> None:
        """Keep an idle connection for no longer than the endpoint's table has had room for of late."""
        # Guards against tables full of idle connections. Harms where bursts are far apart: a handshake each.
        for endpoint in self.rested if self.crowd > 1 else ():
            if endpoint.idle and not endpoint.closing:
                self.close_stale(endpoint)
        self.rested = {}

    def close_stale(self, endpoint: Endpoint) -> None:
        """Close what idles at an endpoint once it was kept for long enough, or look again then."""
        endpoint.closing = False
        if not endpoint.idle or self.endpoints.get(endpoint.entry.endpoint) is not endpoint:
            return
        until_us = endpoint.idle[-1] + endpoint.keep_us
        if until_us <= self.now:
            endpoint.idle.clear()
            self.actions.append(api.CloseIdle(endpoint.entry.endpoint))
        else:
            endpoint.closing = True
            self.timer(until_us, endpoint)

    def unmet(self, endpoint: Endpoint, result: Result) -> bool:
        """Whether the call that was judged last got no further than a full table."""
        return self.crowd > 1 and result is Result.REFUSED and endpoint.unmet > 0

    def table_full(self, endpoint: Endpoint, start_us: int, result: Result, wait_us: int) -> bool:
        """Whether a call met the full table of an endpoint that many relays share; keep idle ones shorter."""
        # Guards against idle connections of relays that call seldom, which keep the others out: a new one is
        # then turned away at once, which tells nothing of the limit. Harms what is shut and tells no waits:
        # it is called a few times more until that counts for its limit. A connection that does not come up is
        # no table's: the protocol has a full one answer, and what is down would be called again in tenths of
        # a second by each of hundreds, also as it is back and cold.
        took_us, zone = self.now - start_us, endpoint.entry.zone
        if not self.reused and (result is Result.DONE or wait_us):
            self.past_us[zone] = min(took_us, self.past_us.get(zone, took_us))
        refused = result is Result.REFUSED and not wait_us and not self.reused
        soon = took_us < SOON * self.past_us.get(zone, OPEN)  # no table's answer waits for a handshake
        if not (refused and soon):
            endpoint.unmet = 0
            if not self.reused and result is Result.DONE:
                small = endpoint.entry.kind in self.small_tables
                kept_us = endpoint.keep_us + KEEP_STEP_US if small else int(endpoint.keep_us * KEEP_MORE)
                endpoint.keep_us = min(self.settings.idle_us, kept_us)
            return False
        if endpoint.entry.kind not in self.small_tables:
            self.small_tables.add(endpoint.entry.kind)
            for other in self.endpoints.values():
                if other.entry.kind == endpoint.entry.kind:
                    other.keep_us = 0
                    self.close_stale(other)
        endpoint.unmet += 1
        endpoint.keep_us = 0
        pause_us = min(TABLE_PAUSE_MOST_US, TABLE_PAUSE_US << min(endpoint.unmet - 1, 8))
        endpoint.table_until = self.now + int(pause_us * self.chance.uniform(*SPREAD))
        return endpoint.unmet < UNMET
