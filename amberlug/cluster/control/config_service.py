"""HTTP calls for the configuration: Replace, Modify and Read of the control API."""

from __future__ import annotations

from absl import logging
from result import Err, Result

from amberlug.cluster.consensus.raft import ProposalRejected
from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.command_results import CommandResult, ConfirmedState
from amberlug.cluster.control.command_service import CommandService
from amberlug.cluster.control.config_validation import parse
from amberlug.cluster.control.submitted_commands import ConfigCall, SubmitConfig
from amberlug.cluster.http.api import HttpRequest, HttpResponse, RespondHttp, api_call, unconfirmed
from amberlug.cluster.metrics import Counters

BASE_VERSION_HEADER = "amberlug-base-version"


class ConfigService:
    """Handles operators' calls that replace, modify and read the configuration."""

    def __init__(self, commands: CommandService, cluster_state: ClusterState, counters: Counters) -> None:
        self._commands, self.cluster_state, self._counters = commands, cluster_state, counters

    @api_call("POST", "/-/Configuration.Replace")
    def replace(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Put a complete configuration in force."""
        self._change(ConfigCall.REPLACE, request, respond)

    @api_call("POST", "/-/Configuration.Modify")
    def modify(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Change individual items of the configuration."""
        self._change(ConfigCall.MODIFY, request, respond)

    @api_call("GET", "/-/Configuration.Read")
    def read(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with the current configuration as confirmed by a majority."""

        def receive(result: Result[ConfirmedState, ProposalRejected]) -> None:
            """Respond with the configuration; 404 if there is none, or an error if it is unconfirmed."""
            if isinstance(result, Err):
                respond(unconfirmed())
            elif result.ok_value.config is None:
                respond(HttpResponse(404, {"cause": "no configuration is in place yet"}))
            else:
                respond(HttpResponse(200, result.ok_value.config))

        self._commands.read_state(receive)

    def _change(self, call: ConfigCall, request: HttpRequest, respond: RespondHttp) -> None:
        document = parse(request.body)
        if isinstance(document, Err):
            self._counters.increment("configurations rejected")
            respond(HttpResponse(400, {"cause": "; ".join(map(str, document.err_value))}))
            return
        base_version = request.header(BASE_VERSION_HEADER)
        if base_version is None or not base_version.strip().isdigit():
            respond(HttpResponse(400, {"cause": "Amberlug-Base-Version: no whole number"}))
            return
        version = document.ok_value.get("edition")

        def receive(result: Result[CommandResult, ProposalRejected]) -> None:
            """Respond with the result of the change; 503 if no majority confirmed it."""
            if isinstance(result, Err):
                # The change may or may not have been committed: the caller repeats the call unchanged.
                cause = f"no answer of a majority: {result.err_value.reason.value}"
                respond(HttpResponse(503, {"cause": cause}, 1))
                return
            self._log(result.ok_value, version)
            if result.ok_value.is_rejected:
                respond(HttpResponse(result.ok_value.status, {"cause": result.ok_value.cause}))
            else:
                respond(HttpResponse(200, {"edition": version}))

        command = SubmitConfig(call, int(base_version), document.ok_value)
        self._commands.change_config(command, receive)

    def _log(self, result: CommandResult, version: object) -> None:
        if result.is_rejected:
            self._counters.increment("configurations rejected")
            logging.info("configuration rejected: %s", result.cause)
        else:
            self._counters.increment("configurations accepted")
            logging.info("configuration version %s is in force", version)
