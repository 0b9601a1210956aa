"""The operator: submits configurations whole or by items, valid or not, until the result is clear."""

from __future__ import annotations

import json
from collections.abc import Callable
from copy import deepcopy
from typing import Any

from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.clients import HOST
from amberlug.cluster.simulation.deployment import Deployment
from amberlug.cluster.simulation.history import Call, Version
from amberlug.cluster.simulation.machine import Machine

WITHIN_S = 1.0
PAUSE_S = (0.05, 0.8)
INSIST_S = 8.0  # a command without a definite response is retried for so long
SAME_NODE_INSIST_S = 30.0  # the same for a command that goes to a single node only
SAME_NODE_PAUSE_S = 0.25
MAX_CONCURRENT_COMMANDS = 8
RETENTIONS_S = (0.5, 2.0, 5.0, 90.0)
REPEAT_S = (0.0, 7.0)  # from an acknowledgement until the same command is repeated
DEFINITE_STATUSES = (200, 400, 404, 409, 412, 413, 422)


def service(name: str, rate: float = 0.0, dedup: bool = False) -> Json:
    """One service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        "ratePerS": rate,
        "dedupCapable": dedup,
        "pull": False,
        "fixedAddress": None,
    }


def route(prefix: str, to: str, in_sequence: bool = False, expiry_ms: int = 1500, rank: int = 1) -> Json:
    """One route of a configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "authority": HOST,
        "pathPrefix": prefix,
        "routeType": "deferred",
        "expiryMs": expiry_ms,
        "targetMs": 100,
        "precedence": rank,
        "targetService": to,
        "maxAttempts": 3,
        "inSequence": in_sequence,
        "retentionS": 90.0,
        "notifyUri": False,
        "startTargetMs": 1200,
    }


