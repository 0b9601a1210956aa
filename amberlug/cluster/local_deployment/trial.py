"""`python -m amberlug.cluster try`: a small deployment under load that loses an edge and a store."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from result import Err, Ok

from amberlug.cluster.interfaces import Json, RequestFailure
from amberlug.cluster.local_deployment.deployment import ENDPOINT, HOST, SERVICES, Deployment, config
from amberlug.cluster.local_deployment.fake_endpoint import POISON, Run, StandIn
from amberlug.cluster.local_deployment.queries import ask

ENDPOINTS = 2  # of each service
KEYS = 5  # things whose messages go in sequence
POISONED = 40  # one message in so many can never be done
DOWN_S = 1.0  # that a killed machine stays down
PATIENCE_S = 3.0  # of a client, over all its tries
PAUSE_S = 0.1  # between a client's tries
PUSH_S = 10.0  # for the configuration to be taken
END_S = 20.0  # for all that was accepted to end
BACK_S = 10.0  # for all machines to be members again
ASKED_AT_ONCE = 32
PROMISES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Sent:
    """A message that a client sent; times of the loop's clock."""

    key: str
    poisoned: bool
    sent_at: float = 0.0  # its last try
    attempt: str = ""
    name: str = ""
    accepted_at: float = 0.0  # 0 while it is not
    unclear: bool = False
    condition: str = "pending"
    seal: str = ""


@dataclass(slots=True)
class Tale:
    """What came of a trial."""

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)

    def accepted(self) -> list[Sent]:
        """The messages that were accepted."""
        return [it for it in self.sent if it.accepted_at]

    def judged(self) -> list[str]:
        """All that did not go as it should."""
        runs: dict[str, list[Run]] = {}
        for run in self.runs:
            runs.setdefault(run.attempt, []).append(run)
        wrong = list(self.wrong)
        for it in self.accepted():
            wrong += _ended_well(it, runs.get(it.attempt, []))
        if not self.accepted():
            wrong.append("no message was accepted")
        return wrong + _order(self.accepted(), runs)

    def figures(self) -> Json:
        """The summary."""
        first: dict[str, float] = {}
        for run in self.runs:
            first[run.attempt] = min(run.begun, first.get(run.attempt, run.begun))
        accepted = self.accepted()
        acks = [it.accepted_at - it.sent_at for it in accepted]
        begins = [first[it.attempt] - it.sent_at for it in accepted if it.attempt in first]
        wrong = self.judged()
        return {
            "sent": len(self.sent),
            "accepted": len(accepted),
            "unclear": sum(it.unclear for it in self.sent),
            "refused": sum(not it.unclear and not it.accepted_at for it in self.sent),
            "delivered": sum(it.condition == "completed" for it in accepted),
            "ended": sum(it.condition != "pending" for it in accepted),
            "runs": len(self.runs),
            "accept_ms": _centiles(acks),
            "first_run_ms": _centiles(begins),
            "wrong": wrong,
        }


def _ended_well(it: Sent, runs: list[Run]) -> Iterable[str]:
    if it.poisoned:
        if it.condition != "failed" or not any(run.status == 422 for run in runs):
            yield f"{it.name}: can't be done, and is {it.condition} after {len(runs)} runs"
    elif it.condition != "completed":
        yield f"{it.name}: accepted, and is {it.condition} after {len(runs)} runs"
    elif it.seal not in {run.seal for run in runs if run.status == 200}:
        yield f"{it.name}: completed with the seal {it.seal!r}, which no run of it gave"


def _order(accepted: list[Sent], runs: dict[str, list[Run]]) -> list[str]:
    """Messages that began while one of their key, accepted before they were sent, had not ended."""
    wrong = []
    for key in sorted({it.key for it in accepted if it.key}):
        line = [it for it in accepted if it.key == key]
        for it in line:
            begun = min((run.begun for run in runs.get(it.attempt, [])), default=None)
            for before in line:
                if begun is None or before is it or before.accepted_at >= it.sent_at:
                    continue
                ends = [run.ended for run in runs.get(before.attempt, []) if run.status]
                if not ends or min(ends) > begun:
                    wrong.append(f"{it.name}: began before {before.name} of its key had ended")
    return wrong


