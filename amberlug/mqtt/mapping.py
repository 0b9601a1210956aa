"""What an operator's file says of MQTT: where messages come from, what makes one, and where they go.

Nothing here does I/O: `read` checks a table that TOML's reader gave, all its errors at once, and `Route.read`
makes a message of a publish.
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
from amberlug.mqtt.packets import TOO_LARGE, V3, V5, Publish
from amberlug.mqtt.properties import P, user
from amberlug.mqtt.topics import captured, is_filter, is_topic
from amberlug.platform.checking import Problem
from amberlug.policy.interface import Effect, Settings

NOT_VALID = 0x99  # payload format invalid: what is to be read from a publish is not there
NOT_AUTHORIZED = 0x87
QUOTA = 0x97
DESTINATION_MOST = 10**9
LEFT_MOST_MS = 10**9
LISTENER = "listener"  # what publishers without a broker are called in `from`


class BadPublishError(ValueError):
    """A publish that can be no message, with the reason code of 5.0 for it."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


# Where a value stands in a publish.


@dataclass(frozen=True, slots=True)
class Heard:
    """A publish as sources read it: `levels` are those that the filter's `+` stand for."""

    packet: Publish
    levels: tuple[str, ...]

    def payload(self) -> Any:
        """The payload as JSON; `BadPublishError` where it is none."""
        try:
            return json.loads(self.packet.payload)
        except (ValueError, RecursionError):
            raise BadPublishError(NOT_VALID, "the payload is no JSON") from None


Source = Callable[[Heard], str | None]


def _constant(value: str, heard: Heard) -> str | None:
    return value


def _level(number: int, heard: Heard) -> str | None:
    return heard.levels[number - 1]


def _property(name: str, heard: Heard) -> str | None:
    return user(heard.packet.properties, name)


def _field(path: tuple[str, ...], heard: Heard) -> str | None:
    value = heard.payload()
    for name in path:
        if not isinstance(value, dict) or name not in value:
            return None
        value = value[name]
    if isinstance(value, bool) or not isinstance(value, str | int):
        return None  # a number with a fraction, a list or an object names nothing for sure
    return str(value)


def _topic(heard: Heard) -> str | None:
    return heard.packet.topic


def _digest(parts: tuple[Source, ...], heard: Heard) -> str | None:
    """A digest of named values; none where one of them is missing."""
    values = [part(heard) for part in parts]
    if None in values:
        return None
    # As JSON, so that no two lists of values run together into the same bytes.
    return hashlib.blake2b(json.dumps(values).encode(), digest_size=20).hexdigest()


_SOURCE = re.compile(r"(level|property|field):(.+)", re.DOTALL)


def source(value: Any, levels: int) -> Source:
    """Read where a value stands; `ValueError` where that can't be. The filter has so many `levels` as +."""
    if isinstance(value, dict):
        parts = value.get("digest")
        if set(value) != {"digest"} or not isinstance(parts, list) or not parts:
            raise ValueError('neither a text nor { digest = ["...", ...] }')
        return partial(_digest, tuple(source(part, levels) for part in parts))
    if not isinstance(value, str):
        raise ValueError(f"no place in a publish: {value!r}")
    if value == "topic":
        return _topic
    match = _SOURCE.fullmatch(value)
    if match is None:
        raise ValueError(f"{value!r} is none of topic, level:N, property:NAME, field:NAME.NAME")
    where, name = match.groups()
    if where == "level":
        if not (name.isascii() and name.isdigit() and 1 <= int(name) <= levels):
            raise ValueError(f"{value!r}: the filter has {levels} levels that are +")
        return partial(_level, int(name))
    return partial(_property, name) if where == "property" else partial(_field, tuple(name.split(".")))


# What a file holds.


@dataclass(frozen=True, slots=True)
class Login:
    """A broker, and how the relay presents itself there."""

    name: str
    address: Address
    client_id: str
    version: int = V5
    keep_alive: int = 30  # seconds
    session_expiry: int = 86_400  # seconds that the broker keeps what it could not bring
    window: int = 64  # publishes that may be on their way at once, in either direction
    username: str | None = None
    password: str | None = None


@dataclass(frozen=True, slots=True)
class Listener:
    """Where publishers without a broker connect, and how much they may take."""

    address: Address
    connections: int = 256
    keep_alive: int = 60  # seconds at most that a connection may be silent for
    window: int = 16
    users: Mapping[str, str] = field(default_factory=dict)  # name to password; nobody is asked where empty


