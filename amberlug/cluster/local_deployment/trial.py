"""`python -m amberlug.cluster try`: a small deployment under load that loses an edge and a storage node."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Headers, RequestFailure
from amberlug.cluster.local_deployment.deployment import ENDPOINT_PORT, HOST, SERVICES, Deployment, config
from amberlug.cluster.local_deployment.fake_endpoint import (
    UNPROCESSABLE_PREFIX,
    EndpointSettings,
    FakeEndpoint,
)
from amberlug.cluster.local_deployment.http_call import HttpCall, send_call
from amberlug.cluster.local_deployment.trial_report import PENDING, SentMessage, TrialReport
from amberlug.http.link import Reply

ENDPOINT_ZONES = ("north", "south")  # of the endpoints of each service
FIRST_ENDPOINT_HOST = 101  # the last number of the first endpoint's address
SEQUENCE_KEYS = 5
UNPROCESSABLE_INTERVAL = 40  # one message in so many is rejected for good
BODY_BYTES = 300
ATTEMPT_ID_BYTES = 8
DOWNTIME_S = 1.0  # of a killed machine
CLIENT_TIMEOUT_S = 3.0  # of a client, over all its attempts
CLIENT_RETRY_S = 0.1  # between a client's attempts
PUSH_TIMEOUT_S = 10.0  # for the configuration to be accepted
END_TIMEOUT_S = 20.0  # for all that was accepted to end
REJOIN_TIMEOUT_S = 10.0  # for all machines to have a session again
MAX_CONCURRENT_LOOKUPS = 32
REJECTED_STATUSES = frozenset((408, 421, 429, 503))  # the message was not accepted, and never will be

ReportProgress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class TrialLoad:
    """What clients send: so many messages a second, for so many seconds."""

    rate_per_s: float
    duration_s: float


class Trial:
    """One trial of a deployment."""

    def __init__(
        self, deployment: Deployment, load: TrialLoad, rng: random.Random, report_progress: ReportProgress
    ) -> None:
        self.deployment, self.load = deployment, load
        self.rng, self.report_progress = rng, report_progress
        self.report = TrialReport()
        self._endpoints: list[FakeEndpoint] = []
        self._time = asyncio.get_running_loop().time

    async def run(self) -> TrialReport:
        """Play it, and leave nothing running."""
        try:
            await self._play()
            self.report_progress("all processes are stopped")
            unclean = await self.deployment.stop()
            self.report.failures += [f"{name}: its process did not stop as it should" for name in unclean]
        finally:
            for endpoint in self._endpoints:
                endpoint.close()
            self.deployment.kill_all()
        for endpoint in self._endpoints:
            self.report.runs += endpoint.runs
        return self.report

    async def _play(self) -> None:
        deployment = self.deployment
        self.report_progress(
            f"{len(deployment.machines)} machines start at {deployment.net}.x, in {deployment.folder}"
        )
        deployment.start_all()
        await self._start_endpoints()
        if not await deployment.wait_until(self._push_config, PUSH_TIMEOUT_S):
            self._fail("the configuration was not accepted")
            return
        if not await deployment.wait_until_ready():
            self._fail("the edge nodes did not become ready")
            return
        # As a platform does at any later start: this is not the first.
        deployment.write_settings(first_start=False)
        self.report_progress(f"{self.load.rate_per_s:g} messages a second for {self.load.duration_s:g} s")
        faults = asyncio.create_task(self._inject_faults())
        await self._send_load()
        await faults
        if not await deployment.wait_until(self._all_ended, END_TIMEOUT_S):
            self._fail("not all that was accepted has ended")
        if not await deployment.wait_until(self._all_rejoined, REJOIN_TIMEOUT_S):
            self._fail("not all machines have a session again")

    def _fail(self, reason: str) -> None:
        exited = self.deployment.exited()
        self.report.failures.append(
            reason + (f"; exited by themselves: {', '.join(exited)}" if exited else "")
        )

    async def _start_endpoints(self) -> None:
        for service in SERVICES:
            for zone in ENDPOINT_ZONES:
                settings = EndpointSettings(f"{service}-{zone}", service, zone)
                endpoint = FakeEndpoint(settings, self.deployment.controls)
                host = f"{self.deployment.net}.{FIRST_ENDPOINT_HOST + len(self._endpoints)}"
                await endpoint.start(host, ENDPOINT_PORT)
                self._endpoints.append(endpoint)

    async def _push_config(self) -> bool:
        """Send the configuration, unchanged on each attempt; whether a control-plane node acknowledges it."""
        headers = (("Content-Type", "application/json"), ("Amberlug-Base-Version", "0"))
        call = HttpCall("POST", "/-/Configuration.Replace", headers, json.dumps(config()).encode())
        sent = await send_call(self.rng.choice(self.deployment.controls), call)
        return isinstance(sent, Ok) and sent.ok_value.status == 200

    # -- load

    async def _send_load(self) -> None:
        started_at, sending = self._time(), []
        for number in range(int(self.load.rate_per_s * self.load.duration_s)):
            await asyncio.sleep(started_at + number / self.load.rate_per_s - self._time())
            sending.append(asyncio.create_task(self._send_message(number)))
        await asyncio.gather(*sending)

    async def _send_message(self, number: int) -> None:
        """Submit a message as a client does: again, as another attempt, only after a rejection."""
        service = list(SERVICES)[number % len(SERVICES)]
        key = f"thing-{self.rng.randrange(SEQUENCE_KEYS)}" if SERVICES[service] else ""
        is_unprocessable = number % UNPROCESSABLE_INTERVAL == UNPROCESSABLE_INTERVAL - 1
        message = SentMessage(key, is_unprocessable)
        self.report.sent.append(message)
        body = (UNPROCESSABLE_PREFIX if is_unprocessable else b"") + secrets.token_bytes(BODY_BYTES)
        deadline = self._time() + CLIENT_TIMEOUT_S
        while not message.accepted_at and not message.is_outcome_unknown and self._time() < deadline:
            front = self.rng.choice(self.deployment.fronts)
            message.attempt_id, message.sent_at = secrets.token_hex(ATTEMPT_ID_BYTES), self._time()
            call = HttpCall("POST", f"/{service}/{number}", _submission_headers(message), body, HOST)
            await self._apply_response(message, await send_call(front, call))

    async def _apply_response(self, message: SentMessage, sent: Result[Reply, RequestFailure]) -> None:
        """Note what came of an attempt; after a rejection, wait for the next one."""
        if isinstance(sent, Ok) and sent.ok_value.status == 202:
            message.accepted_at = self._time()
            message.name = sent.ok_value.headers.get("amberlug-message-name", message.attempt_id)
        elif _is_rejection(sent):
            await asyncio.sleep(CLIENT_RETRY_S)
        else:
            message.is_outcome_unknown = True

    # -- faults

    async def _inject_faults(self) -> None:
        """An edge and a storage node are killed one after the other, and started again."""
        for machine_class, delay_share in (("edge", 0.3), ("storage", 0.1)):
            await asyncio.sleep(self.load.duration_s * delay_share)
            machine = self.rng.choice(self.deployment.of(machine_class))
            self.report_progress(f"{machine.name} is killed")
            self.deployment.kill(machine)
            await asyncio.sleep(DOWNTIME_S)
            self.deployment.start(machine)
            self.report_progress(f"{machine.name} is started again")

    # -- the end

    async def _all_ended(self) -> bool:
        """Look up the messages that were accepted, and have not ended as far as is known."""
        pending = [message for message in self.report.accepted() if message.condition == PENDING]
        await asyncio.gather(*(self._look_up(message) for message in pending[:MAX_CONCURRENT_LOOKUPS]))
        return all(message.condition != PENDING for message in pending)

    async def _look_up(self, message: SentMessage) -> None:
        front = self.rng.choice(self.deployment.fronts)
        sent = await send_call(front, HttpCall("GET", f"/-/message/{message.name}"))
        if isinstance(sent, Ok) and sent.ok_value.status == 200:
            status = json.loads(sent.ok_value.body)
            message.condition, message.receipt = status["condition"], status.get("seal", "")

    async def _all_rejoined(self) -> bool:
        """Whether a control-plane node has a report of each edge and storage node."""
        sent = await send_call(
            self.rng.choice(self.deployment.controls), HttpCall("GET", "/-/Foreman.Status")
        )
        if isinstance(sent, Err) or sent.ok_value.status != 200:
            return False
        sessions = json.loads(sent.ok_value.body)["members"]
        responsive = {session["name"] for session in sessions if session["told"] is not None}
        machines = self.deployment.machines.values()
        return responsive == {machine.name for machine in machines if machine.machine_class != "core"}


def _submission_headers(message: SentMessage) -> Headers:
    headers = (("Amberlug-Attempt-Id", message.attempt_id), ("Amberlug-Time-Remaining", "1500"))
    return (*headers, ("Amberlug-Sequence-Key", message.sequence_key)) if message.sequence_key else headers


def _is_rejection(sent: Result[Reply, RequestFailure]) -> bool:
    """Whether the message was certainly not accepted."""
    if isinstance(sent, Err):
        return sent.err_value is RequestFailure.NOT_SENT
    return sent.ok_value.status in REJECTED_STATUSES
