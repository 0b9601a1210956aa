"""Commands of operators and endpoints: forwarded to the leader and executed there."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeAlias

from result import Err, Ok, Result

from amberlug.cluster.consensus.raft import ProposalRejected, RejectionReason, Role
from amberlug.cluster.control.cluster_state import digest
from amberlug.cluster.control.command_results import ACCEPTED, CommandOutcome, CommandResult, ConfirmedState
from amberlug.cluster.control.commands import (
    Command,
    DrainEndpoints,
    ReplaceConfig,
    RetireStore,
    TimedCommand,
    with_elapsed,
)
from amberlug.cluster.control.config_validation import ConfigErrors, apply_change, validate
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.peer_messages import CommandReply, ForwardCommand
from amberlug.cluster.control.reconciler import Reconciler
from amberlug.cluster.control.state_entries import ConfigDocument, EndpointDrain
from amberlug.cluster.control.submitted_commands import (
    ConfigCall,
    ReadState,
    SubmitConfig,
    SubmitDrains,
    SubmitRetirement,
    SubmittedCommand,
)
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import Responder, handles, request

FORWARD_TIMEOUT_S = 0.9  # for the leader to execute a command: callers wait for one second
MAX_CAUSES = 20  # configuration errors listed in one reply
# Rejections by `ClusterState.check_config` that do not depend on the content of the configuration: another
# version is in force, or it is no longer known whether the call was applied.
FINAL_STATUSES = (412, 503)

OutcomeCallback: TypeAlias = Callable[[Result[CommandOutcome, ProposalRejected]], None]
ResultCallback: TypeAlias = Callable[[Result[CommandResult, ProposalRejected]], None]
StateCallback: TypeAlias = Callable[[Result[ConfirmedState, ProposalRejected]], None]


class CommandExecutor:
    """Executes commands on the leader."""

    def __init__(self, context: ControlContext, reconciler: Reconciler) -> None:
        self._runtime, self._raft, self._quorum = context.runtime, context.raft, context.quorum
        self._cluster_state, self._sessions = context.cluster_state, context.sessions
        self._reconciler = reconciler
        self._clock_advanced_at_s = 0.0  # when this node last advanced the replicated clock

    def execute(self, command: SubmittedCommand, on_outcome: OutcomeCallback) -> None:
        """Execute a command; this node is the leader, or was until a moment ago.

        :param on_outcome: called when the outcome is committed, or cannot be determined on this node.
        """
        match command:
            case SubmitRetirement():
                self.when_confirmed(lambda: self._retire(command.node_name, on_outcome), on_outcome)
            case SubmitDrains():
                self._propose(self._timed(DrainEndpoints(command.drains)), on_outcome)
            case ReadState():
                self.when_confirmed(lambda: on_outcome(Ok(self._state())), on_outcome)
            case SubmitConfig():
                self.when_confirmed(lambda: self._change_config(command, on_outcome), on_outcome)

    def _propose(self, command: Command, on_result: ResultCallback) -> None:
        """Propose a command, and report its result once it is applied."""
        self._raft.propose(command.to_wire(), lambda outcome: on_result(outcome.map(CommandResult.from_wire)))

    def when_confirmed(self, action: Callable[[], None], on_outcome: OutcomeCallback) -> None:
        """Run an action once the local state is confirmed to be as recent as a majority's.

        No reply may be based on an older state: a new leader may not have applied everything that its
        predecessor committed, and a deposed leader lacks everything committed since. A rejection is final, so
        it needs the same confirmation as an acknowledgement.
        """

        def receive(index: int | None) -> None:
            """Run the action once the confirmed index is applied here; reject if no majority confirmed it."""
            if index is None:
                on_outcome(Err(self._raft.rejection(RejectionReason.NOT_LEADER)))
            else:
                self._quorum.call_when_applied(index, action)

        self._raft.confirm_read(receive)

    def _state(self) -> ConfirmedState:
        return ConfirmedState(self._cluster_state.config, self._cluster_state.retirements)

    def _timed(self, command: TimedCommand) -> TimedCommand:
        """Make a command advance the replicated clock by the time led by this node since the last advance."""
        now_s, since_s = self._runtime.now(), max(self._clock_advanced_at_s, self._raft.leader_since)
        self._clock_advanced_at_s = now_s
        return with_elapsed(command, round(now_s - since_s, 3))

    def _retire(self, name: str, on_result: ResultCallback) -> None:
        roster = self._cluster_state.roster
        remaining = {disk: store for disk, store in roster.items() if store.name != name}
        is_on_roster = len(remaining) < len(roster)
        if is_on_roster and not self._reconciler.can_hold_messages(remaining):
            cause = f"too few stores would be left without {name}"
            on_result(Ok(CommandResult.rejected(409, cause)))
        elif not is_on_roster and name in self._sessions.members(self._runtime.now()):
            # The node has a session but is not on the roster yet: the caller has to retry.
            on_result(Err(self._raft.rejection(RejectionReason.NOT_LEADER)))
        else:
            self._propose(RetireStore(name), on_result)

    def _change_config(self, command: SubmitConfig, on_result: ResultCallback) -> None:
        base_version = command.base_version
        version: Any = command.data.get("edition")  # validated only after the check for a repeated call
        call_hash = digest({"word": command.name, "base": base_version, "data": command.data})
        checked = ACCEPTED
        if isinstance(version, int):
            checked = self._cluster_state.check_config(base_version, version, call_hash)
        if checked.is_repeat or checked.status in FINAL_STATUSES:
            on_result(Ok(checked))
            return
        config = self._requested_config(command)
        causes = [str(error) for error in config.err_value] if isinstance(config, Err) else []
        if checked.is_rejected:
            causes.append(checked.cause)
        if causes or isinstance(config, Err):
            on_result(Ok(CommandResult.rejected(400, "; ".join(causes[:MAX_CAUSES]))))
            return
        replacement = ReplaceConfig(base_version, version, call_hash, config.ok_value)
        self._propose(self._timed(replacement), on_result)

    def _requested_config(self, command: SubmitConfig) -> Result[ConfigDocument, ConfigErrors]:
        """Return the complete configuration that a command requests, or all its errors."""
        if command.call is ConfigCall.REPLACE:
            return validate(command.data)
        return apply_change(self._cluster_state.config, command.data).and_then(validate)


class CommandService:
    """Submits commands to the leader, whichever node that is."""

    def __init__(self, context: ControlContext, executor: CommandExecutor) -> None:
        self._runtime, self._raft, self._quorum = context.runtime, context.raft, context.quorum
        self._executor = executor

    def change_config(self, command: SubmitConfig, on_result: ResultCallback) -> None:
        """Replace or modify the configuration."""
        self._submit_change(command, on_result)

    def retire_store(self, name: str, on_result: ResultCallback) -> None:
        """Start the retirement of a storage node."""
        self._submit_change(SubmitRetirement(name), on_result)

    def drain_endpoints(self, drains: Sequence[EndpointDrain], on_result: ResultCallback) -> None:
        """Replicate that endpoints are leaving or have left."""
        self._submit_change(SubmitDrains(drains), on_result)

    def read_state(self, on_state: StateCallback) -> None:
        """Read the state as confirmed by a majority."""
        self.submit(ReadState(), lambda outcome: on_state(outcome.map(_as_state)))

    def _submit_change(self, command: SubmittedCommand, on_result: ResultCallback) -> None:
        self.submit(command, lambda outcome: on_result(outcome.map(_as_result)))

    def submit(self, command: SubmittedCommand, on_outcome: OutcomeCallback) -> None:
        """Execute a command if this node is the leader, else forward it to the leader once.

        The control plane never retries a command: if the outcome is unknown, only the caller may do so.
        """
        if self._raft.role is Role.LEADER:
            self._executor.execute(command, on_outcome)
            return
        leader = self._quorum.leader_address()
        if leader is None:
            on_outcome(Err(self._raft.rejection(RejectionReason.NOT_LEADER)))
            return

        def receive(reply: Result[CommandReply, RequestFailure]) -> None:
            """Report the outcome of the forwarded command."""
            on_outcome(_outcome_of(reply, self._raft.leader_id))

        request(self._runtime, leader, ForwardCommand(command), FORWARD_TIMEOUT_S, receive)

    @handles(ForwardCommand)
    def on_forward_command(self, message: ForwardCommand, origin: str, respond: Responder) -> None:
        """Execute a command that another control-plane node forwards."""

        def reply(outcome: Result[CommandOutcome, ProposalRejected]) -> None:
            """Reply to the forwarding node, without a result if the command was rejected."""
            respond(CommandReply(outcome.ok_value if isinstance(outcome, Ok) else None))

        if self._raft.role is Role.LEADER:
            self._executor.execute(message.command, reply)
        else:
            respond(CommandReply(None))


def _outcome_of(
    reply: Result[CommandReply, RequestFailure], leader_id: str
) -> Result[CommandOutcome, ProposalRejected]:
    """Return the outcome of a forwarded command from the leader's reply."""
    if isinstance(reply, Err):
        return Err(ProposalRejected(RejectionReason.OUTCOME_UNKNOWN, leader_id=leader_id))
    outcome = reply.ok_value.outcome
    if outcome is None:
        return Err(ProposalRejected(RejectionReason.NOT_LEADER, leader_id=leader_id))
    return Ok(outcome)


def _as_result(outcome: CommandOutcome) -> CommandResult:
    assert isinstance(outcome, CommandResult), "the outcome of a change must be a CommandResult"
    return outcome


def _as_state(outcome: CommandOutcome) -> ConfirmedState:
    assert isinstance(outcome, ConfirmedState), "the outcome of a read must be a ConfirmedState"
    return outcome