@dataclass(frozen=True, slots=True)
class Route:
    """What makes a message of a publish."""

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
    ends: str  # a topic for ends where a publish names none; {1} is the first level that is +
    qos: int
    share: str

    @property
    def subscription(self) -> str:
        """The filter that is subscribed to."""
        return f"$share/{self.share}/{self.filter}" if self.share else self.filter

    def read(self, heard: Heard, settings: Settings, now_ms: int) -> tuple[Message, int]:
        """The message, and how long it has left, in microseconds; `BadPublishError` where it is none."""
        body = heard.packet.payload
        if len(body) > MAX_BODY_BYTES:
            raise BadPublishError(TOO_LARGE, "the payload is over 64 KiB")
        destination = _number(self.destination(heard), "destination", DESTINATION_MOST)
        left_ms = self.deadline_ms
        if self.deadline is not None and (told := self.deadline(heard)) is not None:
            left_ms = _number(told, "deadline", LEFT_MOST_MS)
        if (expiry := heard.packet.properties.get(P.MESSAGE_EXPIRY)) is not None:
            left_ms = min(left_ms, expiry * 1000)
        tenant = None if self.tenant is None else self.tenant(heard)
        if settings.tenants and tenant not in settings.tenants:
            raise BadPublishError(NOT_AUTHORIZED, "the tenant is unknown")
        key = _word(None if self.key is None else self.key(heard), "key", self.key is not None)
        name = self._name(heard, key, destination)
        message = Message(name, self.message_class, tenant, destination, key, body, now_ms + left_ms)
        return message, left_ms * 1000

    def _name(self, heard: Heard, key: str | None, destination: int) -> str:
        """What the message is known again by."""
        name = None if self.id is None else self.id(heard)
        if name is None and self.effect is Effect.KEYED:
            # Its key tells it from others of its class for the same destination.
            whole = json.dumps([self.message_class, destination, key]).encode()
            return hashlib.blake2b(whole, digest_size=20).hexdigest()
        if name is None and self.effect is Effect.SAFE and self.id is None:
            # Each is one of its own: what the broker brings twice goes twice, which does no harm. The same
            # bytes once more may be meant so, and must not be taken for a repeat.
            return uuid4().hex
        return _word(name, "id", True) or ""

    def end_topic(self, heard: Heard) -> str:
        """Where its end is told; empty where nobody asked."""
        topic = heard.packet.properties.get(P.RESPONSE_TOPIC, "")
        if topic or not self.ends:
            return str(topic)
        return _filled(self.ends, {str(at): it for at, it in enumerate(heard.levels, 1)})


@dataclass(frozen=True, slots=True)
class Target:
    """Where messages go whose endpoints are of one kind."""

    topic: str  # {destination} and {endpoint} are filled in
    login: Login  # as whom; the address is the endpoint's
    qos: Mapping[str, int]  # by class; 1 for others

    def topic_of(self, destination: int, endpoint: str) -> str:
        """The topic of one endpoint."""
        return _filled(self.topic, {"destination": str(destination), "endpoint": endpoint})


@dataclass(frozen=True, slots=True)
class Mapped:
    """All that a file says."""

    brokers: Mapping[str, Login] = field(default_factory=dict)
    listener: Listener | None = None
    routes: tuple[Route, ...] = ()
    targets: Mapping[str, Target] = field(default_factory=dict)
    keep_ends_s: int = 86_400  # how long an end that nobody acknowledges is kept

    def route(self, come_from: str, topic: str) -> tuple[Route, tuple[str, ...]] | None:
        """The first route for a topic, in the order of the file, and the levels that are +."""
        for route in self.routes:
            if come_from in route.sources and (levels := captured(route.filter, topic)) is not None:
                return route, levels
        return None


def _number(text: str | None, what: str, most: int) -> int:
    if text is None or not (text.isascii() and text.isdigit() and len(text) <= 18 and int(text) <= most):
        raise BadPublishError(NOT_VALID, f"the {what} is missing or malformed")
    return int(text)


def _word(text: str | None, what: str, wanted: bool) -> str | None:
    if not wanted:
        return None
    if text is None or not is_valid_name(text):
        raise BadPublishError(NOT_VALID, f"the {what} is missing or malformed")
    return text


def _filled(template: str, values: Mapping[str, str]) -> str:
    return re.sub(r"\{(\w+)\}", lambda match: values.get(match[1], match[0]), template)


