"""A control-plane node: a replica of the log, its services, and the leader's tasks. No I/O."""

from __future__ import annotations

from collections.abc import Collection

from absl import logging

from amberlug.cluster.consensus.persistent_state import PersistentState
from amberlug.cluster.consensus.raft import RaftNode, Role, StateMachine
from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.command_service import CommandExecutor, CommandService
from amberlug.cluster.control.config_service import ConfigService
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.dead_messages import DeadMessageApi
from amberlug.cluster.control.endpoint_api import EndpointApi
from amberlug.cluster.control.endpoint_registry import EndpointRegistry
from amberlug.cluster.control.initial_state import blank
from amberlug.cluster.control.membership import MembershipService
from amberlug.cluster.control.published_state import CONFIG_KEY
from amberlug.cluster.control.quorum_contact import QuorumContact
from amberlug.cluster.control.reconciler import Reconciler
from amberlug.cluster.control.retirement_api import RetirementApi
from amberlug.cluster.control.session_service import SessionService
from amberlug.cluster.control.sessions import Sessions
from amberlug.cluster.control.state_publisher import StatePublisher
from amberlug.cluster.control.status import StatusService
from amberlug.cluster.gossip.store import DisseminationPolicy, GossipStore
from amberlug.cluster.http.api import AdminApi
from amberlug.cluster.interfaces import Disk, Runtime
from amberlug.cluster.metrics import Counters
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.settings import Settings

__all__ = ["ControlNode", "blank"]

# Gossip keys with large values, which other control-plane nodes receive through the log.
REPLICATED_KEYS = (CONFIG_KEY,)


class ControlNode:
    """Assembles the components of one control-plane node.

    :ivar handlers: frame handlers by wire tag.
    :ivar admin_api: the HTTP calls of operators and endpoints.
    :ivar counters: the node's metrics.
    """

    def __init__(
        self, runtime: Runtime, settings: Settings, address: str, disk: Disk, saved: PersistentState
    ) -> None:
        self.runtime, self.settings, self.address = runtime, settings, address
        self.counters = Counters()
        self._known_leader = ""
        self.cluster_state, self.sessions = ClusterState(), Sessions()
        self.gossip = GossipStore(
            runtime,
            self._gossip_peers,
            lambda key, value: None,
            DisseminationPolicy(push_to_all=True, replicated_keys=self._replicated_keys),
        )
        self.registry = EndpointRegistry(runtime, self.gossip, settings.heartbeat_s)
        self.raft = RaftNode(
            runtime,
            disk,
            saved,
            StateMachine(
                self.cluster_state.apply_entry,
                self.cluster_state.to_json,
                self.cluster_state.from_json,
                self.on_state_changed,
            ),
        )
        self.quorum = QuorumContact(runtime, self.raft, self.registry.restart_timeouts)
        self.publisher = StatePublisher(self.raft, self.cluster_state, self.gossip, self.registry)
        self._build_services(self._context())

    def _context(self) -> ControlContext:
        return ControlContext(
            self.runtime,
            self.raft,
            self.quorum,
            self.cluster_state,
            self.sessions,
            self.registry,
            self.gossip,
            self.counters,
            self.address,
            lambda: self.settings,
            self._peers,
        )

    def _build_services(self, context: ControlContext) -> None:
        self.session_service = SessionService(context)
        self.membership = MembershipService(context)
        self.reconciler = Reconciler(context, self.membership)
        self.executor = CommandExecutor(context, self.reconciler)
        self.commands = CommandService(context, self.executor)
        status = StatusService(context)
        self.admin_api = AdminApi(
            ConfigService(self.commands, self.cluster_state, self.counters),
            RetirementApi(self.commands),
            EndpointApi(context, self.commands),
            DeadMessageApi(self.runtime, self.cluster_state),
            status,
        )
        services = (self.quorum, self.session_service, self.membership, self.commands, status)
        self.handlers = {
            tag: handler
            for component in (*services, self.raft, self.gossip)
            for tag, handler in handlers_of(component).items()
        }

    # -- lifecycle

    def begin(self) -> None:
        """Start all timers."""
        self.raft.start()
        self.on_state_changed()
        self.gossip.begin()
        self.session_service.begin()
        self.reconciler.begin()
        self.membership.join()

    def begin_shutdown(self) -> None:
        """Begin a planned shutdown: hand leadership and vote over to another node, if there is one."""
        self.membership.leave()

    @property
    def is_idle(self) -> bool:
        """Whether a process that is shutting down may stop."""
        return self.membership.has_left

    def update_settings(self, settings: Settings) -> None:
        """Apply the settings of a changed settings file."""
        self.settings = settings

    def on_peer_disconnected(self, address: str) -> None:
        """Handle the end of the connection with a peer process."""
        self.session_service.close_connection(address)

    # -- changes of the replicated state

    def on_state_changed(self) -> None:
        """Publish the state after commands were applied, or the leader or the membership changed."""
        self.publisher.publish()
        if self.raft.leader_id != self._known_leader:
            self._known_leader = self.raft.leader_id
            logging.info("term %d: leader is %s", self.raft.term, self._known_leader or "unknown")
            self.runtime.call_later(0.0, self.quorum.refresh)
        self.quorum.on_applied()

    # -- peers

    def _peers(self) -> list[str]:
        """Return the addresses of the other control-plane nodes."""
        return [member.address for name, member in self.raft.members.items() if name != self.raft.member_id]

    def _replicated_keys(self, address: str) -> Collection[str]:
        """Return keys that a node receives through the log; gossiping them too would delay its heartbeats."""
        return REPLICATED_KEYS if address in self._peers() else ()

    def _gossip_peers(self) -> list[str]:
        own = [session.address for session in self.sessions.own.values()]
        return self._peers() + own + self._owners_without_session()

    def _owners_without_session(self) -> list[str]:
        """Return shard owners without a session at any node, to which the leader itself gossips."""
        if self.raft.role is not Role.LEADER:
            return []
        members = self.sessions.members(self.runtime.now())
        owners = self.cluster_state.owners.values()
        return [owner.address for owner in owners if owner.name not in members]
