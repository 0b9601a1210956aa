"""Which storage nodes respond and have space, by what came of the requests to them. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from amberlug.cluster.interfaces import Runtime

FULL_S = 3.0  # a full disk takes no replicas for so long; space comes back as messages end
UNRESPONSIVE_S = 0.15  # without a response to anything: several round trips between regions
LATENCY_FACTOR = 2.5  # or so many times the slowest recent response, on links that lose packets
LATENCY_DECAY = 0.95  # of the slowest recent response, with each response
PROBE_INTERVAL_S = 0.1  # between probes of one unresponsive node
SUSPECT_DISCONNECTED_S = 0.3  # after its connection ended: it may be restarting


class StoreHealth:
    """The health of storage nodes, each known by the id of its disk; all durations are in seconds."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._suspect_until: dict[str, float] = {}
        self._unanswered_since: dict[str, float] = {}  # the first request since the last response
        self._latency_s: dict[str, float] = {}  # of the slowest recent response, decaying
        self._probed_at: dict[str, float] = {}
        self._full_until: dict[str, float] = {}

    def forget_except(self, disks: Iterable[str]) -> None:
        """Forget all disks but these; a suspicion ends by itself."""
        remaining = set(disks)
        for by_disk in (self._unanswered_since, self._latency_s, self._probed_at, self._full_until):
            for disk in set(by_disk) - remaining:
                del by_disk[disk]

    def request_sent(self, disk: str) -> float:
        """Note that a request is sent now.

        :returns: the time by the steady clock, for `response_received`.
        """
        now = self._runtime.now()
        self._unanswered_since.setdefault(disk, now)
        return now

    def response_received(self, disk: str, sent_at: float) -> None:
        """Note that a request that was sent at that time has its response."""
        self._unanswered_since.pop(disk, None)
        latency_s = self._runtime.now() - sent_at
        self._latency_s[disk] = max(latency_s, LATENCY_DECAY * self._latency_s.get(disk, 0.0))

    def is_unresponsive(self, disk: str) -> bool:
        """Whether a request has been without a response for longer than this disk's latency explains.

        A slow response is no timeout: on links that lose packets some response always is slow.
        """
        now = self._runtime.now()
        unanswered_s = now - self._unanswered_since.get(disk, now)
        return unanswered_s > max(UNRESPONSIVE_S, LATENCY_FACTOR * self._latency_s.get(disk, 0.0))

    def mark_full(self, disk: str) -> None:
        """Note that a disk has no space for a replica."""
        self._full_until[disk] = self._runtime.now() + FULL_S

    def is_full(self, disk: str) -> bool:
        """Whether a disk had no space a moment ago."""
        return disk in self._full_until and self._full_until[disk] > self._runtime.now()

    def suspect(self, disk: str, duration_s: float) -> None:
        """Prefer other disks for so long; a longer suspicion stays."""
        until = self._runtime.now() + duration_s
        self._suspect_until[disk] = max(self._suspect_until.get(disk, 0.0), until)

    def is_suspect(self, disk: str) -> bool:
        """Whether other disks are preferred now."""
        return self._suspect_until.get(disk, 0.0) > self._runtime.now()

    def start_probe(self, disk: str) -> bool:
        """Whether a probe is due; the next one is due an interval later."""
        now = self._runtime.now()
        if disk in self._probed_at and now - self._probed_at[disk] < PROBE_INTERVAL_S:
            return False
        self._probed_at[disk] = now
        return True
