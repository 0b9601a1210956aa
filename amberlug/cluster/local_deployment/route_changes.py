"""Changes of the configuration that rename routes, swap their names or reuse them, while messages wait."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from copy import deepcopy

from result import Ok

from amberlug.cluster.control.state_entries import ConfigDocument
from amberlug.cluster.local_deployment.deployment import SERVICES
from amberlug.cluster.local_deployment.http_call import HttpCall, send_call

SPARE_PREFIX = "/spare/"  # of a route without traffic, which lends its name to others


class RouteNameChanger:
    """Changes the names of routes in version after version; hosts, paths and services stay as they are."""

    def __init__(self, rng: random.Random, control_addresses: Sequence[str]) -> None:
        self._rng, self._control_addresses = rng, control_addresses
        self.acknowledged_changes = 0

    async def change(self) -> None:
        """Submit one change on top of the newest version; it may be lost, since nodes fail meanwhile."""
        read = await self._call(HttpCall("GET", "/-/Configuration.Read"))
        if read is None:
            return
        config = with_changed_names(read, self._rng)
        headers = (("Content-Type", "application/json"), ("Amberlug-Base-Version", str(read["edition"])))
        call = HttpCall("POST", "/-/Configuration.Replace", headers, json.dumps(config).encode())
        self.acknowledged_changes += await self._call(call) is not None

    async def _call(self, call: HttpCall) -> ConfigDocument | None:
        """Call any control-plane node.

        :returns: the body of its response; None unless the status is 200.
        """
        sent = await send_call(self._rng.choice(self._control_addresses), call)
        if not isinstance(sent, Ok) or sent.ok_value.status != 200:
            return None
        body: ConfigDocument = json.loads(sent.ok_value.body or b"{}")
        return body


def with_changed_names(config: ConfigDocument, rng: random.Random) -> ConfigDocument:
    """The next edition of a configuration, in which routes are renamed, swap names or reuse a name."""
    changed = deepcopy(config)
    changed["edition"] += 1
    routes = changed["routeTable"]
    spare = next((route for route in routes if route["pathPrefix"] == SPARE_PREFIX), None)
    fresh_name = f"route-{changed['edition']}"
    if spare is None:
        # It takes the name of a route with traffic, which gets a new one.
        lender = rng.choice(routes)
        service = rng.choice(list(SERVICES))
        routes.append({**lender, "pathPrefix": SPARE_PREFIX, "targetService": service, "inSequence": False})
        lender["name"] = fresh_name
    elif rng.random() < 0.5:
        routes.remove(spare)
        rng.choice(routes)["name"] = spare["name"]
    else:
        one, other = rng.sample(routes, 2)
        one["name"], other["name"] = other["name"], one["name"]
    return changed
