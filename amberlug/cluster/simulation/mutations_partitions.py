"""Mutations of partitioned control-plane nodes and of commands on both sides, for the family `control`."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import PropertyMock, patch

from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.command_results import CommandResult
from amberlug.cluster.control.command_service import CommandExecutor, OutcomeCallback
from amberlug.cluster.control.config_service import ConfigService
from amberlug.cluster.control.endpoint_api import EndpointApi
from amberlug.cluster.control.quorum_contact import QuorumContact
from amberlug.cluster.http.api import HttpRequest, HttpResponse, RespondHttp
from amberlug.cluster.session_client import SessionClient


def _unconfirmed_refusal() -> AbstractContextManager[Any]:
    """A node that believes it leads answers commands from its own state, without a majority."""

    def at_once(self: CommandExecutor, action: Callable[[], None], on_outcome: OutcomeCallback) -> None:
        """Run the action without confirming leadership by a majority."""
        action()

    return patch.object(CommandExecutor, "when_confirmed", at_once)


def _unconfirmed_edge() -> AbstractContextManager[Any]:
    """An edge node serves state from any control-plane node, confirmed or not."""

    def take(self: SessionClient, epoch: int) -> None:
        """Count the state as confirmed, whatever the epoch."""
        self.is_confirmed = True

    return patch.object(SessionClient, "_read_current_state", take)


@contextmanager
def _session_alone() -> Iterator[None]:
    """A control-plane node without a majority keeps accepting sessions, heartbeats and announcements."""
    with (
        patch.object(QuorumContact, "is_in_contact", PropertyMock(return_value=True)),
        patch.object(QuorumContact, "staleness_s", lambda self: 0.0),
    ):
        yield


def _announce_alone() -> AbstractContextManager[Any]:
    """A node without a majority acknowledges announcements, and names itself for later heartbeats."""
    announce, heartbeat_address = EndpointApi.announce, EndpointApi.heartbeat_address

    def any_announce(self: EndpointApi, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Handle an announcement as if the node were in contact with a majority."""
        with patch.object(QuorumContact, "is_in_contact", PropertyMock(return_value=True)):
            announce(self, request, name, respond)

    def any_address(self: EndpointApi, zone: str) -> str:
        """Return this node's own address to endpoints in its zone, without checking its contact."""
        member = self.raft.members.get(self.raft.member_id)
        if member is not None and member.zone == zone:
            return member.control_address
        return heartbeat_address(self, zone)

    return _both(
        # The route declaration is stored on the function that is replaced.
        patch.object(EndpointApi, "announce", _like(announce, any_announce)),
        patch.object(EndpointApi, "heartbeat_address", any_address),
    )


def _like(old: Callable[..., None], new: Callable[..., None]) -> Callable[..., None]:
    new.__dict__.update(old.__dict__)
    return new


@contextmanager
def _both(*those: AbstractContextManager[Any]) -> Iterator[None]:
    with those[0], those[1]:
        yield


def _same_number() -> AbstractContextManager[Any]:
    """A configuration with a known edition number is acknowledged, whatever its content."""
    check = ClusterState.check_config

    def by_number(self: ClusterState, base_version: int, version: int, call_hash: str) -> CommandResult:
        """Replace the hash of a submitted configuration by the one known for its edition."""
        known = self.config_hashes.get(version)
        return check(self, base_version, version, known.call_hash if known is not None else call_hash)

    return patch.object(ClusterState, "check_config", by_number)


def _repeat_refused() -> AbstractContextManager[Any]:
    """Snapshots omit the hashes of accepted changes, so that a repeated change is rejected."""
    to_json = ClusterState.to_json
    return patch.object(ClusterState, "to_json", lambda self: {**to_json(self), "hashes": {}})


def _old_read() -> AbstractContextManager[Any]:
    """A node answers reads of the configuration from its own state."""

    def read(self: ConfigService, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Respond with the node's own configuration, or with 503 if it has none."""
        config = self.cluster_state.config
        respond(HttpResponse(200, config) if config is not None else HttpResponse(503, {}, 1))

    return patch.object(ConfigService, "read", _like(ConfigService.read, read))


# By name: the mutation, and the scenario family in which it is looked for.
FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "unconfirmed-refusal": (_unconfirmed_refusal, "control"),
    "unconfirmed-edge": (_unconfirmed_edge, "control"),
    "session-alone": (_session_alone, "control"),
    "announce-alone": (_announce_alone, "control"),
    "same-number": (_same_number, "control"),
    "repeat-refused": (_repeat_refused, "control"),
    "old-read": (_old_read, "control"),
}
