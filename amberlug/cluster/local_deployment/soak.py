"""`python -m amberlug.cluster soak`: real processes under overlapping random faults.

While messages are sent, processes are killed and paused, links between machines are cut, replies are lost,
one storage node loses its disk, and the names of routes change. Then all faults are healed, all processes
are killed at the same time, another disk is lost, and each storage node in turn is paused while every message
is looked up. Throughout, no accepted message may be unknown to an edge node, no message that was reported as
ended may be reported as pending, no message may run at the service of another path, and no node may count or
log an invariant violation.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable, Sequence

from result import Ok

from amberlug.cluster.edge.answer_history import VIOLATION_PREFIX
from amberlug.cluster.local_deployment.deployment import READY_TIMEOUT_S, Deployment, Machine
from amberlug.cluster.local_deployment.faulty_process import NetworkFaults
from amberlug.cluster.local_deployment.http_call import HttpCall, send_call
from amberlug.cluster.local_deployment.route_changes import RouteNameChanger
from amberlug.cluster.local_deployment.trial import (
    END_TIMEOUT_S,
    MAX_CONCURRENT_LOOKUPS,
    ReportProgress,
    Trial,
    TrialLoad,
)
from amberlug.cluster.local_deployment.trial_report import PENDING, SentMessage

FAULT_SEQUENCES = 3  # run concurrently, each with one fault at a time
FAULT_DURATION_RANGE_S = (0.2, 2.5)  # duration of one fault
FAULT_INTERVAL_RANGE_S = (0.1, 1.0)  # pause between two faults of one sequence
LOST_REPLIES_RANGE = (0.02, 0.2)  # fraction of replies that are lost during such a fault
ROUTE_CHANGE_INTERVAL_RANGE_S = (0.2, 1.0)  # pause between two changes of the routes' names
DELAYED_MESSAGES = 0.3  # fraction of the messages that are delayed
MAX_DELAY_MS = 1500
LOOKUP_INTERVAL_S = 0.02  # between lookups while messages are sent
HEAL_TIMEOUT_S = 20.0  # for all nodes to rejoin, and the roster to be complete
UNKNOWN_STATUSES = (404, 410)
UNAVAILABLE_STATUS = 503
RETRY_AFTER_S = 1.0  # as in the edge nodes' Retry-After
MAX_RETRIES = 2
# In a node's log: violated invariants and unhandled errors.
LOG_ERROR_MARKERS = (VIOLATION_PREFIX, "AssertionError", "Traceback")


class Soak(Trial):
    """One soak of a deployment whose machines run `faulty_process`."""

    def __init__(
        self, deployment: Deployment, load: TrialLoad, rng: random.Random, report_progress: ReportProgress
    ) -> None:
        super().__init__(deployment, load, rng, report_progress)
        self._machines_with_fault: set[str] = set()  # names of machines affected by a fault
        self._reported_ended: set[str] = set()  # names of messages that were reported as ended
        self._faults = NetworkFaults()
        self._erased_disk_ids: set[str] = set()

    async def _run_scenario(self) -> None:
        self._write_network_faults()
        await super()._run_scenario()
        if not self.report.failures:
            await self._kill_all_and_erase_disk()
            await self._look_up_with_each_storage_node_paused()
        self.report.failures += self.deployment.find_in_logs(LOG_ERROR_MARKERS)

    # -- faults while messages are sent

    async def _inject_faults(self) -> None:
        deadline = self._time() + self.load.duration_s
        fault_sequences = [self._inject_fault_sequence(deadline) for _ in range(FAULT_SEQUENCES)]
        polling = asyncio.create_task(self._poll_accepted_messages())
        await asyncio.gather(self._erase_random_disk(), self._change_route_names(deadline), *fault_sequences)
        polling.cancel()
        await self._wait_until_healed()

    async def _inject_fault_sequence(self, deadline: float) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill_machine,
            self._pause_machine,
            self._cut_links,
            self._lose_replies,
        ]
        while self._time() < deadline:
            await self.rng.choice(faults)()
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_RANGE_S))

    async def _change_route_names(self, deadline: float) -> None:
        changer = RouteNameChanger(self.rng, self.deployment.control_addresses)
        while self._time() < deadline:
            await changer.change()
            await asyncio.sleep(self.rng.uniform(*ROUTE_CHANGE_INTERVAL_RANGE_S))
        self.report_progress(f"the names of routes changed in {changer.acknowledged_changes} versions")

    def _draw_delay_ms(self) -> int:
        return self.rng.randrange(1, MAX_DELAY_MS) if self.rng.random() < DELAYED_MESSAGES else 0

    def _pick_machine(self, machine_class: str = "") -> Machine | None:
        """Pick a machine without a fault, but not the last such machine of its class."""
        machines = self.deployment.machines.values()
        unaffected = [machine for machine in machines if machine.name not in self._machines_with_fault]
        classes = [machine.machine_class for machine in unaffected]
        candidates = [
            machine
            for machine in unaffected
            if classes.count(machine.machine_class) > 1 and machine.machine_class.startswith(machine_class)
        ]
        return self.rng.choice(candidates) if candidates else None

    async def _kill_machine(self) -> None:
        machine = self._pick_machine()
        if machine is not None:
            await self._kill_and_restart(machine, erase=False)

    async def _erase_random_disk(self) -> None:
        """Erase one storage node's disk, in addition to the other active faults."""
        await asyncio.sleep(self.rng.uniform(0.2, 0.6) * self.load.duration_s)
        machine = self._pick_machine("storage")
        if machine is not None:
            await self._kill_and_restart(machine, erase=True)

    async def _kill_and_restart(self, machine: Machine, erase: bool) -> None:
        self._machines_with_fault.add(machine.name)
        self.deployment.kill(machine)
        if erase:
            self.report_progress(f"{machine.name} loses its disk")
            self._erase_disk(machine)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
        self.deployment.start(machine)
        self._machines_with_fault.discard(machine.name)

    def _erase_disk(self, machine: Machine) -> None:
        disk_id = self.deployment.disk_id_of(machine)
        if disk_id is not None:
            self._erased_disk_ids.add(disk_id)
        self.deployment.erase_disk(machine)

    async def _pause_machine(self) -> None:
        machine = self._pick_machine()
        if machine is not None:
            self._machines_with_fault.add(machine.name)
            _signal(machine, signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
            _signal(machine, signal.SIGCONT)
            self._machines_with_fault.discard(machine.name)

    async def _cut_links(self) -> None:
        """Cut some of a machine's links."""
        machines = list(self.deployment.machines.values())
        machine = self.rng.choice(machines)
        others = self.rng.sample(machines, self.rng.randrange(1, len(machines)))
        pairs = {frozenset((machine.ip, other.ip)) for other in others if other is not machine}
        self._faults = NetworkFaults(self._faults.cut | pairs, self._faults.lost_replies)
        self._write_network_faults()
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
        self._faults = NetworkFaults(self._faults.cut - pairs, self._faults.lost_replies)
        self._write_network_faults()

    async def _lose_replies(self) -> None:
        self._faults = NetworkFaults(self._faults.cut, self.rng.uniform(*LOST_REPLIES_RANGE))
        self._write_network_faults()
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
        self._faults = NetworkFaults(self._faults.cut)
        self._write_network_faults()

    def _write_network_faults(self) -> None:
        self._faults.write(self.deployment.network_faults_path)

    # -- the final fault

    async def _wait_until_healed(self) -> None:
        """Wait until all nodes have rejoined, and each storage node has exactly one disk, which is in use."""
        if not await self.deployment.wait_until(self._is_healed, HEAL_TIMEOUT_S):
            self._fail("some nodes have not rejoined, or a lost disk is still on the roster")

    async def _is_healed(self) -> bool:
        control = self.rng.choice(self.deployment.control_addresses)
        sent = await send_call(control, HttpCall("GET", "/-/Foreman.Status"))
        if not isinstance(sent, Ok) or sent.ok_value.status != 200:
            return False
        disks = json.loads(sent.ok_value.body)["stores"]
        has_all_disks = (
            len(disks) == len(self.deployment.machines_of_class("storage"))
            and all(disk["state"] == "full" for disk in disks.values())
            and not self._erased_disk_ids & set(disks)  # a lost disk counts as full until it is replaced
        )
        return has_all_disks and await self._all_rejoined()

    async def _kill_all_and_erase_disk(self) -> None:
        machine = self.rng.choice(self.deployment.machines_of_class("storage"))
        self.report_progress(f"all machines are killed, {machine.name} loses its disk")
        self.deployment.kill_all()
        self._erase_disk(machine)
        for each_machine in self.deployment.machines.values():
            self.deployment.start(each_machine)
        if not await self.deployment.wait_until_ready():
            self._fail(
                f"the edge nodes did not become ready within {READY_TIMEOUT_S:g} s after the final fault"
            )
        await self._wait_until_healed()
        if not await self.deployment.wait_until(self._all_ended, END_TIMEOUT_S):
            self._fail("some accepted messages did not end after the final fault")

    # -- answers

    async def _poll_accepted_messages(self) -> None:
        """Continuously look up random accepted messages at random edge nodes."""
        lookups: set[asyncio.Task[int]] = set()
        while True:
            accepted = self.report.accepted()
            if accepted and self.deployment.front_addresses and len(lookups) < MAX_CONCURRENT_LOOKUPS:
                task = asyncio.create_task(self._check_message(self.rng.choice(accepted)))
                lookups.add(task)
                task.add_done_callback(lookups.discard)
            await asyncio.sleep(LOOKUP_INTERVAL_S)

    async def _look_up(self, message: SentMessage) -> None:
        await self._check_message(message)

    async def _check_message(self, message: SentMessage) -> int:
        """Look a message up once; a response that contradicts an earlier one is a failure.

        :returns: the status of the response; 0 if there was none.
        """
        was_ended = message.name in self._reported_ended
        front = self.rng.choice(self.deployment.front_addresses)
        sent = await send_call(front, HttpCall("GET", f"/-/message/{message.name}"))
        if not isinstance(sent, Ok):
            return 0
        status = sent.ok_value.status
        if status in UNKNOWN_STATUSES:
            self.report.failures.append(f"{message.name}: accepted, but {front} responds with {status}")
        elif status == 200:
            self._apply_status(message, json.loads(sent.ok_value.body), was_ended, front)
        return status

    def _apply_status(self, message: SentMessage, body: dict[str, str], was_ended: bool, front: str) -> None:
        if body["condition"] != PENDING:
            self._reported_ended.add(message.name)
            message.condition, message.receipt = body["condition"], body.get("seal", "")
        elif was_ended:
            self.report.failures.append(f"{message.name}: has ended, but {front} reports {PENDING}")

    async def _look_up_with_each_storage_node_paused(self) -> None:
        """Check that all accepted messages are reported as ended while one storage node is paused."""
        for machine in self.deployment.machines_of_class("storage"):
            self.report_progress(f"all messages are looked up without {machine.name}")
            _signal(machine, signal.SIGSTOP)
            accepted = self.report.accepted()
            for start in range(0, len(accepted), MAX_CONCURRENT_LOOKUPS):
                batch = accepted[start : start + MAX_CONCURRENT_LOOKUPS]
                statuses = await asyncio.gather(
                    *(self._check_message_with_retries(message) for message in batch)
                )
                self._record_failed_lookups(machine, batch, statuses)
            _signal(machine, signal.SIGCONT)
            await self._wait_until_healed()

    async def _check_message_with_retries(self, message: SentMessage) -> int:
        """Look a message up as clients do: retry after a delay while its status is unavailable.

        A new roster reaches the nodes one after another; until then they respond with 503.
        """
        status = await self._check_message(message)
        for _ in range(MAX_RETRIES):
            if status != UNAVAILABLE_STATUS:
                break
            await asyncio.sleep(RETRY_AFTER_S)
            status = await self._check_message(message)
        return status

    def _record_failed_lookups(
        self, unresponsive: Machine, batch: Sequence[SentMessage], statuses: Sequence[int]
    ) -> None:
        for message, status in zip(batch, statuses, strict=True):
            if status != 200:
                self.report.failures.append(
                    f"{message.name}: status {status} while {unresponsive.name} is paused"
                )


def _signal(machine: Machine, number: signal.Signals) -> None:
    if machine.process is not None:
        machine.process.send_signal(number)
