"""Who is a member: whoever's session with a control relay stands. Control relays tell each other theirs."""

from __future__ import annotations

from dataclasses import dataclass

from amberlug.cluster.interfaces import Json

BEAT_S = 0.25  # between a member's words to its control relay
SILENT_S = 1.2  # without a word until a session is over
RELAY_GRACE_S = 0.9  # more for members of a control relay that is silent itself: they look for another
FIELDS = ("name", "incarnation", "address", "machine_class", "zone", "region", "state")


@dataclass(slots=True)
class Session:
    """A member as one control relay sees it."""

    name: str
    incarnation: str  # of its process: another after each start
    address: str
    machine_class: str
    zone: str
    region: str
    state: str  # up or leaving
    since: float
    last: float
    extra: Json

    @property
    def id(self) -> str:
        return f"{self.name}/{self.incarnation}"


class Sessions:
    """Own sessions, and what other control relays last said of theirs."""

    def __init__(self) -> None:
        self.own: dict[str, Session] = {}
        self._told: dict[str, tuple[float, dict[str, Session]]] = {}
        self._contact: set[str] = set()  # control relays that said that they reach a majority

    def hello(self, body: Json, now: float) -> Session:
        """A member begins or renews its session."""
        fields = {name: str(body[name]) for name in FIELDS}
        session = Session(**fields, since=now, last=now, extra=body.get("extra") or {})
        self.own[session.name] = session
        return session

    def beat(self, body: Json, now: float) -> bool:
        """A member's word; False where it has no session here and has to say hello."""
        session = self.own.get(body["name"])
        if session is None or session.incarnation != body["incarnation"]:
            return False
        session.last, session.state = now, str(body["state"])
        session.extra = body.get("extra") or {}
        return True

    def broken(self, address: str) -> list[Session]:
        """The connection with a process ended: its session is over, unless it comes again."""
        over = [it for it in self.own.values() if it.address == address]
        for session in over:
            del self.own[session.name]
        return over

    def sweep(self, now: float) -> list[Session]:
        """End the sessions of those who are silent."""
        over = [it for it in self.own.values() if now - it.last > SILENT_S]
        for session in over:
            del self.own[session.name]
        return over

    def report(self, now: float) -> list[list[object]]:
        """What to tell other control relays: ages instead of times, since clocks differ."""
        return [
            [
                *(getattr(it, name) for name in FIELDS),
                round(now - it.since, 3),
                round(now - it.last, 3),
                it.extra,
            ]
            for it in self.own.values()
        ]

    def told(self, by: str, rows: list[list[object]], now: float, contact: bool = True) -> None:
        """What another control relay said, and whether it reaches a majority."""
        (self._contact.add if contact else self._contact.discard)(by)
        sessions = {}
        for row in rows:
            *fields, since, last, extra = row
            names = dict(zip(FIELDS, (str(it) for it in fields), strict=True))
            assert isinstance(since, int | float), "ages are numbers"
            assert isinstance(last, int | float), "ages are numbers"
            assert isinstance(extra, dict), "what is beside them has names"
            sessions[names["name"]] = Session(**names, since=now - since, last=now - last, extra=extra)
        self._told[by] = now, sessions

    def in_contact(self, by: str, now: float) -> bool:
        """Whether another control relay is heard here, and reaches a majority."""
        return by in self._contact and now - self._told[by][0] < 2 * BEAT_S + 0.2

    def members(self, now: float) -> dict[str, Session]:
        """The live members by name, each as its newest incarnation."""
        found: dict[str, Session] = {}

        def offer(session: Session, grace: float) -> None:
            if now - session.last > SILENT_S + grace:
                return
            known = found.get(session.name)
            # A member that asked several control relays stays with one: there it was heard last.
            if known is None or (session.last, session.since) > (known.last, known.since):
                found[session.name] = session

        for session in self.own.values():
            offer(session, 0.0)
        for at, sessions in self._told.values():
            silent = now - at > 2 * BEAT_S + 0.1
            for session in sessions.values():
                offer(session, RELAY_GRACE_S if silent else 0.0)
        return found
