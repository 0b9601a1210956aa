"""The operator's MQTT configuration: brokers, inbound routes, and the topics that messages are published to.

Does no I/O: `read` validates a parsed TOML table and reports all its errors at once, and `Route.read`
converts a publish to a message.
"""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from uuid import uuid4

from amberlug.core.endpoint_list import parse_address
from amberlug.core.messages import MAX_BODY_BYTES, Message, is_valid_name
from amberlug.core.ports import Address
from amberlug.mqtt.packets import PACKET_TOO_LARGE, V3, V5, Publish
from amberlug.mqtt.properties import P, user
from amberlug.mqtt.topics import captured_levels, is_filter, is_topic
from amberlug.platform.checking import Problem
from amberlug.policy.interface import Effect, Settings

PAYLOAD_FORMAT_INVALID = 0x99  # a configured value is missing from the publish
NOT_AUTHORIZED = 0x87
QUOTA_EXCEEDED = 0x97
MAX_DESTINATION = 10**9
MAX_DEADLINE_MS = 10**9
LISTENER = "listener"  # the name in `from` for publishers without a broker


class BadPublishError(ValueError):
    """A publish that can't be converted to a message, with the MQTT 5.0 reason code."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


# Extracting values from a publish.


@dataclass(frozen=True, slots=True)
class ReceivedPublish:
    """A publish as value sources read it; `levels` are the topic levels that the filter's `+` matched."""

    packet: Publish
    levels: tuple[str, ...]

    def payload(self) -> Any:
        """Parse the payload as JSON; raises `BadPublishError` if it is invalid."""
        try:
            return json.loads(self.packet.payload)
        except (ValueError, RecursionError):
            raise BadPublishError(PAYLOAD_FORMAT_INVALID, "the payload is no JSON") from None


Source = Callable[[ReceivedPublish], str | None]


def _constant(value: str, received: ReceivedPublish) -> str | None:
    return value


def _level(number: int, received: ReceivedPublish) -> str | None:
    return received.levels[number - 1]


def _property(name: str, received: ReceivedPublish) -> str | None:
    return user(received.packet.properties, name)


def _field(path: tuple[str, ...], received: ReceivedPublish) -> str | None:
    value = received.payload()
    for name in path:
        if not isinstance(value, dict) or name not in value:
            return None
        value = value[name]
    if isinstance(value, bool) or not isinstance(value, str | int):
        return None  # fractions, lists and objects have no unambiguous text form
    return str(value)


def _topic(received: ReceivedPublish) -> str | None:
    return received.packet.topic


def _digest(parts: tuple[Source, ...], received: ReceivedPublish) -> str | None:
    """Digest several values; None if one of them is missing."""
    values = [part(received) for part in parts]
    if None in values:
        return None
    # Encoded as JSON, so that different lists of values never give the same bytes.
    return hashlib.blake2b(json.dumps(values).encode(), digest_size=20).hexdigest()


_SOURCE = re.compile(r"(level|property|field):(.+)", re.DOTALL)


def source(value: Any, levels: int) -> Source:
    """Parse a value source; raises `ValueError`. `levels` is the number of `+` in the filter."""
    if isinstance(value, dict):
        parts = value.get("digest")
        if set(value) != {"digest"} or not isinstance(parts, list) or not parts:
            raise ValueError('neither a string nor { digest = ["...", ...] }')
        return partial(_digest, tuple(source(part, levels) for part in parts))
    if not isinstance(value, str):
        raise ValueError(f"not a value source: {value!r}")
    if value == "topic":
        return _topic
    match = _SOURCE.fullmatch(value)
    if match is None:
        raise ValueError(f"{value!r} is none of topic, level:N, property:NAME, field:NAME.NAME")
    where, name = match.groups()
    if where == "level":
        if not (name.isascii() and name.isdigit() and 1 <= int(name) <= levels):
            raise ValueError(f"{value!r}: the filter has {levels} levels with a + wildcard")
        return partial(_level, int(name))
    return partial(_property, name) if where == "property" else partial(_field, tuple(name.split(".")))


# The configuration.


@dataclass(frozen=True, slots=True)
class Login:
    """A broker, and the relay's client id, credentials and connection parameters there."""

    name: str
    address: Address
    client_id: str
    version: int = V5
    keep_alive: int = 30  # seconds
    session_expiry: int = 86_400  # seconds for which the broker keeps undelivered messages
    window: int = 64  # in-flight publishes in each direction
    username: str | None = None
    password: str | None = None


