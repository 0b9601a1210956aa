"""The operator: configurations whole or by items, invalid ones, races; each is sent until it is clear."""

from __future__ import annotations

import json
from collections.abc import Callable
from copy import deepcopy
from typing import Any

from workshop.jig.clients import HOST
from workshop.jig.deployment import Deployment, Machine
from workshop.jig.history import Version
from workshop.ports import Json

WITHIN_S = 1.0
PAUSE_S = (0.05, 0.8)
INSIST_S = 8.0  # a call whose answer is unclear is sent again for so long


def service(name: str, rate: float = 0.0, dedup: bool = False) -> Json:
    """One service of a configuration."""
    return {
        "name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False,
        "ratePerS": rate, "dedupCapable": dedup, "pull": False, "fixedAddress": None,
    }  # fmt: skip


def route(prefix: str, to: str, in_sequence: bool = False, expiry_ms: int = 1500, rank: int = 1) -> Json:
    """One route of a configuration."""
    return {
        "name": f"r-{prefix.strip('/')}", "authority": HOST, "pathPrefix": prefix, "routeType": "deferred",
        "expiryMs": expiry_ms, "targetMs": 100, "precedence": rank, "targetService": to, "maxAttempts": 3,
        "inSequence": in_sequence, "retentionS": 90.0, "notifyUri": False, "startTargetMs": 1200,
    }  # fmt: skip


class Operator:
    """Sends configurations."""

    def __init__(self, deployment: Deployment, first: Json) -> None:
        self.deployment, self.history, self.clock = deployment, deployment.history, deployment.clock
        self.chance = deployment.draw("operator")
        self.edition, self.config = 0, first  # the newest that is known to be in force
        self.busy = False
        self.on_acked: Callable[[Machine], None] = lambda core: None  # as the acknowledgement is sent
        self._numbers = 0
        self._extra = 0

    def begin(self) -> None:
        """Send the first configuration until it is taken."""
        self._send(self._version(self.config, True), "replace", lambda ok: None if ok else self.begin())

    def _version(self, config: Json, valid: bool) -> Version:
        self._numbers = max(self._numbers, self.edition) + self.chance.randrange(1, 4)
        config = {**config, "edition": self._numbers}
        services = {it["pathPrefix"]: it["targetService"] for it in config["routeTable"]}
        version = Version(self._numbers, self.edition, config, valid, self.clock.now, services=services)
        if valid:
            for it in config["serviceTable"]:
                if it["ratePerS"]:
                    self.history.rates[it["name"]] = it["ratePerS"]
        self.history.versions.append(version)
        return version

    # -- what is sent

    def _changed(self) -> Json:
        """Another configuration: a timeout, a route more or less, or a route that goes elsewhere."""
        config, chance = deepcopy(self.config), self.chance
        routes = config["routeTable"]
        extra = [it for it in routes if it["pathPrefix"].startswith("/x")]
        what = chance.choice(("expiry", "add", "add", "move", "drop" if extra else "add"))
        if what == "expiry":
            chance.choice(routes)["expiryMs"] = chance.choice((1000, 1200, 1500))
        elif what == "add":
            self._extra += 1
            routes.append(route(f"/x{self._extra}/", chance.choice(("alpha", "beta"))))
        elif what == "drop":
            routes.remove(chance.choice(extra))
        else:
            moved = next(it for it in routes if it["pathPrefix"] == "/plain/")
            moved["targetService"] = "beta" if moved["targetService"] == "alpha" else "alpha"
        return config

    def change(self) -> None:
        """Change the configuration."""
        if not self.busy and self.edition:
            self.busy = True
            self._send(self._version(self._changed(), True), self._word(), self._free)

    def _word(self) -> str:
        return self.chance.choice(("replace", "modify"))

    def _free(self, ok: bool) -> None:
        self.busy = False

    def race(self) -> None:
        """Two changes on top of one version."""
        if not self.busy and self.edition:
            self.busy = True
            left = 2

            def done(ok: bool) -> None:
                nonlocal left
                left -= 1
                self.busy = left > 0

            for version in [self._version(self._changed(), True) for _ in range(2)]:
                self._send(version, self._word(), done)

    def invalid(self) -> None:
        """A configuration that must be refused."""
        if self.busy or not self.edition:
            return
        config = deepcopy(self.config)
        what = self.chance.choice(("service", "twice", "expiry", "edition"))
        routes = config["routeTable"]
        if what == "service":
            routes.append(route("/bad/", "nobody"))
        elif what == "twice":
            routes.append({**routes[0], "name": "r-twice"})
        elif what == "expiry":
            routes.append(route("/bad/", "alpha", expiry_ms=0))
        else:
            routes.append(route("/bad/", "alpha"))
        version = self._version(config, False)
        if what == "edition":
            version.edition = version.config["edition"] = self.edition
        self._send(version, "replace", lambda ok: None)

    def _modify(self, version: Version) -> Json:
        """The same change by named items."""
        upsert: Json = {}
        remove: Json = {}
        for table in ("routeTable", "serviceTable"):
            old = {it["name"]: it for it in self.config[table]}
            new = {it["name"]: it for it in version.config[table]}
            upsert[table] = [it for name, it in new.items() if old.get(name) != it]
            remove[table] = [name for name in old if name not in new]
        return {"edition": version.edition, "upsert": upsert, "remove": remove}

    # -- until it is clear

    def _send(self, version: Version, word: str, then: Callable[[bool], None]) -> None:
        path = f"/-/Configuration.{word.capitalize()}"
        data = version.config if word == "replace" else self._modify(version)
        body = json.dumps(data).encode()
        headers = (("amberlug-base-version", str(version.base)),)
        began = self.clock.now
        self.history.say(f"edition {version.edition} on top of {version.base} is sent ({word})")
        pause = PAUSE_S[0]

        def again() -> None:
            nonlocal pause
            if self.clock.now - began > INSIST_S and version.base:
                then(False)
                return
            core = self.chance.choice(self.deployment.cores)

            def leaves(status: int) -> None:
                if status == 200:
                    self.on_acked(core)

            self.deployment.control(
                core, "POST", path, body, WITHIN_S, lambda status, said: hear(core, status), headers, leaves
            )

        def hear(core: Machine, status: int) -> None:
            nonlocal pause
            if status in (200, 400, 409, 412, 413, 422):
                version.status, version.answered_at = status, self.clock.now
                self.history.say(f"edition {version.edition}: {status} by {core.name}")
                if status == 200 and version.edition > self.edition:
                    self.edition, self.config = version.edition, version.config
                then(status == 200)
                return
            self.clock.later(pause, again)
            pause = min(PAUSE_S[1], 2 * pause)

        again()

    def read_back(self, tries: int) -> None:
        """At the end of a day: what is in force."""

        def hear(status: int, said: Any) -> None:
            if status == 200:
                self.history.read_back = said
            elif tries > 1:
                self.clock.later(0.5, lambda: self.read_back(tries - 1))

        core = self.chance.choice(self.deployment.cores)
        self.deployment.control(core, "GET", "/-/Configuration.Read", b"", WITHIN_S, hear)
