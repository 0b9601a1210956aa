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
from amberlug.core.messages import Attempt, End, Ending, Message
from amberlug.policy import interface as api

_APART = re.compile(r"[\s:]")


def _plain(text: str) -> str:
    return _APART.sub("_", text)


def _word(it: api.Event | api.Action) -> str | None:
    match it:
        case api.Taken():
            return f"T:{it.ref}:{it.destination}:{_plain(it.message_class)}:{it.left_us}"
        case api.Resumed(taken, attempts):
            held = f"{taken.ref}:{taken.destination}:{_plain(taken.message_class)}"
            return f"B:{held}:{taken.left_us}:{attempts}"
        case api.Send():
            return f"S:{it.ref}:{_plain(it.endpoint)}:{it.call}:{it.fresh:d}"
        case api.Outcome():
            result = it.result.value.replace(" ", "_")
            ended = f"{it.ref}:{it.attempt}:{_plain(it.endpoint)}:{result}"
            return f"O:{ended}:{it.wait_us}:{it.reused:d}:{it.took_us}"
        case api.Refuse():
            return f"R:{it.ref}:{it.advice_us}"
        case api.Fail():
            return f"F:{it.ref}"
        case api.CloseIdle():
            return f"C:{_plain(it.endpoint)}"
    return None


def _entries(news: api.Listed) -> list[str]:
    return [
        f"L:{_plain(it.endpoint)}:{it.destination}:{_plain(it.kind)}:{it.state.value}:{it.rate:g}"
        for it in news.entries
    ]


class Trace:
    """Writes each round to the log; an `Observer`."""

    def __init__(self, settings: api.Settings) -> None:
        kinds = (
            f"K:{_plain(it.name)}:{it.worth:g}:{it.aim_us}:{it.deadline_us}:{it.late_worth:g}"
            for it in settings.classes.values()
        )
        log(f"~ 0 {' '.join(kinds)}")

    def round(self, now_us: int, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        """Log the events given to the decision module, and its actions."""
        words: list[str] = []
        for event in events:
            if isinstance(event, api.Listed):
                words += _entries(event)
        words += [word for it in (*events, *actions) if (word := _word(it)) is not None]
        if words:
            log(f"~ {now_us} {' '.join(words)}")

    def taken(self, message: Message) -> None:
        """Do nothing: the round has logged this."""

    def attempt(self, attempt: Attempt) -> None:
        """Do nothing: the round has logged this."""

    def outcome(self, attempt: Attempt, how: Ending) -> None:
        """Do nothing: the round will log this."""

    def ended(self, message: Message, end: End) -> None:
        """Do nothing: the round or an outcome logs this."""
