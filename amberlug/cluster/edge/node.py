"""An edge node: its parts, and what they learn from the control plane and from the process. No I/O."""

from __future__ import annotations

from collections.abc import Set

from absl import logging

from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.dispatcher import Dispatcher
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.dispatch.shard_owner import ShardOwner
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.delivery import MessageDelivery
from amberlug.cluster.edge.forwarding import Forwarder
from amberlug.cluster.edge.intake import ClientRequest, Intake, RespondToClient
from amberlug.cluster.edge.lookup import MessageLookup
from amberlug.cluster.edge.repair import ReplicaRepair
from amberlug.cluster.edge.status import EdgeStatus, EdgeStatusReport
from amberlug.cluster.edge.storage_reads import StorageReader
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.api import AdminApi
from amberlug.cluster.http.routing import RoutingTable, build
from amberlug.cluster.interfaces import Endpoints, Json, Runtime
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.session_client import LocalNode, SessionClient, seed_addresses
from amberlug.cluster.settings import Settings

ENDPOINT_KEY_PREFIX = "ep/"  # of announcements of endpoints; the endpoint's id follows


class EdgeNode:
    """One edge node."""

    def __init__(self, runtime: Runtime, settings: Settings, address: str, endpoints: Endpoints) -> None:
        self.gossip = GossipStore(runtime, self._gossip_peers, self._announced)
        local = LocalNode(address, "edge", self._session_attributes)
        self.member = SessionClient(runtime, settings, local, self.gossip)
        self.replicator = Replicator(
            runtime, settings.tolerance, settings.zone, settings.region, settings.seconds("statusTtlS")
        )
        self._context = EdgeContext(runtime, settings, self.gossip, self.member, self.replicator)
        reader = StorageReader(self._context)
        self.delivery = MessageDelivery(self._context, endpoints, reader)
        self.forwarder = Forwarder(self._context, self.shards)
        self.repair = ReplicaRepair(self._context, self.delivery, reader)
        self.lookup = MessageLookup(self._context, self.delivery, reader)
        self._intake = Intake(self._context, self.delivery, self.forwarder, AdminApi(self.lookup))
        self.handlers = {
            tag: handler
            for part in (self.lookup, self.forwarder, self.gossip, self.shards, EdgeStatus(self))
            for tag, handler in handlers_of(part).items()
        }
        self._is_leaving = False
        self._was_ready = False

    @property
    def routes(self) -> RoutingTable:
        """The routing table in force."""
        return self._context.routes

    @property
    def counters(self) -> dict[str, int]:
        """Counted events, as the counters page shows them."""
        return self._context.counters

    @property
    def delivery_queue(self) -> DeliveryQueue:
        """The messages of the shards that are owned here."""
        return self.delivery.queue

    @property
    def shards(self) -> ShardOwner:
        """The shards that are owned here, and the table of all owners."""
        return self.delivery.shards

    @property
    def services(self) -> dict[str, Dispatcher]:
        """Dispatchers by service."""
        return self.delivery.dispatchers.by_service

    @property
    def size(self) -> int:
        """Bytes of the bodies of the messages that are pending here."""
        return self.delivery.pending_bytes

    # What the process calls.

    def begin(self) -> None:
        """Start: find a control-plane node, and set the periodic timers."""
        self.member.begin()
        self.gossip.begin()
        self.delivery.begin()
        self.repair.begin()

    def begin_shutdown(self) -> None:
        """Begin a planned end: this node's shards go to others, to which it forwards late submissions."""
        self._is_leaving = True
        self.member.leave()

    @property
    def is_idle(self) -> bool:
        """Whether the process can end, since no other node waits for anything of this one."""
        return self.delivery.is_idle

    def _session_attributes(self) -> Json:
        return self.repair.report().to_wire()

    def status_report(self, live_disk_ids: Set[str]) -> EdgeStatusReport:
        """Report this node's state to its operators.

        :param live_disk_ids: the disks whose replicas count.
        """
        messages = self.delivery_queue.messages.values()
        return EdgeStatusReport(
            is_ready=self.ready,
            config_version=self.routes.edition,
            owned_shards=len(self.shards.owned),
            queued_messages=len(messages),
            queued_bytes=self.size,
            active_calls=sum(len(service.calls) for service in self.services.values()),
            under_replicated_messages=sum(
                not self.replicator.enough(message.holders & live_disk_ids) for message in messages
            ),
            counters=self.counters,
        )

    @property
    def ready(self) -> bool:
        """Whether clients should be sent here."""
        ready = (
            not self._is_leaving
            and self.member.is_confirmed
            and self._context.has_routes
            and bool(self.shards.table)
            and not self.replicator.is_unavailable()
        )
        if ready != self._was_ready:
            self._was_ready = ready
            logging.info("ready" if ready else "not ready")
        return ready

    def handle(self, request: ClientRequest, respond: RespondToClient) -> None:
        """Answer a request of a client."""
        self._intake.handle(request, respond)

    def update_settings(self, settings: Settings) -> None:
        """Use a settings file that has changed."""
        self._context.settings = self.member.settings = settings
        self.member.add_seeds(seed_addresses(settings))

    def on_peer_disconnected(self, address: str) -> None:
        """The connection with the process at an address was lost."""
        self.member.on_disconnect(address)
        self.replicator.connection_lost(address)
        self.shards.connection_lost(address)

    # What the control plane announces.

    def _gossip_peers(self) -> list[str]:
        """Addresses of the other edge nodes that own shards, and of the session's control-plane node."""
        peers = [owner.address for owner in self.shards.owners if owner.node_id != self.member.id]
        return peers + ([self.member.control_address] if self.member.control_address else [])

    def _announced(self, key: str, announcement: Json) -> None:
        """Apply an announcement that is newer than what was known under its key."""
        if key.startswith(ENDPOINT_KEY_PREFIX):
            endpoint_id = key.removeprefix(ENDPOINT_KEY_PREFIX)
            self.delivery.dispatchers.endpoint_announced(endpoint_id, announcement)
        elif key == "config":
            self.apply_routes(build(self._version_of(key), announcement))
        elif key == "shards":
            self.shards.update_table(announcement)
            self.delivery.dispatchers.update_rate_share()
        elif key == "roster":
            self.repair.apply_roster(self._version_of(key), announcement)
        elif key == "cores":
            self.member.apply_roster(announcement)

    def _version_of(self, key: str) -> int:
        """The index in the control plane's log of what was announced under a key."""
        version, _ = self.gossip.items[key]
        return version[0]

    def apply_routes(self, routes: RoutingTable) -> None:
        """Put a newer configuration in force.

        Invariant: no configuration is replaced by an older one: acknowledged changes would be lost.
        """
        assert routes.index > self.routes.index, "a configuration would be taken back"
        self._context.routes = routes
        logging.info("configuration %d is in force here", routes.edition)
        self.delivery.apply_routes()