@dataclass(frozen=True, slots=True)
class Listener:
    """Address and limits of the listener for publishers without a broker."""

    address: Address
    connections: int = 256
    keep_alive: int = 60  # longest keep-alive in seconds
    window: int = 16
    users: Mapping[str, str] = field(default_factory=dict)  # name to password; no authentication if empty


@dataclass(frozen=True, slots=True)
class Route:
    """An inbound route: which publishes it matches, and how they become messages."""

    filter: str
    sources: frozenset[str]
    message_class: str
    effect: Effect
    destination: Source
    tenant: Source | None
    id: Source | None
    key: Source | None
    deadline_ms: int
    deadline: Source | None
    ends: str  # outcome topic without a response topic; {1} is the first + level
    qos: int
    share: str

    @property
    def subscription(self) -> str:
        """The filter to subscribe to, including a shared subscription's prefix."""
        return f"$share/{self.share}/{self.filter}" if self.share else self.filter

    def read(self, received: ReceivedPublish, settings: Settings, now_ms: int) -> tuple[Message, int]:
        """Return the message and its remaining time in microseconds; raises `BadPublishError`."""
        body = received.packet.payload
        if len(body) > MAX_BODY_BYTES:
            raise BadPublishError(PACKET_TOO_LARGE, "the payload is over 64 KiB")
        destination = _number(self.destination(received), "destination", MAX_DESTINATION)
        left_ms = self.deadline_ms
        if self.deadline is not None and (value := self.deadline(received)) is not None:
            left_ms = _number(value, "deadline", MAX_DEADLINE_MS)
        if (expiry := received.packet.properties.get(P.MESSAGE_EXPIRY)) is not None:
            left_ms = min(left_ms, expiry * 1000)
        tenant = None if self.tenant is None else self.tenant(received)
        if settings.tenants and tenant not in settings.tenants:
            raise BadPublishError(NOT_AUTHORIZED, "the tenant is unknown")
        key = _checked_name(None if self.key is None else self.key(received), "key", self.key is not None)
        name = self._name(received, key, destination)
        message = Message(name, self.message_class, tenant, destination, key, body, now_ms + left_ms)
        return message, left_ms * 1000

    def _name(self, received: ReceivedPublish, key: str | None, destination: int) -> str:
        """Return the message's name, by which repeats are recognized."""
        name = None if self.id is None else self.id(received)
        if name is None and self.effect is Effect.KEYED:
            # The key identifies the message within its class and destination.
            whole = json.dumps([self.message_class, destination, key]).encode()
            return hashlib.blake2b(whole, digest_size=20).hexdigest()
        if name is None and self.effect is Effect.SAFE and self.id is None:
            # Each publish gets a new name: a redelivery by the broker is sent twice, which is harmless for
            # this class. Identical bytes may be intentional and must not be taken for a repeat.
            return uuid4().hex
        return _checked_name(name, "id", True) or ""

    def end_topic(self, received: ReceivedPublish) -> str:
        """Return the topic for the outcome; empty if none was requested."""
        topic = received.packet.properties.get(P.RESPONSE_TOPIC, "")
        if topic or not self.ends:
            return str(topic)
        return _fill_placeholders(self.ends, {str(at): level for at, level in enumerate(received.levels, 1)})


@dataclass(frozen=True, slots=True)
class Target:
    """Where messages for endpoints of one kind are published."""

    topic: str  # with placeholders {destination} and {endpoint}
    login: Login  # its address is not used: the endpoint's is
    qos: Mapping[str, int]  # by message class; 1 for classes not listed

    def topic_of(self, destination: int, endpoint: str) -> str:
        """Return the topic of one endpoint."""
        return _fill_placeholders(self.topic, {"destination": str(destination), "endpoint": endpoint})


