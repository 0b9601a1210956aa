"""Messages of gossip. Their wire tags are historical: they are a protocol between versions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import ClassVar

from amberlug.cluster.gossip.announcements import Announcement, Version
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Notification, Request
from amberlug.cluster.values import value


@value
class Acknowledgement(Body):
    """An update was received and applied."""

    def to_wire(self) -> Json:
        """An empty object."""
        return {}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Acknowledgement:
        """Read any object: nothing in it counts."""
        return cls()


@value
class Update(Request[Acknowledgement]):
    """Announcements that are pushed to a peer: also sent as a notification, where no further page follows."""

    wire_tag: ClassVar[str] = "news"
    reply_type: ClassVar[type[Acknowledgement]] = Acknowledgement
    announcements: Sequence[Announcement]

    def to_wire(self) -> Json:
        """The JSON object: an array of `[key, version, value]`."""
        return {"items": self.announcements}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Update:
        """Read an update."""
        return cls([Announcement(*row) for row in body["items"]])


@value
class VersionNotice(Notification):
    """Versions that the sender has received a moment ago: the peer fetches those that it lacks."""

    wire_tag: ClassVar[str] = "news.rumour"
    versions: Mapping[str, Version]

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"versions": self.versions}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> VersionNotice:
        """Read a notice."""
        return cls(body["versions"])


@value
class DigestReply(Body):
    """The versions that the peer knows of the keys that were compared.

    `versions` is None where both digests are equal: then nothing is to be exchanged. `next_after` is the key
    after which the comparison goes on, or "" at its end.
    """

    versions: Mapping[str, Version] | None
    next_after: str = ""

    def to_wire(self) -> Json:
        """The JSON object; an empty one says that the digests are equal."""
        return {} if self.versions is None else {"versions": self.versions, "next": self.next_after}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> DigestReply:
        """Read a reply."""
        return cls(body.get("versions"), body.get("next", ""))


@value
class DigestRequest(Request[DigestReply]):
    """Compare all announcements by their digest, and where it differs the versions after a key."""

    wire_tag: ClassVar[str] = "news.digest"
    reply_type: ClassVar[type[DigestReply]] = DigestReply
    digest: str  # hexadecimal
    after: str = ""

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"sum": self.digest, "after": self.after}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> DigestRequest:
        """Read a request."""
        return cls(body["sum"], body.get("after", ""))


@value
class FetchReply(Body):
    """As many of the requested announcements as fit into one message, and the keys of the others."""

    announcements: Sequence[Announcement]
    remaining_keys: Sequence[str] = ()

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"items": self.announcements, "rest": self.remaining_keys}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> FetchReply:
        """Read a reply."""
        return cls([Announcement(*row) for row in body["items"]], body.get("rest", []))


@value
class FetchRequest(Request[FetchReply]):
    """Request announcements by their keys; keys that the peer does not know are passed over."""

    wire_tag: ClassVar[str] = "news.want"
    reply_type: ClassVar[type[FetchReply]] = FetchReply
    keys: Sequence[str]

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"keys": self.keys}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> FetchRequest:
        """Read a request."""
        return cls(body["keys"])
