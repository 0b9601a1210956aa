"""`python -m amberlug.cluster try`: a small deployment under load; an edge and a storage node are killed."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from amberlug.cluster.control.state_entries import ConfigDocument
from amberlug.cluster.interfaces import Headers, RequestFailure
from amberlug.cluster.local_deployment.deployment import (
    ENDPOINT_PORT,
    HOST,
    SERVICES,
    Deployment,
    initial_config,
)
from amberlug.cluster.local_deployment.fake_endpoint import (
    UNPROCESSABLE_PREFIX,
    EndpointSettings,
    FakeEndpoint,
)
from amberlug.cluster.local_deployment.http_call import HttpCall, send_call
from amberlug.cluster.local_deployment.trial_report import PENDING, SentMessage, TrialReport
from amberlug.http.link import Reply

ENDPOINT_ZONES = ("north", "south")  # zones of each service's endpoints
FIRST_ENDPOINT_HOST = 101  # last octet of the first endpoint's address
SEQUENCE_KEYS = 5
UNPROCESSABLE_INTERVAL = 40  # one of this many messages is rejected permanently
BODY_BYTES = 300
ATTEMPT_ID_BYTES = 8
DOWNTIME_S = 1.0  # from a machine's kill to its restart
CLIENT_TIMEOUT_S = 3.0  # total of a client's attempts
CLIENT_RETRY_S = 0.1  # delay between a client's attempts
PUSH_TIMEOUT_S = 10.0  # for the configuration to be accepted
END_TIMEOUT_S = 20.0  # for all accepted messages to end
REJOIN_TIMEOUT_S = 10.0  # for all machines to open a session again
MAX_CONCURRENT_LOOKUPS = 32
REJECTED_STATUSES = frozenset((408, 421, 429, 503))  # the message was not accepted, and will not be later

ReportProgress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class TrialLoad:
    """The rate and duration of the load that clients send."""

    rate_per_s: float
    duration_s: float


class Trial:
    """One trial of a deployment."""

    sequence_keys = SEQUENCE_KEYS

    def __init__(
        self, deployment: Deployment, load: TrialLoad, rng: random.Random, report_progress: ReportProgress
    ) -> None:
        self.deployment, self.load = deployment, load
        self.rng, self.report_progress = rng, report_progress
        self.report = TrialReport()
        self._endpoints: list[FakeEndpoint] = []
        self._time = asyncio.get_running_loop().time

    async def run(self) -> TrialReport:
        """Run the trial; no process is left running."""
        try:
            await self._run_scenario()
            self.report_progress("stopping all processes")
            unclean = await self.deployment.stop()
            self.report.failures += [f"{name}: its process did not exit cleanly" for name in unclean]
        finally:
            for endpoint in self._endpoints:
                endpoint.close()
            self.deployment.kill_all()
        for endpoint in self._endpoints:
            self.report.runs += endpoint.runs
        return self.report

    async def _run_scenario(self) -> None:
        deployment = self.deployment
        self.report_progress(
            f"starting {len(deployment.machines)} machines at {deployment.net}.x, in {deployment.folder}"
        )
        deployment.start_all()
        await self._start_endpoints()
        if not await deployment.wait_until(self._push_config, PUSH_TIMEOUT_S):
            self._fail("the configuration was not accepted")
            return
        if not await deployment.wait_until_ready():
            self._fail("the edge nodes did not become ready")
            return
        # As a platform does for every later start.
        deployment.write_settings(first_start=False)
        self.report_progress(f"{self.load.rate_per_s:g} messages per second for {self.load.duration_s:g} s")
        faults = asyncio.create_task(self._inject_faults())
        await self._send_load()
        await faults
        if not await deployment.wait_until(self._all_ended, END_TIMEOUT_S):
            self._fail("some accepted messages did not end")
        if not await deployment.wait_until(self._all_rejoined, REJOIN_TIMEOUT_S):
            self._fail("some machines did not open a session again")

    def _fail(self, reason: str) -> None:
        exited = self.deployment.exited()
        self.report.failures.append(
            reason + (f"; exited on their own: {', '.join(exited)}" if exited else "")
        )

    async def _start_endpoints(self) -> None:
        for service in SERVICES:
            for zone in ENDPOINT_ZONES:
                settings = self._endpoint_settings(service, zone)
                endpoint = FakeEndpoint(settings, self.deployment.control_addresses)
                host = f"{self.deployment.net}.{FIRST_ENDPOINT_HOST + len(self._endpoints)}"
                await endpoint.start(host, ENDPOINT_PORT)
                self._endpoints.append(endpoint)

    def _endpoint_settings(self, service: str, zone: str) -> EndpointSettings:
        """The settings of a service's endpoint in a zone."""
        return EndpointSettings(f"{service}-{zone}", service, zone)

    def _first_config(self) -> ConfigDocument:
        """The configuration that the deployment starts with."""
        return initial_config()

    async def _push_config(self) -> bool:
        """Send the configuration, unchanged on each attempt; True if a control-plane node acknowledges it."""
        headers = (("Content-Type", "application/json"), ("Amberlug-Base-Version", "0"))
        call = HttpCall(
            "POST", "/-/Configuration.Replace", headers, json.dumps(self._first_config()).encode()
        )
        sent = await send_call(self.rng.choice(self.deployment.control_addresses), call)
        return isinstance(sent, Ok) and sent.ok_value.status == 200

    # -- load

    async def _send_load(self) -> None:
        started_at, sending = self._time(), []
        for number in range(int(self.load.rate_per_s * self.load.duration_s)):
            await asyncio.sleep(started_at + number / self.load.rate_per_s - self._time())
            sending.append(asyncio.create_task(self._send_message(number)))
        await asyncio.gather(*sending)

    async def _send_message(self, number: int) -> None:
        """Submit a message as a client does: retried, with a new attempt id, only after a rejection."""
        service = list(SERVICES)[number % len(SERVICES)]
        key = f"thing-{self.rng.randrange(self.sequence_keys)}" if SERVICES[service] else ""
        is_unprocessable = number % UNPROCESSABLE_INTERVAL == UNPROCESSABLE_INTERVAL - 1
        message = SentMessage(key, is_unprocessable, delay_ms=self._draw_delay_ms())
        self.report.sent.append(message)
        body = (UNPROCESSABLE_PREFIX if is_unprocessable else b"") + secrets.token_bytes(BODY_BYTES)
        deadline = self._time() + CLIENT_TIMEOUT_S
        while not message.accepted_at and not message.is_outcome_unknown and self._time() < deadline:
            front = self.rng.choice(self.deployment.front_addresses)
            message.attempt_id, message.sent_at = secrets.token_hex(ATTEMPT_ID_BYTES), self._time()
            call = HttpCall("POST", f"/{service}/{number}", _submission_headers(message), body, HOST)
            await self._apply_response(message, await send_call(front, call))

    def _draw_delay_ms(self) -> int:
        """Draw the delay of a message; 0 for none."""
        return 0

    async def _apply_response(self, message: SentMessage, sent: Result[Reply, RequestFailure]) -> None:
        """Record the result of an attempt; after a rejection, wait before the next one."""
        if isinstance(sent, Ok) and sent.ok_value.status == 202:
            message.accepted_at = self._time()
            message.name = sent.ok_value.headers.get("amberlug-message-name", message.attempt_id)
        elif _is_rejection(sent):
            await asyncio.sleep(CLIENT_RETRY_S)
        else:
            message.is_outcome_unknown = True

    # -- faults

    async def _inject_faults(self) -> None:
        """Kill and restart an edge node, then a storage node."""
        for machine_class, delay_share in (("edge", 0.3), ("storage", 0.1)):
            await asyncio.sleep(self.load.duration_s * delay_share)
            machine = self.rng.choice(self.deployment.machines_of_class(machine_class))
            self.report_progress(f"{machine.name} is killed")
            self.deployment.kill(machine)
            await asyncio.sleep(DOWNTIME_S)
            self.deployment.start(machine)
            self.report_progress(f"{machine.name} is started again")

    # -- final state

    async def _all_ended(self) -> bool:
        """Look up pending accepted messages; True once all of them have ended."""
        pending = [message for message in self.report.accepted() if message.condition == PENDING]
        await asyncio.gather(*(self._look_up(message) for message in pending[:MAX_CONCURRENT_LOOKUPS]))
        return all(message.condition != PENDING for message in pending)

    async def _look_up(self, message: SentMessage) -> None:
        front = self.rng.choice(self.deployment.front_addresses)
        sent = await send_call(front, HttpCall("GET", f"/-/message/{message.name}"))
        if isinstance(sent, Ok) and sent.ok_value.status == 200:
            status = json.loads(sent.ok_value.body)
            message.condition, message.receipt = status["condition"], status.get("seal", "")

    async def _all_rejoined(self) -> bool:
        """Whether a control-plane node has reports from all edge and storage nodes."""
        sent = await send_call(
            self.rng.choice(self.deployment.control_addresses), HttpCall("GET", "/-/Foreman.Status")
        )
        if isinstance(sent, Err) or sent.ok_value.status != 200:
            return False
        sessions = json.loads(sent.ok_value.body)["members"]
        responsive = {session["name"] for session in sessions if session["told"] is not None}
        machines = self.deployment.machines.values()
        return responsive == {machine.name for machine in machines if machine.machine_class != "core"}


def _submission_headers(message: SentMessage) -> Headers:
    headers = [("Amberlug-Attempt-Id", message.attempt_id), ("Amberlug-Time-Remaining", "1500")]
    if message.sequence_key:
        headers.append(("Amberlug-Sequence-Key", message.sequence_key))
    if message.delay_ms:
        headers.append(("Amberlug-Not-Before", str(message.delay_ms)))
    return tuple(headers)


def _is_rejection(sent: Result[Reply, RequestFailure]) -> bool:
    """Whether the message was definitely not accepted."""
    if isinstance(sent, Err):
        return sent.err_value is RequestFailure.NOT_SENT
    return sent.ok_value.status in REJECTED_STATUSES
