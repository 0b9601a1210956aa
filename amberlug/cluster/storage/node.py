"""A storage node: stores messages durably for shard owners, and fences former owners. No I/O."""

from __future__ import annotations

from absl import logging

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.control.published_state import CONTROL_NODES_KEY
from amberlug.cluster.control.session_attributes import StorageAttributes
from amberlug.cluster.control.sessions import STORAGE_CLASS
from amberlug.cluster.gossip.announcements import Payload
from amberlug.cluster.gossip.store import DisseminationPolicy, GossipStore
from amberlug.cluster.interfaces import Runtime
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.session_client import LocalNode, SessionClient, seed_addresses
from amberlug.cluster.settings import Settings
from amberlug.cluster.storage.enrollment import Enrollment
from amberlug.cluster.storage.records import DurableStore, StoredContents
from amberlug.cluster.storage.replica_service import ReplicaService
from amberlug.cluster.storage.status import StorageStatus


class StorageNode:
    """Wires the components of a storage node: session, gossip, enrollment, replicas and status.

    :param address: the address for peers, `host:port`.
    :param store: the disk.
    :param contents: the contents of the disk at the start, which the node keeps up to date.
    """

    def __init__(
        self,
        runtime: Runtime,
        settings: Settings,
        address: str,
        store: DurableStore,
        contents: StoredContents,
    ) -> None:
        self.contents = contents
        # A storage node forwards no gossip; it only reconciles with the control-plane node of its session.
        self.gossip = GossipStore(
            runtime, self._gossip_peers, self._on_published, DisseminationPolicy(fanout=0)
        )
        self.session = SessionClient(
            runtime, settings, LocalNode(address, STORAGE_CLASS, self._session_attributes), self.gossip
        )
        self.replicas = ReplicaService(runtime, contents, store)
        self.enrollment = Enrollment(runtime, contents, store, self.gossip)
        self.counters = self.replicas.counters
        self.handlers = {
            **handlers_of(self.replicas),
            **handlers_of(self.gossip),
            **handlers_of(StorageStatus(self.replicas)),
        }
        open_count = sum(message.outcome.is_open for message in contents.messages.values())
        logging.info(
            "disk %s has %d open messages and %d outcomes",
            contents.disk_id,
            open_count,
            len(contents.messages) - open_count,
        )
        if contents.corrupt_ids:
            logging.error(
                "%d messages on this disk have a wrong checksum and are skipped", len(contents.corrupt_ids)
            )

    def begin(self) -> None:
        """Start the session, anti-entropy, and the deletion of expired outcomes."""
        self.session.begin()
        self.gossip.begin()
        self.replicas.begin()

    def begin_shutdown(self) -> None:
        """Do nothing: a storage node has nothing to hand over, since all its state is on the disk."""

    @property
    def is_idle(self) -> bool:
        """Whether the process may exit on shutdown, which is always the case."""
        return True

    def update_settings(self, settings: Settings) -> None:
        """Apply a changed settings file."""
        self.session.settings = settings
        self.session.add_seeds(seed_addresses(settings))

    def on_peer_disconnected(self, address: str) -> None:
        """Handle the loss of the connection to a peer."""
        self.session.on_disconnect(address)

    def _gossip_peers(self) -> list[str]:
        return [self.session.control_address] if self.session.control_address else []

    def _session_attributes(self) -> StorageAttributes:
        """The attributes of this disk that the session reports to the control plane."""
        return StorageAttributes(self.contents.disk_id, self.contents.enrolled_index > 0)

    def _on_published(self, key: str, body: Payload) -> None:
        if key == CONTROL_NODES_KEY:
            self.session.update_control_nodes(Members.from_wire(body))
        else:
            self.enrollment.on_published(key)