# Reading a file.


class _Table:
    """One table of the file: reads its keys, and notes what is wrong with them."""

    def __init__(self, where: str, data: Any, problems: list[Problem]) -> None:
        self.where, self._problems = where, problems
        self._data: dict[str, Any] = data if isinstance(data, dict) else {}
        self._read: set[str] = set()
        if not isinstance(data, dict):
            problems.append(Problem(where, "no table"))

    def wrong(self, key: str, what: str) -> None:
        self._problems.append(Problem(f"{self.where}.{key}" if self.where else key, what))

    def get(self, key: str, kind: type, default: Any = None, wanted: bool = False) -> Any:
        """A value of one type; the default where it is missing or of another."""
        self._read.add(key)
        value = self._data.get(key)
        if value is None:
            if wanted:
                self.wrong(key, "missing")
            return default
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            self.wrong(key, f"no {_NAMES[kind]}: {value!r}")
            return default
        return value

    def number(self, key: str, default: int, least: int, most: int) -> int:
        value = self.get(key, int, default)
        if not least <= value <= most:
            self.wrong(key, f"not from {least} to {most}: {value}")
            return default
        return int(value)

    def address(self, key: str) -> Address:
        value = self.get(key, str, "", wanted=True)
        try:
            return parse_address(value)
        except ValueError:
            if value:
                self.wrong(key, f"not an IP address and port: {value!r}")
        return "127.0.0.1", 1

    def source(self, key: str, levels: int, wanted: bool = False) -> Source | None:
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
        self._read.add(key)
        return self._data.get(key)

    def finish(self) -> None:
        for key in self._data:
            if key not in self._read:
                self.wrong(key, f"unknown; known are {', '.join(sorted(self._read))}")


_NAMES = {str: "text", int: "whole number", dict: "table", list: "list"}


def read(data: Any, settings: Settings | None = None) -> tuple[Mapped, list[Problem]]:
    """Read a file's table: what it says, and all that is wrong with it, each with its place.

    Without `settings` (a relay's own) classes, kinds and tenants are not checked against anything.
    """
    problems: list[Problem] = []
    whole = _Table("", data, problems)
    brokers = {}
    for name, table in whole.get("broker", dict, {}).items():
        brokers[name] = _login(_Table(f"broker.{name}", table, problems), name, needs_address=True)
        if name == LISTENER:
            problems.append(Problem(f"broker.{name}", "a broker can't be called so"))
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
    _twins(brokers, targets, problems)
    mapped = Mapped(brokers, listener, tuple(routes), targets, keep)
    _loops(mapped, problems)
    return mapped, problems


def _loops(mapped: Mapped, problems: list[Problem]) -> None:
    """Guard against ends that are brought here again as messages, and have ends themselves."""
    for route in mapped.routes:
        topic = re.sub(r"\{\d+\}", "x", route.ends)
        for front in sorted(route.sources):
            if topic and (found := mapped.route(front, topic)) is not None:
                what = f"ends there come back as messages, by the filter {found[0].filter!r}"
                problems.append(Problem(f"ends {route.ends!r}", what))


def _twins(brokers: Mapping[str, Login], targets: Mapping[str, Target], problems: list[Problem]) -> None:
    """Guard against two connections that take one session from each other, again and again."""
    seen: dict[str, str] = {}
    logins = [(f"broker.{name}", it) for name, it in brokers.items()]
    logins += [(f"out.{kind}", it.login) for kind, it in targets.items()]
    for where, login in logins:
        if login.client_id in seen:
            problems.append(Problem(f"{where}.client_id", f"the same as in {seen[login.client_id]}"))
        seen.setdefault(login.client_id, where)


