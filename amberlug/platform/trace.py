"""Logs every event and decision of a relay, for statistics over a whole fleet.

Each round is one line: `~`, the relay's clock in microseconds, then words whose fields are separated by `:`.
All times are in microseconds. A space or a colon in a name is written as `_`.

| word | fields |
| --- | --- |
| `K` | a message class, at startup: name, worth, aim, deadline, fraction of the worth left at the deadline |
| `T` | message accepted: its number in this process, destination, class, time left |
| `B` | message resumed after a restart: the same fields, and the number of attempts made |
| `S` | send: message, endpoint, the first message of its call, 1 if a new connection is required |
| `O` | outcome: message, attempt, endpoint, result, requested wait, 1 on a reused connection, duration |
| `R` | handed back or refused: message, time until its client may retry |
| `F` | failed: message |
| `L` | list entry received: endpoint, destination, kind, phase, rate |
| `C` | idle connections closed: endpoint |
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from amberlug.core.log import log
from amberlug.core.messages import Attempt, AttemptResult, End, Message
from amberlug.policy import interface as api

_SEPARATORS = re.compile(r"[\s:]")


def _escape(text: str) -> str:
    return _SEPARATORS.sub("_", text)


def _format(item: api.Event | api.Action) -> str | None:
    match item:
        case api.Taken():
            return f"T:{item.ref}:{item.destination}:{_escape(item.message_class)}:{item.left_us}"
        case api.Resumed(taken, attempts):
            held = f"{taken.ref}:{taken.destination}:{_escape(taken.message_class)}"
            return f"B:{held}:{taken.left_us}:{attempts}"
        case api.Send():
            return f"S:{item.ref}:{_escape(item.endpoint)}:{item.call}:{item.fresh:d}"
        case api.Outcome():
            result = item.result.value.replace(" ", "_")
            ended = f"{item.ref}:{item.attempt}:{_escape(item.endpoint)}:{result}"
            return f"O:{ended}:{item.wait_us}:{item.reused:d}:{item.took_us}"
        case api.Refuse():
            return f"R:{item.ref}:{item.advice_us}"
        case api.Fail():
            return f"F:{item.ref}"
        case api.CloseIdle():
            return f"C:{_escape(item.endpoint)}"
    return None


def _format_entries(news: api.Listed) -> list[str]:
    return [
        f"L:{_escape(item.endpoint)}:{item.destination}:{_escape(item.kind)}:{item.state.value}:{item.rate:g}"
        for item in news.entries
    ]


class Trace:
    """Writes each round to the log; an `Observer`."""

    def __init__(self, settings: api.Settings) -> None:
        classes = (
            f"K:{_escape(item.name)}:{item.worth:g}:{item.aim_us}:{item.deadline_us}:{item.late_worth:g}"
            for item in settings.classes.values()
        )
        log(f"~ 0 {' '.join(classes)}")

    def round(self, now_us: int, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        """Log the events given to the decision module, and its actions."""
        formatted: list[str] = []
        for event in events:
            if isinstance(event, api.Listed):
                formatted += _format_entries(event)
        formatted += [
            formatted_item for item in (*events, *actions) if (formatted_item := _format(item)) is not None
        ]
        if formatted:
            log(f"~ {now_us} {' '.join(formatted)}")

    def taken(self, message: Message) -> None:
        """Do nothing: the round has logged this."""

    def attempt(self, attempt: Attempt) -> None:
        """Do nothing: the round has logged this."""

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        """Do nothing: the round will log this."""

    def ended(self, message: Message, end: End) -> None:
        """Do nothing: the round or an outcome logs this."""
