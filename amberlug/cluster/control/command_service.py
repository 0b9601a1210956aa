"""Commands of operators and endpoints: forwarded to the leader, and carried out there."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from amberlug.cluster.consensus.raft import ProposalRejected, RejectionReason, Role
from amberlug.cluster.control.cluster_state import digest
from amberlug.cluster.control.commands import (
    ACCEPTED,
    CommandResult,
    ConfirmedState,
    DrainEndpoints,
    ReplaceConfig,
    RetireStore,
    TimedCommand,
    with_elapsed,
)
from amberlug.cluster.control.config_validation import apply_change, find_errors
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.peer_messages import CommandReply, ForwardCommand
from amberlug.cluster.control.reconciler import Reconciler
from amberlug.cluster.control.state_entries import EndpointDrain
from amberlug.cluster.control.submitted_commands import (
    ConfigCall,
    ReadState,
    SubmitConfig,
    SubmitDrains,
    SubmitRetirement,
    SubmittedCommand,
)
from amberlug.cluster.interfaces import Json, RequestFailure
from amberlug.cluster.rpc.messages import Responder, handles, request

FORWARD_TIMEOUT_S = 0.9  # for the leader to carry out a command: callers wait for a second
MAX_CAUSES = 20  # errors of a configuration that one reply names

# What came of a command, in the JSON form of a `CommandResult` or a `ConfirmedState`.
OnReply = Callable[[Result[Json, ProposalRejected]], None]
OnResult = Callable[[Result[CommandResult, ProposalRejected]], None]
OnState = Callable[[Result[ConfirmedState, ProposalRejected]], None]


class CommandExecutor:
    """Carries commands out on the leader."""

    def __init__(self, context: ControlContext, reconciler: Reconciler) -> None:
        self._runtime, self._raft, self._quorum = context.runtime, context.raft, context.quorum
        self._cluster_state, self._sessions = context.cluster_state, context.sessions
        self._reconciler = reconciler
        self._clock_advanced_at_s = 0.0  # when this node last advanced the replicated clock

    def execute(self, command: SubmittedCommand, on_reply: OnReply) -> None:
        """Carry out a command; this node leads, or did so a moment ago.

        :param on_reply: called once the outcome is committed, or cannot be known here.
        """
        match command:
            case SubmitRetirement():
                self.when_confirmed(lambda: self._retire(command.node_name, on_reply), on_reply)
            case SubmitDrains():
                drain = self._timed(DrainEndpoints(command.drains))
                self._raft.propose(drain.to_wire(), on_reply)
            case ReadState():
                self.when_confirmed(lambda: on_reply(Ok(self._state().to_wire())), on_reply)
            case SubmitConfig():
                self.when_confirmed(lambda: self._change_config(command, on_reply), on_reply)

    def when_confirmed(self, action: Callable[[], None], on_reply: OnReply) -> None:
        """Act once the state here is confirmed to be as new as a majority's; no reply may be older.

        A new leader's state may lack what the one before it committed, and a deposed leader knows nothing of
        what came since. A rejection ends a command for good, so it needs as much as an acknowledgement.
        """

        def receive(index: int | None) -> None:
            if index is None:
                on_reply(Err(self._raft.rejection(RejectionReason.NOT_LEADER)))
            else:
                self._quorum.call_when_applied(index, action)

        self._raft.confirm_read(receive)

    def _state(self) -> ConfirmedState:
        return ConfirmedState(self._cluster_state.config, self._cluster_state.retirements)

    def _timed(self, command: TimedCommand) -> TimedCommand:
        """The command, advancing the replicated clock by the time that this node led since it last did so."""
        now_s, since_s = self._runtime.now(), max(self._clock_advanced_at_s, self._raft.leader_since)
        self._clock_advanced_at_s = now_s
        return with_elapsed(command, round(now_s - since_s, 3))

    def _retire(self, name: str, on_reply: OnReply) -> None:
        roster = self._cluster_state.roster
        remaining = {disk: store for disk, store in roster.items() if store.name != name}
        is_on_roster = len(remaining) < len(roster)
        if is_on_roster and not self._reconciler.can_hold_messages(remaining):
            cause = f"too few stores would be left without {name}"
            on_reply(Ok(CommandResult.rejected(409, cause).to_wire()))
        elif not is_on_roster and name in self._sessions.members(self._runtime.now()):
            on_reply(
                Err(self._raft.rejection(RejectionReason.NOT_LEADER))
            )  # it has come, and is not on the roster yet
        else:
            self._raft.propose(RetireStore(name).to_wire(), on_reply)

    def _change_config(self, command: SubmitConfig, on_reply: OnReply) -> None:
        base_version, data = command.base_version, command.data
        version: Any = data.get("edition")  # validated with the rest, after a repeated call is recognized
        call_hash = digest({"word": command.name, "base": base_version, "data": data})
        result = ACCEPTED
        if isinstance(version, int):
            result = self._cluster_state.check_config(base_version, version, call_hash)
        if result.is_repeat or result.status in (412, 503):
            on_reply(Ok(result.to_wire()))
            return
        is_change = command.call is ConfigCall.MODIFY
        config = apply_change(self._cluster_state.config, data) if is_change else Ok(data)
        causes = config.err_value if isinstance(config, Err) else find_errors(config.ok_value)
        if result.is_rejected:
            causes = [*causes, result.cause]
        if causes or isinstance(config, Err):
            rejected = CommandResult.rejected(400, "; ".join(causes[:MAX_CAUSES]))
            on_reply(Ok(rejected.to_wire()))
            return
        replacement = ReplaceConfig(base_version, version, call_hash, config.ok_value)
        self._raft.propose(self._timed(replacement).to_wire(), on_reply)


class CommandService:
    """Submits commands to the leader, wherever it is."""

    def __init__(self, context: ControlContext, executor: CommandExecutor) -> None:
        self._runtime, self._raft, self._quorum = context.runtime, context.raft, context.quorum
        self._executor = executor

    def change_config(self, command: SubmitConfig, on_result: OnResult) -> None:
        """Replace or modify the configuration."""
        self._submit_change(command, on_result)

    def retire_store(self, name: str, on_result: OnResult) -> None:
        """Have a storage node emptied."""
        self._submit_change(SubmitRetirement(name), on_result)

    def drain_endpoints(self, drains: Sequence[EndpointDrain], on_result: OnResult) -> None:
        """Replicate that endpoints leave, or have left."""
        self._submit_change(SubmitDrains(drains), on_result)

    def read_state(self, on_state: OnState) -> None:
        """Read the state that a majority has confirmed."""
        self.submit(ReadState(), lambda result: on_state(result.map(ConfirmedState.from_wire)))

    def _submit_change(self, command: SubmittedCommand, on_result: OnResult) -> None:
        self.submit(command, lambda result: on_result(result.map(CommandResult.from_wire)))

    def submit(self, command: SubmittedCommand, on_reply: OnReply) -> None:
        """Carry out a command here where this node leads, else forward it to the leader once.

        Nobody sends it again: where the outcome is unknown, only its caller may do so.
        """
        if self._raft.role is Role.LEADER:
            self._executor.execute(command, on_reply)
            return
        leader = self._quorum.leader_address()
        if leader is None:
            on_reply(Err(self._raft.rejection(RejectionReason.NOT_LEADER)))
            return

        def receive(reply: Result[CommandReply, RequestFailure]) -> None:
            on_reply(_result_of(reply, self._raft.leader_id))

        request(self._runtime, leader, ForwardCommand(command), FORWARD_TIMEOUT_S, receive)

    @handles(ForwardCommand)
    def on_forward_command(self, message: ForwardCommand, origin: str, respond: Responder) -> None:
        """Carry out a command that another control-plane node forwards."""

        def reply(result: Result[Json, ProposalRejected]) -> None:
            respond(CommandReply(result.ok_value if isinstance(result, Ok) else None))

        if self._raft.role is Role.LEADER:
            self._executor.execute(message.command, reply)
        else:
            respond(CommandReply(None))


def _result_of(reply: Result[CommandReply, RequestFailure], leader: str) -> Result[Json, ProposalRejected]:
    if isinstance(reply, Err):
        return Err(ProposalRejected(RejectionReason.OUTCOME_UNKNOWN, leader_id=leader))
    result = reply.ok_value.result
    if result is None:
        return Err(ProposalRejected(RejectionReason.NOT_LEADER, leader_id=leader))
    return Ok(result)
