"""Mutations of the order in which the delivery queue passes messages on."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.message import Message


def _offered_at_once() -> AbstractContextManager[Any]:
    """A message is passed on as it becomes ready, also within a walk over the queue that ends messages."""

    def offer(self: DeliveryQueue, message: Message) -> None:
        """Pass the message on before the caller goes on."""
        if self._is_ready(message):
            self._on_ready(message)

    @contextmanager
    def batch(self: DeliveryQueue) -> Iterator[None]:
        """Hold nothing back."""
        yield

    return patch.multiple(DeliveryQueue, _offer=offer, batch=batch)


# By name: the mutation, and the scenario family in which it is looked for.
FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "offered-at-once": (_offered_at_once, "retention"),
}
