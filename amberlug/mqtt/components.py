"""Assembles the daemon's MQTT components from the operator's configuration file."""

from __future__ import annotations

import tomllib
from pathlib import Path

from amberlug.core.ports import Clock, OutcomeNotifier, Transport
from amberlug.mqtt import mapping
from amberlug.mqtt.intake import Intake, Node
from amberlug.mqtt.listener import Listener
from amberlug.mqtt.outcomes import MqttOutcomeNotifier
from amberlug.mqtt.publisher import Publisher
from amberlug.mqtt.subscriber import Subscriber
from amberlug.policy.interface import Settings


class Mqtt:
    """The MQTT components of a daemon; the node is created elsewhere and passed to `start`.

    Raises `ValueError` with the first problem in the file, `OSError` if it can't be read.
    """

    def __init__(self, path: Path, settings: Settings, clock: Clock) -> None:
        try:
            table = tomllib.loads(path.read_text(encoding="utf-8"))
        except tomllib.TOMLDecodeError as error:
            raise ValueError(f"{path}: {error}") from None
        self._config, problems = mapping.read(table, settings)
        if problems:
            more = f" (and {len(problems) - 1} more: see `amberlug check`)" if len(problems) > 1 else ""
            raise ValueError(f"{path}: {problems[0].where}: {problems[0].what}{more}")
        self._clock = clock
        self._intake = Intake(self._config, settings, clock)

    def transport(self, others: Transport) -> Transport:
        """Wrap a transport: publish for the configured endpoint kinds, delegate all others."""
        self._publisher = Publisher(others, self._config.targets, self._clock)
        return self._publisher

    def ends(self, notices: OutcomeNotifier) -> OutcomeNotifier:
        """Wrap a notifier: send outcomes to the origins of their messages as well."""
        self._notifier = MqttOutcomeNotifier(notices, self._config.keep_ends_s)
        self._subscribers = [
            Subscriber(login, self._config, self._intake, self._notifier)
            for login in self._config.brokers.values()
        ]
        listener = self._config.listener
        self._listener = None if listener is None else Listener(listener, self._intake, self._notifier)
        return self._notifier

    async def start(self, node: Node) -> None:
        """Start accepting messages; raises `OSError` if the listener's address can't be bound."""
        self._intake.node = node
        if self._listener is not None:
            await self._listener.start()
        self._notifier.start()
        for subscriber in self._subscribers:
            subscriber.start()

    def close(self) -> None:
        """Stop accepting messages; calls and outcome notifications continue."""
        for subscriber in self._subscribers:
            subscriber.close()
        if self._listener is not None:
            self._listener.close()

    def stop(self) -> None:
        """Close all connections."""
        self._notifier.stop()
        self._publisher.stop()