@dataclass(frozen=True, slots=True)
class MqttConfig:
    """The whole configuration file."""

    brokers: Mapping[str, Login] = field(default_factory=dict)
    listener: Listener | None = None
    routes: tuple[Route, ...] = ()
    targets: Mapping[str, Target] = field(default_factory=dict)
    keep_ends_s: int = 86_400  # how long an unacknowledged outcome is kept

    def route(self, origin: str, topic: str) -> tuple[Route, tuple[str, ...]] | None:
        """Return the first matching route in file order, and the topic levels that its `+` matched."""
        for route in self.routes:
            if origin in route.sources and (levels := captured_levels(route.filter, topic)) is not None:
                return route, levels
        return None


def _number(text: str | None, what: str, most: int) -> int:
    if text is None or not (text.isascii() and text.isdigit() and len(text) <= 18 and int(text) <= most):
        raise BadPublishError(PAYLOAD_FORMAT_INVALID, f"the {what} is missing or malformed")
    return int(text)


def _checked_name(text: str | None, what: str, wanted: bool) -> str | None:
    if not wanted:
        return None
    if text is None or not is_valid_name(text):
        raise BadPublishError(PAYLOAD_FORMAT_INVALID, f"the {what} is missing or malformed")
    return text


def _fill_placeholders(template: str, values: Mapping[str, str]) -> str:
    return re.sub(r"\{(\w+)\}", lambda match: values.get(match[1], match[0]), template)


# Validation.


class _Table:
    """One table of the file: reads its keys and collects the problems found."""

    def __init__(self, where: str, data: Any, problems: list[Problem]) -> None:
        self.where, self._problems = where, problems
        self._data: dict[str, Any] = data if isinstance(data, dict) else {}
        self._read: set[str] = set()
        if not isinstance(data, dict):
            problems.append(Problem(where, "not a table"))

    def wrong(self, key: str, what: str) -> None:
        """Add a problem with a key."""
        self._problems.append(Problem(f"{self.where}.{key}" if self.where else key, what))

    def get(self, key: str, kind: type, default: Any = None, wanted: bool = False) -> Any:
        """Return a value of one type; the default if it is missing or has another type."""
        self._read.add(key)
        value = self._data.get(key)
        if value is None:
            if wanted:
                self.wrong(key, "missing")
            return default
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            self.wrong(key, f"not a {_TYPE_NAMES[kind]}: {value!r}")
            return default
        return value

    def number(self, key: str, default: int, least: int, most: int) -> int:
        """Return a whole number; the default, with a problem added, if it is out of range."""
        value = self.get(key, int, default)
        if not least <= value <= most:
            self.wrong(key, f"not from {least} to {most}: {value}")
            return default
        return int(value)

    def address(self, key: str) -> Address:
        """Return an IP address and port; a placeholder, with a problem added, if missing or malformed."""
        value = self.get(key, str, "", wanted=True)
        try:
            return parse_address(value)
        except ValueError:
            if value:
                self.wrong(key, f"not an IP address and port: {value!r}")
        return "127.0.0.1", 1

    def source(self, key: str, levels: int, wanted: bool = False) -> Source | None:
        """Return a source; None if missing or malformed, with a problem added if malformed or `wanted`."""
        self._read.add(key)
        value = self._data.get(key)
        if value is None:
            if wanted:
                self.wrong(key, "missing")
            return None
        try:
            return source(value, levels)
        except ValueError as error:
            self.wrong(key, str(error))
            return None

    def raw(self, key: str) -> Any:
        """Return a value of any type; None if it is missing."""
        self._read.add(key)
        return self._data.get(key)

    def finish(self) -> None:
        """Add a problem for each key that was not read."""
        for key in self._data:
            if key not in self._read:
                self.wrong(key, f"unknown; known are {', '.join(sorted(self._read))}")


_TYPE_NAMES = {str: "string", int: "whole number", dict: "table", list: "list"}


