"""HTTP calls of endpoints: Instances.Announce and Instances.Deregister of the control API."""

from __future__ import annotations

from absl import logging
from result import Err, Ok, Result

from amberlug.cluster.consensus.raft import ProposalRejected
from amberlug.cluster.control.command_results import CommandResult
from amberlug.cluster.control.command_service import CommandService
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.endpoint_registry import (
    MAX_ANNOUNCEMENT_BYTES,
    EndpointAnnouncement,
    read_announcement,
)
from amberlug.cluster.control.state_entries import DepartureRank, EndpointDrain, EndpointRank
from amberlug.cluster.http.api import (
    HttpRequest,
    HttpResponse,
    RespondHttp,
    api_call,
    read_json_object,
    unconfirmed,
)


class EndpointApi:
    """Handles endpoints' announcements and deregistrations."""

    def __init__(self, context: ControlContext, commands: CommandService) -> None:
        self._runtime, self.raft, self._quorum = context.runtime, context.raft, context.quorum
        self._cluster_state, self._sessions = context.cluster_state, context.sessions
        self.registry, self._counters = context.registry, context.counters
        self._commands = commands

    @api_call("POST", "/-/Instances.Announce/")
    def announce(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Handle an endpoint's heartbeat, or its announcement that it is leaving."""
        self._counters.increment("endpoint heartbeats")
        if not self._quorum.is_in_contact:
            # On this reply the endpoint calls another control-plane node.
            respond(HttpResponse(503, {"cause": "no contact with a majority"}, 1))
            return
        arguments = read_json_object(request, respond, MAX_ANNOUNCEMENT_BYTES)
        if arguments is None:
            return
        result = read_announcement(arguments)
        if isinstance(result, Err):
            respond(HttpResponse(400, {"cause": result.err_value}))
            return
        announcement = result.ok_value
        if announcement.is_ready:
            self.registry.receive_heartbeat(name, announcement)
            address = self.heartbeat_address(announcement.zone)
            respond(HttpResponse(200, {"heartbeatUri": address} if address else {}))
        else:
            departure = DepartureRank(EndpointRank.LEAVING, announcement.sequence)
            self.depart(name, departure, announcement, respond)

    @api_call("POST", "/-/Instances.Deregister/")
    def deregister(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Handle the deregistration of an endpoint that has left."""
        endpoint = self.registry.find(name)
        sequence = endpoint.sequence if endpoint is not None else 0
        self.depart(name, DepartureRank(EndpointRank.GONE, sequence), None, respond)

    def heartbeat_address(self, zone: str) -> str:
        """Return the control address of a responsive control-plane node in a zone; empty if there is none."""
        now_s = self._runtime.now()
        for name, member in sorted(self.raft.members.items()):
            if member.zone != zone or not member.control_address:
                continue
            is_here = name == self.raft.member_id and self._quorum.is_in_contact
            if is_here or self._sessions.is_in_contact(member.address, now_s):
                return member.control_address
        return ""

    def depart(
        self,
        name: str,
        departure: DepartureRank,
        announcement: EndpointAnnouncement | None,
        respond: RespondHttp,
    ) -> None:
        """Gossip a departure to all nodes immediately, and acknowledge it once it is committed.

        A departure known to this node alone would be lost if the node failed.
        """
        if self._cluster_state.departure(name).rank >= departure.rank:
            respond(HttpResponse(200, {}))
            return
        self.registry.depart(name, departure, announcement)

        def receive(result: Result[CommandResult, ProposalRejected]) -> None:
            """Acknowledge the departure if it was committed."""
            if isinstance(result, Ok):
                is_leaving = departure.rank == EndpointRank.LEAVING
                logging.info("endpoint %s %s", name, "is leaving" if is_leaving else "has left")
                respond(HttpResponse(200, {}))
            else:
                respond(unconfirmed())

        self._commands.drain_endpoints([EndpointDrain(name, *departure)], receive)
