"""Every event and decision of a relay as lines of its log, for counts over a whole fleet.

A line for each round: `~`, the relay's clock in microseconds, then words of fields that are set apart by `:`.
All times are microseconds. A space or a colon in a name is written as `_`.

| word | fields |
| --- | --- |
| `K` | a class, as this process begins: name, worth, aim, deadline, part of its worth that is left then |
| `T` | a message: its number in this life, destination, class, microseconds left |
| `B` | the same, held from before a restart, with attempts made |
| `S` | a send: message, endpoint, the first message of its call, 1 where it wants a new connection |
| `O` | an outcome: message, attempt, endpoint, result, told wait, 1 on a used connection, time it took |
| `R` | handed back or refused: message, microseconds until its client may come again |
| `F` | given up: message |
| `L` | listed: endpoint, destination, kind, phase, rate |
| `C` | idle connections closed: endpoint |
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from amberlug.core.log import log
from amberlug.core.messages import Attempt, AttemptResult, End, Message
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
        """Write what the module was told and what it decided."""
        words: list[str] = []
        for event in events:
            if isinstance(event, api.Listed):
                words += _entries(event)
        words += [word for it in (*events, *actions) if (word := _word(it)) is not None]
        if words:
            log(f"~ {now_us} {' '.join(words)}")

    def taken(self, message: Message) -> None:
        """Pass over what the round has told."""

    def attempt(self, attempt: Attempt) -> None:
        """Pass over what the round has told."""

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        """Pass over what the round will tell."""

    def ended(self, message: Message, end: End) -> None:
        """Pass over what the round or an outcome tells."""
