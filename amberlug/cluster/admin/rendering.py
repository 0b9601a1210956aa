"""How a deployment stands, as lines for people."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Iterable, Iterator
from typing import Any

from amberlug.cluster.interfaces import Json

SILENT = "does not answer"


def _table(rows: Iterable[Iterable[object]]) -> Iterator[str]:
    texts = [[str(it) for it in row] for row in rows]
    widths = [max(len(it) for it in column) for column in zip(*texts, strict=True)]
    for row in texts:
        yield "  " + "  ".join(it.ljust(width) for it, width in zip(row, widths, strict=True)).rstrip()


def _member(it: Json) -> list[object]:
    told: dict[str, Any] | None = it["told"]
    if told is None:
        said = SILENT
    elif it["class"] == "edge":
        said = (
            f"{'ready' if told['ready'] else 'not ready'}, edition {told['edition']}, "
            f"{told['shards']} shards, "
            f"{told['in hand']} in hand, {told['out']} out, {told['copies short']} short of copies"
        )
    else:
        said = f"{told['open']} open, {told['ended']} ended, {told['dead']} dead"
        said += ", DISK FULL" if told["full"] else ""
    return [it["class"], it["name"], it["zone"], it["state"], f"session for {it['for_s']:.0f} s", said]


def _core(it: Json, leader: str) -> list[object]:
    part = "leader" if it["id"] == leader else "voter" if it["voter"] else "learner"
    told = it["told"]
    said = f"log at {told['commit']}, edition {told['edition']}" if told is not None else SILENT
    return ["core", it["name"] or it["id"], it["zone"], part, it["control"], said]


def status_lines(status: Json) -> Iterator[str]:
    """The whole answer of a control relay's status."""
    core = status["core"]
    yield f"term {core['term']}, led by {core['leader'] or 'nobody'}, log at {core['commit']}"
    if not status["confirmed"]:
        yield "NOT CONFIRMED by a majority: what follows may be old"
    yield from _table(_core(it, core["leader"]) for it in core["members"])
    yield from _table(_member(it) for it in status["members"])
    stores = status["stores"].values()
    absent = [str(it["name"]) for it in stores if not it["session"]]
    yield "stores: " + ", ".join(f"{it['name']} {it['state']}" for it in stores)
    if absent:
        yield f"stores without a session: {', '.join(absent)}"
    shards = status["shards"]
    owned = [f"{number} {name.partition('/')[0]}" for name, number in shards["owners"].items()]
    yield f"shards: {', '.join(owned) or 'none dealt yet'}; {shards['nobody']} with nobody"
    edges = status["configuration"]["edges"]
    behind = [
        f"{name} has {edition if edition is not None else 'not answered'}"
        for name, edition in edges.items()
        if edition != status["configuration"]["edition"]
    ]
    yield f"configuration: edition {status['configuration']['edition']} agreed; " + (
        "; ".join(behind) or ("all edges have it" if edges else "no edge is a member")
    )
    tally = Tally((it["service"], it["cond"]) for it in status["endpoints"])
    for (service, condition), number in sorted(tally.items()):
        yield f"endpoints of {service or 'no service'}: {number} {condition}"
    unknown = status["copies_unknown"]
    yield f"copies short: {status['copies_short']}" + (f" ({unknown} edges unheard)" if unknown else "")
    if status["counters"]:
        yield "counters: " + ", ".join(f"{name} {value}" for name, value in status["counters"].items())
