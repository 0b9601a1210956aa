"""An edge node: wires its components to each other, the control plane and the process. No I/O."""

from __future__ import annotations

from collections.abc import Set

from absl import logging

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.control.published_state import (
    CONFIG_KEY,
    CONTROL_NODES_KEY,
    ENDPOINT_KEY_PREFIX,
    ROSTER_KEY,
    SHARD_TABLE_KEY,
    PublishedEndpoint,
    ShardTable,
    StorageRoster,
    published_index,
)
from amberlug.cluster.control.session_attributes import EdgeAttributes
from amberlug.cluster.control.sessions import EDGE_CLASS
from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.dispatcher import Dispatcher
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.dispatch.shard_owner import ShardOwner
from amberlug.cluster.edge.answer_history import AnswerHistory
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.delivery import MessageDelivery
from amberlug.cluster.edge.forwarding import Forwarder
from amberlug.cluster.edge.intake import ClientRequest, Intake, RespondToClient
from amberlug.cluster.edge.lookup import MessageLookup
from amberlug.cluster.edge.repair import ReplicaRepair
from amberlug.cluster.edge.status import EdgeStatus, EdgeStatusReport
from amberlug.cluster.edge.storage_reads import StorageReader
from amberlug.cluster.gossip.announcements import Payload
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.api import AdminApi
from amberlug.cluster.http.routing import RoutingTable, build
from amberlug.cluster.interfaces import Endpoints, Runtime
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.session_client import LocalNode, SessionClient, seed_addresses
from amberlug.cluster.settings import Settings


class EdgeNode:
    """One edge node, made of the components in this package."""

    def __init__(self, runtime: Runtime, settings: Settings, address: str, endpoints: Endpoints) -> None:
        self.gossip = GossipStore(runtime, self._gossip_peers, self._on_published)
        local = LocalNode(address, EDGE_CLASS, self._session_attributes)
        self.session = SessionClient(runtime, settings, local, self.gossip)
        self.replicator = Replicator(
            runtime, settings.tolerance, settings.zone, settings.region, settings.seconds("statusTtlS")
        )
        self._context = EdgeContext(runtime, settings, self.gossip, self.session, self.replicator)
        reader = StorageReader(self._context)
        self.delivery = MessageDelivery(self._context, endpoints, reader)
        self.forwarder = Forwarder(self._context, self.shard_owner)
        self.repair = ReplicaRepair(self._context, self.delivery, reader)
        history = AnswerHistory(self._context)
        self.lookup = MessageLookup(self._context, self.delivery, reader, history)
        self._intake = Intake(self._context, self.delivery, self.forwarder, AdminApi(self.lookup), history)
        self.handlers = {
            tag: handler
            for part in (
                self.lookup,
                self.forwarder,
                self.gossip,
                self.shard_owner.handover,
                EdgeStatus(self),
            )
            for tag, handler in handlers_of(part).items()
        }
        self._is_leaving = False
        self._was_ready = False

    @property
    def routes(self) -> RoutingTable:
        """The current routing table."""
        return self._context.routes

    @property
    def counters(self) -> dict[str, int]:
        """Event counters, as shown on the counters page."""
        return self._context.counters

    @property
    def delivery_queue(self) -> DeliveryQueue:
        """The open messages of the shards owned here."""
        return self.delivery.queue

    @property
    def shard_owner(self) -> ShardOwner:
        """The shards owned here, and the shard table."""
        return self.delivery.shard_owner

    @property
    def services(self) -> dict[str, Dispatcher]:
        """Dispatchers by service."""
        return self.delivery.dispatchers.by_service

    @property
    def pending_bytes(self) -> int:
        """The total body size of the messages pending here, in bytes."""
        return self.delivery.pending_bytes

    # -- called by the process

    def begin(self) -> None:
        """Start the session with the control plane and the periodic timers."""
        self.session.begin()
        self.gossip.begin()
        self.delivery.begin()
        self.repair.begin()

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown: shards move to other nodes, which late submissions are forwarded to."""
        self._is_leaving = True
        self.session.leave()

    @property
    def is_idle(self) -> bool:
        """Whether the process can exit, since no other node waits for anything from this one."""
        return self.delivery.is_idle

    def _session_attributes(self) -> EdgeAttributes:
        return self.repair.progress()

    def status_report(self, live_disk_ids: Set[str]) -> EdgeStatusReport:
        """Build the status report for operators.

        :param live_disk_ids: the disks whose replicas count.
        """
        messages = self.delivery_queue.messages.values()
        return EdgeStatusReport(
            is_ready=self.ready,
            config_version=self.routes.edition,
            owned_shards=len(self.shard_owner.owned),
            queued_messages=len(messages),
            queued_bytes=self.pending_bytes,
            active_calls=sum(len(service.calls) for service in self.services.values()),
            under_replicated_messages=sum(
                not self.replicator.is_write_quorum(message.holders & live_disk_ids) for message in messages
            ),
            counters=self.counters,
        )

    @property
    def ready(self) -> bool:
        """Whether this node should receive client traffic."""
        ready = (
            not self._is_leaving
            and self.session.is_confirmed
            and self._context.has_routes
            and bool(self.shard_owner.table)
            and not self.replicator.check_unavailable()
        )
        if ready != self._was_ready:
            self._was_ready = ready
            logging.info("ready" if ready else "not ready")
        return ready

    def handle(self, request: ClientRequest, respond: RespondToClient) -> None:
        """Handle a client request."""
        self._intake.handle(request, respond)

    def update_settings(self, settings: Settings) -> None:
        """Apply a changed settings file."""
        self._context.settings = self.session.settings = settings
        self.session.add_seeds(seed_addresses(settings))

    def on_peer_disconnected(self, address: str) -> None:
        """Handle the loss of the connection to the process at an address."""
        self.session.on_disconnect(address)
        self.replicator.connection_lost(address)
        self.shard_owner.connection_lost(address)

    # -- published by the control plane

    def _gossip_peers(self) -> list[str]:
        """The addresses of the other edge nodes that own shards and of the session's control-plane node."""
        peers = [owner.address for owner in self.shard_owner.owners if owner.node_id != self.session.id]
        return peers + ([self.session.control_address] if self.session.control_address else [])

    def _on_published(self, key: str, body: Payload) -> None:
        """Apply a published value that is newer than the known one of its key."""
        index = published_index(self.gossip.items, key)
        if key.startswith(ENDPOINT_KEY_PREFIX):
            endpoint_id = key.removeprefix(ENDPOINT_KEY_PREFIX)
            self.delivery.dispatchers.update_endpoint(endpoint_id, PublishedEndpoint.from_wire(body))
        elif key == CONFIG_KEY:
            self.apply_routes(build(index, body))
        elif key == SHARD_TABLE_KEY:
            self.shard_owner.update_table(ShardTable.from_wire(index, body))
            self.repair.apply_shard_table()
            self.delivery.dispatchers.update_rate_share()
        elif key == ROSTER_KEY:
            self.repair.apply_roster(StorageRoster.from_wire(index, body))
        elif key == CONTROL_NODES_KEY:
            self.session.update_control_nodes(Members.from_wire(body))

    def apply_routes(self, routes: RoutingTable) -> None:
        """Apply a newer configuration.

        Invariant: a configuration is never replaced by an older one, which would lose acknowledged changes.
        """
        assert routes.index > self.routes.index, "a configuration would be replaced by an older one"
        self._context.routes = routes
        logging.info("configuration %d is in force here", routes.edition)
        self.delivery.apply_routes()