def _login(table: _Table, name: str, needs_address: bool) -> Login:
    where = table.address("address") if needs_address else ("127.0.0.1", 1)
    client_id = table.get("client_id", str, name, wanted=True)
    version = {"5.0": V5, "3.1.1": V3}.get(told := table.get("version", str, "5.0"))
    if version is None:
        table.wrong("version", f"neither 5.0 nor 3.1.1: {told!r}")
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
            table.wrong(f"users.{name}", "its password is no text")
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
        table.wrong("filter", f"no topic filter: {name!r}")
    elif name.startswith("$share/"):
        table.wrong("filter", "name the group in `share` instead")
    levels = name.split("/").count("+")
    sources = _sources(table, known)
    message_class = table.get("class", str, "", wanted=True)
    kind = None if settings is None else settings.classes.get(message_class)
    if settings is not None and message_class and kind is None:
        table.wrong("class", f"unknown: {message_class!r}; known are {', '.join(sorted(settings.classes))}")
    destination = _destination(table, levels)
    identity, key = table.source("id", levels), table.source("key", levels)
    if kind is not None and kind.effect is Effect.UNSAFE and table.raw("id") is None:
        # The rule on effects: without it, what the broker brings twice would be done twice.
        table.wrong("id", f"missing: {message_class} may not take effect twice, so each message needs an id")
    if kind is not None and kind.effect is Effect.KEYED and table.raw("key") is None:
        table.wrong("key", f"missing: messages of {message_class} are told apart by it")
    deadline_ms, deadline = _deadline(table, levels)
    tenant = _tenant(table, levels, settings)
    ends, share = table.get("ends", str, ""), table.get("share", str, "")
    holes = re.findall(r"\{(\w+)\}", ends)
    if ends and not is_topic(re.sub(r"[{}]", "", ends)):
        table.wrong("ends", f"no topic: {ends!r}")
    if any(not (it.isdigit() and 1 <= int(it) <= levels) for it in holes):
        table.wrong("ends", f"names a level that the filter does not have as +: {ends!r}")
    if share and ("/" in share or not is_filter(f"$share/{share}/x")):
        table.wrong("share", f"no name of a group: {share!r}")
    qos = table.number("qos", 1, 0, 2)
    if qos == 0 and kind is not None and kind.effect is Effect.UNSAFE:
        table.wrong("qos", f"0 may lose messages of {message_class}, and nobody would be told")
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
            table.wrong("from", f"no such broker, and no listener: {name!r}")
    return [str(it) for it in sources]


def _destination(table: _Table, levels: int) -> Source | None:
    value = table.raw("destination")
    if isinstance(value, int) and not isinstance(value, bool):
        if not 0 <= value <= DESTINATION_MOST:
            table.wrong("destination", f"not from 0 to {DESTINATION_MOST}: {value}")
        return partial(_constant, str(value))
    return table.source("destination", levels, wanted=True)


def _tenant(table: _Table, levels: int, settings: Settings | None) -> Source | None:
    value = table.raw("tenant")
    if isinstance(value, str) and is_valid_name(value) and ":" not in value and value != "topic":
        if settings is not None and settings.tenants and value not in settings.tenants:
            table.wrong("tenant", f"unknown: {value!r}")
        return partial(_constant, value)
    if value is None and settings is not None and settings.tenants:
        table.wrong("tenant", "missing: the settings tell tenants apart")
    return table.source("tenant", levels)


def _deadline(table: _Table, levels: int) -> tuple[int, Source | None]:
    value = table.raw("deadline_ms")
    if isinstance(value, int) and not isinstance(value, bool):
        if not 1 <= value <= LEFT_MOST_MS:
            table.wrong("deadline_ms", f"not from 1 to {LEFT_MOST_MS}: {value}")
        return value, None
    deadline = table.source("deadline_ms", levels, wanted=True)
    return table.number("deadline_default_ms", 10_000, 1, LEFT_MOST_MS), deadline


def _target(table: _Table, kind: str, settings: Settings | None) -> Target:
    if settings is not None and kind not in settings.kinds:
        table.wrong("", f"the settings know no such kind: {', '.join(sorted(settings.kinds))}")
    elif settings is not None and settings.kinds[kind].bundle_max > 1:
        table.wrong("", "a kind that bundles: a publish is one message")
    topic = table.get("topic", str, "", wanted=True)
    holes = re.findall(r"\{(\w*)\}", topic)
    if topic and not is_topic(topic):
        table.wrong("topic", f"no topic: {topic!r}")
    if any(it not in ("destination", "endpoint") for it in holes):
        table.wrong("topic", f"only {{destination}} and {{endpoint}} are filled in: {topic!r}")
    login = _login(table, f"out.{kind}", needs_address=False)
    qos = table.get("qos", dict, {})
    for name, value in qos.items():
        if settings is not None and name not in settings.classes:
            table.wrong(f"qos.{name}", "no such class")
        if value not in (1, 2):
            table.wrong(f"qos.{name}", f"neither 1 nor 2: {value!r}; at 0 nobody tells that it arrived")
    table.finish()
    return Target(topic, login, qos)