def read(data: Any, settings: Settings | None = None) -> tuple[MqttConfig, list[Problem]]:
    """Read a parsed file: the configuration, and all problems found, each with its location.

    Without the relay's `settings`, message classes, kinds and tenants are not validated.
    """
    problems: list[Problem] = []
    whole = _Table("", data, problems)
    brokers = {}
    for name, table in whole.get("broker", dict, {}).items():
        brokers[name] = _login(_Table(f"broker.{name}", table, problems), name, needs_address=True)
        if name == LISTENER:
            problems.append(Problem(f"broker.{name}", "reserved name"))
    listener = None
    if (table := whole.get("listener", dict)) is not None:
        listener = _listener(_Table("listener", table, problems))
    routes = []
    known = {*brokers, *([LISTENER] if listener is not None else [])}
    for at, table in enumerate(whole.get("in", list, [])):
        route = _route(_Table(f"in[{at}]", table, problems), known, settings)
        if route is not None:
            routes.append(route)
    targets = {}
    for kind, table in whole.get("out", dict, {}).items():
        targets[kind] = _target(_Table(f"out.{kind}", table, problems), kind, settings)
    keep = whole.number("keep_ends_s", 86_400, 1, 30 * 86_400)
    whole.finish()
    _check_client_ids(brokers, targets, problems)
    config = MqttConfig(brokers, listener, tuple(routes), targets, keep)
    _check_reply_loops(config, problems)
    return config, problems


def _check_reply_loops(config: MqttConfig, problems: list[Problem]) -> None:
    """Guard against loops: outcomes that are received as messages, and have outcomes themselves."""
    for route in config.routes:
        topic = re.sub(r"\{\d+\}", "x", route.ends)
        for origin in sorted(route.sources):
            if topic and (found := config.route(origin, topic)) is not None:
                what = f"outcomes published there match the inbound filter {found[0].filter!r}"
                problems.append(Problem(f"ends {route.ends!r}", what))


def _check_client_ids(
    brokers: Mapping[str, Login], targets: Mapping[str, Target], problems: list[Problem]
) -> None:
    """Guard against two connections that share a client id and keep taking over each other's session."""
    seen: dict[str, str] = {}
    logins = [(f"broker.{name}", login) for name, login in brokers.items()]
    logins += [(f"out.{kind}", target.login) for kind, target in targets.items()]
    for where, login in logins:
        if login.client_id in seen:
            problems.append(Problem(f"{where}.client_id", f"the same as in {seen[login.client_id]}"))
        seen.setdefault(login.client_id, where)


def _login(table: _Table, name: str, needs_address: bool) -> Login:
    where = table.address("address") if needs_address else ("127.0.0.1", 1)
    client_id = table.get("client_id", str, name, wanted=True)
    version = {"5.0": V5, "3.1.1": V3}.get(version_text := table.get("version", str, "5.0"))
    if version is None:
        table.wrong("version", f"neither 5.0 nor 3.1.1: {version_text!r}")
    username, password = table.get("username", str), table.get("password", str)
    if password is not None and username is None:
        table.wrong("password", "without a username")
    login = Login(
        name,
        where,
        client_id,
        version or V5,
        table.number("keep_alive", 30, 1, 3600),
        table.number("session_expiry", 86_400, 1, 2**32 - 2),
        table.number("window", 64, 1, 1000),
        username,
        password,
    )
    if needs_address:
        table.finish()
    return login


def _listener(table: _Table) -> Listener:
    users = table.get("users", dict, {})
    for name, secret in users.items():
        if not isinstance(secret, str):
            table.wrong(f"users.{name}", "the password is not a string")
    listener = Listener(
        table.address("address"),
        table.number("connections", 256, 1, 10_000),
        table.number("keep_alive", 60, 1, 3600),
        table.number("window", 16, 1, 1000),
        users,
    )
    table.finish()
    return listener


