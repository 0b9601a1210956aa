"""Tracks which storage nodes respond and have space, from the results of requests. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from amberlug.cluster.interfaces import Runtime

FULL_S = 3.0  # how long a disk counts as full; space is freed as messages end
UNRESPONSIVE_S = 0.15  # minimum time without any response: several cross-region round trips
LATENCY_FACTOR = 2.5  # or this multiple of the slowest recent response, for lossy links
LATENCY_DECAY = 0.95  # applied to the slowest recent latency with each response
PROBE_INTERVAL_S = 0.1  # between probes of an unresponsive node
SUSPECT_DISCONNECTED_S = 0.3  # after its connection was lost, as it may be restarting


class StoreHealth:
    """The health of storage nodes by disk id; all times are in seconds."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._suspect_until: dict[str, float] = {}
        self._unanswered_since: dict[str, float] = {}  # start of the first request since the last response
        self._latency_s: dict[str, float] = {}  # decaying maximum of the response times
        self._probed_at: dict[str, float] = {}
        self._full_until: dict[str, float] = {}

    def forget_except(self, disks: Iterable[str]) -> None:
        """Forget all other disks; suspicions expire on their own."""
        remaining = set(disks)
        for by_disk in (self._unanswered_since, self._latency_s, self._probed_at, self._full_until):
            for disk in set(by_disk) - remaining:
                del by_disk[disk]

    def request_sent(self, disk: str) -> float:
        """Record that a request is sent now.

        :returns: the monotonic time, for `response_received`.
        """
        now = self._runtime.now()
        self._unanswered_since.setdefault(disk, now)
        return now

    def response_received(self, disk: str, sent_at: float) -> None:
        """Record the response to a request that was sent at `sent_at`."""
        self._unanswered_since.pop(disk, None)
        latency_s = self._runtime.now() - sent_at
        self._latency_s[disk] = max(latency_s, LATENCY_DECAY * self._latency_s.get(disk, 0.0))

    def is_unresponsive(self, disk: str) -> bool:
        """Whether a request has been unanswered for longer than this disk's latency explains.

        The limit scales with the latency because on lossy links some response is always slow.
        """
        now = self._runtime.now()
        unanswered_s = now - self._unanswered_since.get(disk, now)
        return unanswered_s > max(UNRESPONSIVE_S, LATENCY_FACTOR * self._latency_s.get(disk, 0.0))

    def mark_full(self, disk: str) -> None:
        """Record that a disk has no space for a replica."""
        self._full_until[disk] = self._runtime.now() + FULL_S

    def is_full(self, disk: str) -> bool:
        """Whether a disk recently had no space."""
        return disk in self._full_until and self._full_until[disk] > self._runtime.now()

    def suspect(self, disk: str, duration_s: float) -> None:
        """Prefer other disks for a duration; a suspicion that ends later is kept."""
        until = self._runtime.now() + duration_s
        self._suspect_until[disk] = max(self._suspect_until.get(disk, 0.0), until)

    def is_suspect(self, disk: str) -> bool:
        """Whether other disks are currently preferred."""
        return self._suspect_until.get(disk, 0.0) > self._runtime.now()

    def start_probe(self, disk: str) -> bool:
        """Return whether a probe is due; if so, the next one is due after `PROBE_INTERVAL_S`."""
        now = self._runtime.now()
        if disk in self._probed_at and now - self._probed_at[disk] < PROBE_INTERVAL_S:
            return False
        self._probed_at[disk] = now
        return True