def _centiles(seconds: list[float]) -> dict[str, float | None]:
    ranked = sorted(seconds)
    return {
        f"p{part}": round(1000 * ranked[min(len(ranked) - 1, len(ranked) * part // 100)], 1)
        if ranked
        else None
        for part in (50, 99)
    }


class Trial:
    """One trial of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        rate: float,
        seconds: float,
        rng: random.Random,
        say: Callable[[str], None],
    ) -> None:
        self.deployment, self.rate, self.seconds = deployment, rate, seconds
        self.rng, self.say = rng, say
        self.tale = Tale()
        self._stand_ins: list[StandIn] = []
        self._time = asyncio.get_running_loop().time

    async def run(self) -> Tale:
        """Play it, and leave nothing running."""
        try:
            await self._play()
            self.say("all processes are told to end")
            self.tale.wrong += [
                f"{it}: its process did not end as told" for it in await self.deployment.stop()
            ]
        finally:
            for it in self._stand_ins:
                it.close()
            self.deployment.kill_all()
        for it in self._stand_ins:
            self.tale.runs += it.runs
        return self.tale

    async def _play(self) -> None:
        deployment = self.deployment
        self.say(f"{len(deployment.machines)} machines begin at {deployment.net}.x, in {deployment.folder}")
        deployment.start_all()
        await self._endpoints()
        if not await deployment.until(self._configured, PUSH_S):
            self._fail("the configuration was not taken")
            return
        if not await deployment.ready():
            self._fail("the edges did not become ready")
            return
        # They are told, as a platform would at any later start, that this is not the first.
        deployment.write(first_start=False)
        self.say(f"{self.rate:g} messages a second for {self.seconds:g} s")
        trouble = asyncio.create_task(self._trouble())
        await self._load()
        await trouble
        if not await deployment.until(self._all_ended, END_S):
            self._fail("not all that was accepted has ended")
        if not await deployment.until(self._all_back, BACK_S):
            self._fail("not all machines are members again")

    def _fail(self, what: str) -> None:
        ended = self.deployment.ended()
        self.tale.wrong.append(what + (f"; ended by themselves: {', '.join(ended)}" if ended else ""))

    async def _endpoints(self) -> None:
        number = 0
        for service in SERVICES:
            for zone in ("north", "south")[:ENDPOINTS]:
                number += 1
                it = StandIn(f"{service}-{zone}", service, zone, self.deployment.controls)
                await it.begin(f"{self.deployment.net}.{100 + number}", ENDPOINT)
                self._stand_ins.append(it)

    async def _configured(self) -> bool:
        """Send the configuration, unchanged, until a control relay acknowledges it."""
        at = self.rng.choice(self.deployment.controls)
        headers = (("Content-Type", "application/json"), ("Amberlug-Base-Version", "0"))
        body = json.dumps(config()).encode()
        told = await ask(at, "POST", "/-/Configuration.Replace", headers, body)
        return isinstance(told, Ok) and told.ok_value.status == 200

    async def _load(self) -> None:
        begun, sending = self._time(), []
        for number in range(int(self.rate * self.seconds)):
            await asyncio.sleep(begun + number / self.rate - self._time())
            sending.append(asyncio.create_task(self._send(number)))
        await asyncio.gather(*sending)

    async def _send(self, number: int) -> None:
        """Hand a message in as a client does: again, as another attempt, only if it was surely not taken."""
        service = list(SERVICES)[number % len(SERVICES)]
        key = f"thing-{self.rng.randrange(KEYS)}" if SERVICES[service] else ""
        it = Sent(key, poisoned=number % POISONED == POISONED - 1)
        self.tale.sent.append(it)
        body = (POISON if it.poisoned else b"") + secrets.token_bytes(300)
        until = self._time() + PATIENCE_S
        while not it.accepted_at and self._time() < until:
            fronts = self.deployment.fronts
            it.attempt, it.sent_at = secrets.token_hex(8), self._time()
            headers = [("Amberlug-Attempt-Id", it.attempt), ("Amberlug-Time-Remaining", "1500")]
            headers += [("Amberlug-Sequence-Key", key)] if key else []
            told = await ask(
                self.rng.choice(fronts), "POST", f"/{service}/{number}", tuple(headers), body, HOST
            )
            if isinstance(told, Ok) and told.ok_value.status == 202:
                it.accepted_at = self._time()
                it.name = told.ok_value.headers.get("amberlug-message-name", it.attempt)
            elif told == Err(RequestFailure.NOT_SENT) or (
                isinstance(told, Ok) and told.ok_value.status in PROMISES
            ):
                await asyncio.sleep(PAUSE_S)
            else:
                it.unclear = True
                return

    async def _trouble(self) -> None:
        """An edge and a store are killed one after the other, and started again."""
        for kind, after in (("edge", 0.3), ("storage", 0.1)):
            await asyncio.sleep(self.seconds * after)
            machine = self.rng.choice(self.deployment.of(kind))
            self.say(f"{machine.name} is killed")
            self.deployment.kill(machine)
            await asyncio.sleep(DOWN_S)
            self.deployment.start(machine)
            self.say(f"{machine.name} is started again")

    async def _all_ended(self) -> bool:
        """Ask for what was accepted and has not ended, as far as is known."""
        waiting = [it for it in self.tale.accepted() if it.condition == "pending"]
        await asyncio.gather(*(self._look(it) for it in waiting[:ASKED_AT_ONCE]))
        return all(it.condition != "pending" for it in waiting)

    async def _look(self, it: Sent) -> None:
        told = await ask(self.rng.choice(self.deployment.fronts), "GET", f"/-/message/{it.name}")
        if isinstance(told, Ok) and told.ok_value.status == 200:
            said: dict[str, Any] = json.loads(told.ok_value.body)
            it.condition, it.seal = said["condition"], said.get("seal", "")

    async def _all_back(self) -> bool:
        """Whether a control relay has all edges and stores as members that answer."""
        at = self.rng.choice(self.deployment.controls)
        told = await ask(at, "GET", "/-/Foreman.Status")
        if isinstance(told, Err) or told.ok_value.status != 200:
            return False
        members = json.loads(told.ok_value.body)["members"]
        back = {it["name"] for it in members if it["told"] is not None}
        return back == {it.name for it in self.deployment.machines.values() if it.kind != "core"}


async def play(
    folder: Path, net: str, rate: float, seconds: float, rng: random.Random, say: Callable[[str], None]
) -> Tale:
    """Play a trial in a folder, at addresses that begin with `net`."""
    return await Trial(Deployment(folder, net), rate, seconds, rng, say).run()
