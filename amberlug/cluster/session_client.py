"""A member's side of its session with a control relay, for edges and stores. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from amberlug.cluster.control.sessions import BEAT_S
from amberlug.cluster.gossip.announcements import Announcement
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.interfaces import Json, Reply, RequestFailure, Runtime
from amberlug.cluster.settings import Settings

ANSWER_S = 0.4  # for a control relay to answer a beat
HELLO_S = 0.8
FURTHER_S = 0.25  # without an answer to a hello until a further control relay is asked as well
NEWEST_S = 5.0  # for a page of all news: a large one takes seconds over a slow link
PAUSE_S = (0.1, 0.5)  # before the next control relay is tried, growing
STALE_S = 1.5  # what a control relay knows may be so much older than what a majority has


def internal(settings: Settings) -> list[str]:
    """The seeds' addresses for peers: all machines of a deployment use the same ports."""
    return [f"{host}:{settings.ports.start}" for host, _ in settings.seeds]


def _in_contact(reply: Result[Reply, RequestFailure]) -> bool:
    """Whether a control relay takes this member's word, and knows what a majority knows."""
    if isinstance(reply, Err):
        return False
    said = reply.ok_value.body
    return bool(said.get("ok")) and float(said.get("age", 0.0)) <= STALE_S


class SessionClient:
    """Keeps a session with one control relay, and finds another when that one is silent."""

    def __init__(
        self,
        world: Runtime,
        settings: Settings,
        address: str,
        machine_class: str,
        gossip: GossipStore,
        extra: Callable[[], Json],
    ) -> None:
        self.world, self.settings, self.gossip, self._extra = world, settings, gossip, extra
        self.address, self.machine_class = address, machine_class
        self.incarnation = f"{int(world.wall_clock() * 1000):x}{world.chance.getrandbits(16):04x}"
        self.state = "up"
        self.relay = ""  # the control relay that the session is with
        self.confirmed = False  # whether the news were once as new as a majority's
        self.changes = 0  # sessions begun
        self._tried = 0
        self._failed = 0  # tries since a session stood
        self._known: list[str] = internal(settings)
        self._epoch = 0

    @property
    def id(self) -> str:
        return f"{self.settings.name}/{self.incarnation}"

    def begin(self) -> None:
        self.world.chance.shuffle(self._known)
        self._hello()

    def cores_are(self, members: Json) -> None:
        """Take the addresses of all control relays, those of the same zone first."""
        here: list[str] = []
        others: list[str] = []
        for it in members.values():
            (here if it.get("zone") == self.settings.zone else others).append(it["addr"])
        self.world.chance.shuffle(others)
        self._known = here + others or self._known

    def seeds_are(self, seeds: list[str]) -> None:
        """Further addresses to try."""
        self._known += [it for it in seeds if it not in self._known]

    def _body(self) -> Json:
        return {
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "address": self.address,
            "machine_class": self.machine_class,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "state": self.state,
            "extra": self._extra(),
        }

    def _hello(self) -> None:
        self._epoch += 1
        self._try(self._epoch)

    def _try(self, epoch: int) -> None:
        """Ask one control relay for a session, and a further one where it is silent: several may be gone."""
        if epoch != self._epoch or self.relay:
            return
        to = self._known[self._tried % len(self._known)]
        self._tried += 1
        passed = False  # whether the search goes on without this one

        def further() -> None:
            nonlocal passed
            if not passed:
                passed = True
                self._try(epoch)

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            nonlocal passed
            if epoch != self._epoch or self.relay:
                return  # another one was quicker
            if not _in_contact(reply):
                if not passed:
                    passed = True
                    self._again()
                return
            passed = True
            self.relay, self.changes, self._failed = to, self.changes + 1, 0
            self.gossip.compare_with(to)
            self.world.call_later(BEAT_S, lambda: self._beat(epoch))
            if not self.confirmed:
                self._newest(epoch)

        self.world.request(to, "hello", self._body(), HELLO_S, hear)
        self.world.call_later(FURTHER_S, further)

    def _again(self) -> None:
        """Look for another control relay, after a while that grows: all of them may be without a majority."""
        epoch = self._epoch
        pause = min(PAUSE_S[1], PAUSE_S[0] * 1.3**self._failed) * self.world.chance.uniform(0.8, 1.2)
        self._failed = min(self._failed + 1, 20)
        self.world.call_later(pause, lambda: self._try(epoch))

    def _newest(self, epoch: int, after: str = "") -> None:
        """Have what is known confirmed by a majority once, before clients are served."""

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            if self.confirmed or epoch != self._epoch:
                return
            if isinstance(reply, Ok) and reply.ok_value.body.get("ok"):
                self.gossip.apply(Announcement(*row) for row in reply.ok_value.body["items"])
                if reply.ok_value.body.get("next"):
                    self._newest(epoch, reply.ok_value.body["next"])
                else:
                    self.confirmed = True
            else:
                # This relay reaches no majority, or is slow: another one may do better.
                self.relay = ""
                self._epoch += 1
                self._again()

        if epoch == self._epoch and not self.confirmed:
            self.world.request(self.relay, "newest", {"after": after}, NEWEST_S, hear)

    def _beat(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        sent = self.world.now()

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            if epoch != self._epoch:
                return
            if not _in_contact(reply):
                self.relay = ""
                self._hello()
                return
            self.world.call_later(max(0.0, BEAT_S - (self.world.now() - sent)), lambda: self._beat(epoch))

        self.world.request(self.relay, "beat", self._body(), ANSWER_S, hear)

    def broken(self, address: str) -> None:
        """The connection with a process ended."""
        if address == self.relay:
            self.relay = ""
            self._hello()

    def leave(self) -> None:
        """Say at once that this member goes."""
        self.state = "leaving"
        if self.relay:
            self.world.send(self.relay, "beat", self._body())