def _route(table: _Table, known: Collection[str], settings: Settings | None) -> Route | None:
    name = table.get("filter", str, "", wanted=True)
    if name and not is_filter(name):
        table.wrong("filter", f"not a topic filter: {name!r}")
    elif name.startswith("$share/"):
        table.wrong("filter", "set `share` instead of a $share/ prefix")
    levels = name.split("/").count("+")
    sources = _sources(table, known)
    message_class = table.get("class", str, "", wanted=True)
    kind = None if settings is None else settings.classes.get(message_class)
    if settings is not None and message_class and kind is None:
        table.wrong("class", f"unknown: {message_class!r}; known are {', '.join(sorted(settings.classes))}")
    destination = _destination(table, levels)
    identity, key = table.source("id", levels), table.source("key", levels)
    if kind is not None and kind.effect is Effect.UNSAFE and table.raw("id") is None:
        # Without an id, a redelivery by the broker would take effect a second time.
        table.wrong("id", f"missing: {message_class} may not take effect twice, so each message needs an id")
    if kind is not None and kind.effect is Effect.KEYED and table.raw("key") is None:
        table.wrong("key", f"missing: messages of {message_class} are identified by their key")
    deadline_ms, deadline = _deadline(table, levels)
    tenant = _tenant(table, levels, settings)
    ends, share = table.get("ends", str, ""), table.get("share", str, "")
    placeholders = re.findall(r"\{(\w+)\}", ends)
    if ends and not is_topic(re.sub(r"[{}]", "", ends)):
        table.wrong("ends", f"not a topic: {ends!r}")
    if any(not (placeholder.isdigit() and 1 <= int(placeholder) <= levels) for placeholder in placeholders):
        table.wrong("ends", f"refers to a + level that the filter does not have: {ends!r}")
    if share and ("/" in share or not is_filter(f"$share/{share}/x")):
        table.wrong("share", f"not a valid group name: {share!r}")
    qos = table.number("qos", 1, 0, 2)
    if qos == 0 and kind is not None and kind.effect is Effect.UNSAFE:
        table.wrong("qos", f"QoS 0 may lose messages of {message_class} without notice")
    table.finish()
    if destination is None:
        return None
    effect = kind.effect if kind is not None else Effect.UNSAFE
    return Route(
        name,
        frozenset(sources),
        message_class,
        effect,
        destination,
        tenant,
        identity,
        key,
        deadline_ms,
        deadline,
        ends,
        qos,
        share,
    )


def _sources(table: _Table, known: Collection[str]) -> list[str]:
    sources = table.get("from", list, [], wanted=True)
    for name in sources:
        if name not in known:
            table.wrong("from", f"no such broker or listener: {name!r}")
    return [str(source) for source in sources]


def _destination(table: _Table, levels: int) -> Source | None:
    value = table.raw("destination")
    if isinstance(value, int) and not isinstance(value, bool):
        if not 0 <= value <= MAX_DESTINATION:
            table.wrong("destination", f"not from 0 to {MAX_DESTINATION}: {value}")
        return partial(_constant, str(value))
    return table.source("destination", levels, wanted=True)


def _tenant(table: _Table, levels: int, settings: Settings | None) -> Source | None:
    value = table.raw("tenant")
    if isinstance(value, str) and is_valid_name(value) and ":" not in value and value != "topic":
        if settings is not None and settings.tenants and value not in settings.tenants:
            table.wrong("tenant", f"unknown: {value!r}")
        return partial(_constant, value)
    if value is None and settings is not None and settings.tenants:
        table.wrong("tenant", "missing: the settings define tenants")
    return table.source("tenant", levels)


def _deadline(table: _Table, levels: int) -> tuple[int, Source | None]:
    value = table.raw("deadline_ms")
    if isinstance(value, int) and not isinstance(value, bool):
        if not 1 <= value <= MAX_DEADLINE_MS:
            table.wrong("deadline_ms", f"not from 1 to {MAX_DEADLINE_MS}: {value}")
        return value, None
    deadline = table.source("deadline_ms", levels, wanted=True)
    return table.number("deadline_default_ms", 10_000, 1, MAX_DEADLINE_MS), deadline


def _target(table: _Table, kind: str, settings: Settings | None) -> Target:
    if settings is not None and kind not in settings.kinds:
        table.wrong("", f"no such kind in the settings; known are {', '.join(sorted(settings.kinds))}")
    elif settings is not None and settings.kinds[kind].bundle_max > 1:
        table.wrong("", "this kind bundles messages, but a publish carries one message")
    topic = table.get("topic", str, "", wanted=True)
    placeholders = re.findall(r"\{(\w*)\}", topic)
    if topic and not is_topic(topic):
        table.wrong("topic", f"not a topic: {topic!r}")
    if any(placeholder not in ("destination", "endpoint") for placeholder in placeholders):
        table.wrong("topic", f"placeholder other than {{destination}} and {{endpoint}}: {topic!r}")
    login = _login(table, f"out.{kind}", needs_address=False)
    qos = table.get("qos", dict, {})
    for name, value in qos.items():
        if settings is not None and name not in settings.classes:
            table.wrong(f"qos.{name}", "no such class")
        if value not in (1, 2):
            table.wrong(f"qos.{name}", f"neither 1 nor 2: {value!r}; QoS 0 has no acknowledgement")
    table.finish()
    return Target(topic, login, qos)
