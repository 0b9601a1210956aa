"""Gossip messages. Their wire tags are historical, and are part of the protocol between versions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import ClassVar

from amberlug.cluster.gossip.announcements import Announcement, Version
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Notification, Request
from amberlug.cluster.values import value


@value
class Acknowledgement(Body):
    """Confirms that an update was received and applied."""

    def to_wire(self) -> Json:
        """An empty object."""
        return {}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Acknowledgement:
        """Read a reply; its content is ignored."""
        return cls()


@value
class Update(Request[Acknowledgement]):
    """Announcements pushed to a peer; sent as a notification if no further page follows."""

    wire_tag: ClassVar[str] = "news"
    reply_type: ClassVar[type[Acknowledgement]] = Acknowledgement
    announcements: Sequence[Announcement]

    def to_wire(self) -> Json:
        """The JSON object, with an array of `[key, version, value]`."""
        return {"items": self.announcements}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Update:
        """Read an update."""
        return cls([Announcement(*row) for row in body["items"]])


@value
class VersionNotice(Notification):
    """Versions that the sender has just received; the peer fetches those that it lacks."""

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
    """The peer's versions of the compared keys.

    `versions` is None if both digests are equal, so that nothing needs to be exchanged. `next_after` is the
    key after which the comparison continues, or "" at its end.
    """

    versions: Mapping[str, Version] | None
    next_after: str = ""

    def to_wire(self) -> Json:
        """The JSON object; an empty object means that the digests are equal."""
        return {} if self.versions is None else {"versions": self.versions, "next": self.next_after}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> DigestReply:
        """Read a reply."""
        return cls(body.get("versions"), body.get("next", ""))


@value
class DigestRequest(Request[DigestReply]):
    """Compares the digests of all announcements and, if they differ, requests the versions after a key."""

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
    """The requested announcements that fit into one message, and the keys of the others."""

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
    """Requests announcements by their keys; keys that the peer does not know are skipped."""

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
