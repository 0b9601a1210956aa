"""HTTP calls that retire storage nodes: Retire.Begin and Retire.Read of the control API."""

from __future__ import annotations

from absl import logging
from result import Err, Result

from amberlug.cluster.consensus.raft import ProposalRejected
from amberlug.cluster.control.command_results import CommandResult, ConfirmedState
from amberlug.cluster.control.command_service import CommandService
from amberlug.cluster.control.state_entries import Retirement
from amberlug.cluster.http.api import (
    HttpRequest,
    HttpResponse,
    RespondHttp,
    api_call,
    read_json_object,
    unconfirmed,
)

MAX_CALL_BYTES = 4096


class RetirementApi:
    """Handles operators' calls that retire storage nodes."""

    def __init__(self, commands: CommandService) -> None:
        self._commands = commands

    @api_call("POST", "/-/Retire.Begin/")
    def begin_retirement(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Start the retirement of a storage node, which re-replicates its messages to other nodes."""
        arguments = read_json_object(request, respond, MAX_CALL_BYTES)
        if arguments is None:
            return
        duration_s = arguments.get("durationS")
        if isinstance(duration_s, bool) or not isinstance(duration_s, int | float) or duration_s < 0:
            respond(HttpResponse(400, {"cause": "durationS: no number of seconds"}))
            return

        def receive(result: Result[CommandResult, ProposalRejected]) -> None:
            """Respond with the result of the command, or an error if it was not confirmed."""
            if isinstance(result, Err):
                respond(unconfirmed())
            elif result.ok_value.is_rejected:
                respond(HttpResponse(result.ok_value.status, {"cause": result.ok_value.cause}))
            else:
                logging.info("retirement of storage node %s started", name)
                respond(HttpResponse(200, {"condition": Retirement.IN_PROGRESS.value}))

        self._commands.retire_store(name, receive)

    @api_call("GET", "/-/Retire.Read/")
    def read_retirement(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with the progress of a retirement as confirmed by a majority."""

        def receive(result: Result[ConfirmedState, ProposalRejected]) -> None:
            """Respond with the progress; 404 if the storage node is not being retired."""
            if isinstance(result, Err):
                respond(unconfirmed())
            elif (retirement := result.ok_value.retirements.get(name)) is None:
                respond(HttpResponse(404, {"cause": f"{name} is not being emptied"}))
            else:
                respond(HttpResponse(200, {"condition": retirement.value}))

        self._commands.read_state(receive)