class Operator:
    """Submits and reads configurations, and retires storage nodes."""

    def __init__(self, deployment: Deployment, first: Json) -> None:
        self.deployment, self.history, self.clock = deployment, deployment.history, deployment.clock
        self.rng = deployment.random_for("operator")
        self.edition, self.config = 0, first  # the newest that the operator knows to be in force
        self.busy = False
        self.in_progress = 0
        self.lost = 0.0  # fraction of the acknowledgements that are lost
        self.repeats = 0.0  # fraction of the acknowledged changes that are repeated later
        self.retiring = ""  # the storage node that is being retired
        self.changes_names = False  # changes drop, rename, swap and reuse the names of routes
        self.changes_retention = False  # changes shorten and lengthen retention times
        # Called as the acknowledgement of a change is sent.
        self.on_acknowledged: Callable[[Machine], None] = lambda core: None
        self._numbers = 0
        self._extra = 0

    def begin(self) -> None:
        """Submit the first configuration until it is accepted."""
        self._send(self._version(self.config, True), "replace", lambda ok: None if ok else self.begin())

    def _version(self, config: Json, valid: bool, number: int = 0) -> Version:
        if not number:
            number = self._numbers = max(self._numbers, self.edition) + self.rng.randrange(1, 4)
        config = {**config, "edition": number}
        services = {it["pathPrefix"]: it["targetService"] for it in config["routeTable"]}
        retention_s = {it["pathPrefix"]: it["retentionS"] for it in config["routeTable"]}
        version = Version(
            number, self.edition, config, valid, self.clock.now, services=services, retention_s=retention_s
        )
        if valid:
            for it in config["serviceTable"]:
                if it["ratePerS"]:
                    self.history.rates[it["name"]] = it["ratePerS"]
        self.history.versions.append(version)
        return version

    # -- changes

    def _changed(self) -> Json:
        """Draw a changed configuration: another timeout, or a route added, removed or redirected."""
        if self.changes_names:
            return self._with_changed_names()
        if self.changes_retention:
            return self._with_changed_retention()
        config, rng = deepcopy(self.config), self.rng
        routes = config["routeTable"]
        extra = [it for it in routes if it["pathPrefix"].startswith("/x")]
        what = rng.choice(("expiry", "add", "add", "move", "drop" if extra else "add"))
        if what == "expiry":
            rng.choice(routes)["expiryMs"] = rng.choice((1000, 1200, 1500))
        elif what == "add":
            self._extra += 1
            routes.append(route(f"/x{self._extra}/", rng.choice(("alpha", "beta"))))
        elif what == "drop":
            routes.remove(rng.choice(extra))
        else:
            moved = next(it for it in routes if it["pathPrefix"] == "/plain/")
            moved["targetService"] = "beta" if moved["targetService"] == "alpha" else "alpha"
        return config

    def _with_changed_retention(self) -> Json:
        """Draw a configuration in which messages of a route are kept for a shorter or a longer time."""
        config, rng = deepcopy(self.config), self.rng
        rng.choice(config["routeTable"])["retentionS"] = rng.choice(RETENTIONS_S)
        return config

    def _with_changed_names(self) -> Json:
        """Draw a configuration in which routes are renamed, or a name is given to another path."""
        config, rng = deepcopy(self.config), self.rng
        routes = config["routeTable"]
        extra = [it for it in routes if it["pathPrefix"].startswith("/x")]
        self._extra += 1
        added = route(f"/x{self._extra}/", rng.choice(("alpha", "beta", "gamma")))
        what = rng.choice(("add", "rename", "swap", "swap", *(("reuse", "reuse", "drop") if extra else ())))
        if what == "add":
            routes.append(added)
        elif what == "rename":
            rng.choice(routes)["name"] = added["name"]
        elif what == "swap":
            one, other = rng.sample(routes, 2)
            one["name"], other["name"] = other["name"], one["name"]
        else:
            removed = rng.choice(extra)
            routes.remove(removed)
            if what == "reuse":
                routes.append({**added, "name": removed["name"]})
        return config

    def change(self) -> None:
        """Change the configuration, unless a change is in progress."""
        if not self.busy and self.edition:
            self.busy = True
            self._send(self._version(self._changed(), True), self._draw_method(), self._on_change_finished)

    def set_fixed_address(self, service: str, address: str | None, then: Callable[[bool], None]) -> None:
        """Change the configured address of a service; `then` gets whether that was acknowledged."""
        config = deepcopy(self.config)
        for row in config["serviceTable"]:
            if row["name"] == service:
                row["fixedAddress"] = address
        self._send(self._version(config, True), self._draw_method(), then)

    def _draw_method(self) -> str:
        return self.rng.choice(("replace", "modify"))

    def _on_change_finished(self, ok: bool) -> None:
        self.busy = False

    def race(self) -> None:
        """Submit two concurrent changes of one version."""
        if not self.busy and self.edition:
            self.busy = True
            left = 2

            def done(ok: bool) -> None:
                """Count one change as finished; the operator is free again after both."""
                nonlocal left
                left -= 1
                self.busy = left > 0

            for version in [self._version(self._changed(), True) for _ in range(2)]:
                self._send(version, self._draw_method(), done)

    # -- concurrent commands

    def _begin_command(self) -> Callable[[bool], None]:
        """Count one more command as in progress, until the returned callback is called."""
        self.in_progress += 1

        def done(ok: bool) -> None:
            """Count the command as finished."""
            self.in_progress -= 1

        return done

    def order(self, to: Machine | None = None, same_node: bool = False) -> None:
        """Change the configuration concurrently; first at node `to`, with `same_node` only there."""
        if self.edition and self.in_progress < MAX_CONCURRENT_COMMANDS:
            self._send(
                self._version(self._changed(), True),
                self._draw_method(),
                self._begin_command(),
                to,
                same_node,
            )

    def pair(self, to: Machine | None = None, other: Machine | None = None) -> None:
        """Have two operators change one version, first at the given nodes; they may pick the same edition."""
        if not self.edition or self.in_progress + 2 > MAX_CONCURRENT_COMMANDS:
            return
        first = self._version(self._changed(), True)
        config = self._changed()
        while {**config, "edition": 0} == {**first.config, "edition": 0}:
            config = self._changed()
        number = first.edition if self.rng.random() < 0.6 else 0
        for version, relay in ((first, to), (self._version(config, True, number), other)):
            self._send(version, self._draw_method(), self._begin_command(), relay)

    def many(self) -> None:
        """Send commands until the limit of concurrent ones is reached."""
        acts: list[Callable[[], None]] = [self.order, self.pair, self.read, self.invalid, self.retire]
        for _ in range(MAX_CONCURRENT_COMMANDS - self.in_progress):
            self.rng.choice(acts)()

    def read(self) -> None:
        """Read the configuration once, at any control-plane node."""
        self._ask(Call("read", "", self._any(), self.clock.now), "GET", "/-/Configuration.Read", self._adopt)

    def _any(self) -> str:
        return self.rng.choice(self.deployment.cores).name

    def _adopt(self, call: Call) -> None:
        if call.status == 200 and call.said is not None and call.said["edition"] > self.edition:
            self.edition, self.config = call.said["edition"], call.said

    def _read_in_force(self, tries: int = 6) -> None:
        """Read the configuration in force, after a change conflicted with another."""

        def then(call: Call) -> None:
            """Adopt the configuration that was read; after a failure, read again after a pause."""
            if call.status == 200:
                self._adopt(call)
            elif tries > 1:
                self.clock.call_later(PAUSE_S[1], lambda: self._read_in_force(tries - 1))

        self._ask(Call("read", "", self._any(), self.clock.now), "GET", "/-/Configuration.Read", then)

    def retire(self) -> None:
        """Retire a storage node, or query the progress."""
        stores = [it.name for it in self.deployment.stores]
        if len(stores) > 3:
            self.retiring = self.retiring or self.rng.choice(stores)
            begin = self.rng.random() < 0.5
            call = Call("retire" if begin else "retire-read", self.retiring, self._any(), self.clock.now)
            word = "Begin" if begin else "Read"
            self._ask(call, "POST" if begin else "GET", f"/-/Retire.{word}/{self.retiring}", lambda it: None)

    def _ask(self, call: Call, method: str, target: str, then: Callable[[Call], None]) -> None:
        self.history.calls.append(call)
        core = next(it for it in self.deployment.cores if it.name == call.core)
        body = b'{"durationS": 8}' if method == "POST" else b""

        def hear(status: int, said: Any) -> None:
            """Record the response of the call, and pass the call on."""
            call.status, call.answered_at, call.said = status, self.clock.now, said
            self.history.trace(f"{call.what} {call.name}: {status} by {call.core}")
            then(call)

        self.deployment.control(core, method, target, body, WITHIN_S, hear)

    def invalid(self) -> None:
        """Submit a configuration that must be rejected."""
        if self.busy or not self.edition:
            return
        config = deepcopy(self.config)
        what = self.rng.choice(("service", "twice", "expiry", "edition"))
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
        """Express a change as named items to upsert and remove."""
        upsert: Json = {}
        remove: Json = {}
        for table in ("routeTable", "serviceTable"):
            old = {it["name"]: it for it in self.config[table]}
            new = {it["name"]: it for it in version.config[table]}
            upsert[table] = [it for name, it in new.items() if old.get(name) != it]
            remove[table] = [name for name in old if name not in new]
        return {"edition": version.edition, "upsert": upsert, "remove": remove}

    # -- retries

    def _send(
        self,
        version: Version,
        word: str,
        then: Callable[[bool], None],
        to: Machine | None = None,
        same_node: bool = False,
    ) -> None:
        path = f"/-/Configuration.{word.capitalize()}"
        data = version.config if word == "replace" else self._modify(version)
        body = json.dumps(data).encode()
        headers = (("amberlug-base-version", str(version.base)),)
        began, pause = self.clock.now, PAUSE_S[0]
        version.may_use_any_node = not same_node
        where = f" to {to.name}" if to is not None else ""
        self.history.trace(f"edition {version.edition} on top of {version.base} is submitted ({word}){where}")

        def call(core: Machine, hear: Callable[[int, Any], None]) -> None:
            """Send the command to a control-plane node; `hear` gets the response."""

            def leaves(status: int) -> None:
                """Call `on_acknowledged` as a response with 200 is sent."""
                if status == 200:
                    self.on_acknowledged(core)

            self.deployment.control(core, "POST", path, body, WITHIN_S, hear, headers, leaves)

        def again() -> None:
            """Send the command, or give up after the time limit; the first configuration has no limit."""
            nonlocal to
            if self.clock.now - began > (SAME_NODE_INSIST_S if same_node else INSIST_S) and version.base:
                version.until = self.clock.now
                then(False)
                return
            core = to if to is not None else self.rng.choice(self.deployment.cores)
            to = core if same_node else None
            call(core, lambda status, said: hear(core, status))

        def hear(core: Machine, status: int) -> None:
            """End the command on a definite response; if there is none, or it is lost, send it again."""
            nonlocal pause
            if status in DEFINITE_STATUSES:
                self.history.trace(f"edition {version.edition}: {status} by {core.name}")
                if status != 200:
                    version.refusals.append((self.clock.now, status, core.name))
                    if status in (409, 412):
                        self._read_in_force()
                else:
                    version.taken_at = min(version.taken_at, self.clock.now)
                    if self.lost and self.rng.random() < self.lost:
                        self.history.trace("that response is lost")
                        self.clock.call_later(WITHIN_S, again)
                        return
                version.status = status
                version.answered_at = version.until = self.clock.now
                if status == 200 and version.edition > self.edition:
                    self.edition, self.config = version.edition, version.config
                if status == 200 and self.repeats and self.rng.random() < self.repeats:
                    self.clock.call_later(self.rng.uniform(*REPEAT_S), repeat)
                then(status == 200)
                return
            self.clock.call_later(SAME_NODE_PAUSE_S if same_node else pause, again)
            pause = min(PAUSE_S[1], 2 * pause)

        def repeat() -> None:
            """Submit the acknowledged command once more, at any control-plane node."""
            core = self.rng.choice(self.deployment.cores)

            def told(status: int, said: Any) -> None:
                """Record a rejection of the repeated command."""
                self.history.trace(f"edition {version.edition}, submitted again: {status} by {core.name}")
                if status in DEFINITE_STATUSES and status != 200:
                    version.refusals.append((self.clock.now, status, core.name))

            call(core, told)

        again()

    def read_back(self, tries: int) -> None:
        """At the end of a run, read the configuration in force."""

        def hear(status: int, said: Any) -> None:
            """Record the configuration in force; after a failure, read again in 0.5 s."""
            if status == 200:
                self.history.read_back = said
            elif tries > 1:
                self.clock.call_later(0.5, lambda: self.read_back(tries - 1))

        core = self.rng.choice(self.deployment.cores)
        self.deployment.control(core, "GET", "/-/Configuration.Read", b"", WITHIN_S, hear)
