"""Renders the control plane's status document as human-readable lines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from amberlug.cluster.interfaces import Json

UNRESPONSIVE = "does not respond"


def status_lines(status: Json) -> Iterator[str]:
    """Render the complete status document of a control-plane node."""
    yield from _consensus_lines(status["core"], status["confirmed"])
    yield from _table([_session_row(session) for session in status["members"]])
    yield from _storage_lines(status["stores"])
    yield from _shard_lines(status["shards"])
    yield _configuration_summary(status["configuration"])
    yield from _endpoint_lines(status["endpoints"])
    yield _replication_summary(status["copies_short"], status["copies_unknown"])
    if status["counters"]:
        yield "counters: " + ", ".join(f"{name} {count}" for name, count in status["counters"].items())


def _table(rows: Iterable[Sequence[object]]) -> Iterator[str]:
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(*texts, strict=True)]
    for row in texts:
        yield "  " + "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()


def _consensus_lines(consensus: Json, is_confirmed: bool) -> Iterator[str]:
    leader = consensus["leader"]
    yield f"term {consensus['term']}, led by {leader or 'nobody'}, log at {consensus['commit']}"
    if not is_confirmed:
        yield "NOT CONFIRMED by a majority: what follows may be outdated"
    yield from _table([_member_row(member, leader) for member in consensus["members"]])


def _member_row(member: Json, leader: str) -> list[object]:
    if member["id"] == leader:
        role = "leader"
    else:
        role = "voter" if member["voter"] else "learner"
    report = member["told"]
    text = f"log at {report['commit']}, edition {report['edition']}" if report is not None else UNRESPONSIVE
    return ["control", member["name"] or member["id"], member["zone"], role, member["control"], text]


def _session_row(session: Json) -> list[object]:
    report = session["told"]
    if report is None:
        text = UNRESPONSIVE
    elif session["class"] == "edge":
        text = _edge_text(report)
    else:
        text = _storage_text(report)
    age = f"session for {session['for_s']:.0f} s"
    return [session["class"], session["name"], session["zone"], session["state"], age, text]


def _edge_text(report: Json) -> str:
    readiness = "ready" if report["ready"] else "not ready"
    return (
        f"{readiness}, edition {report['edition']}, {report['shards']} shards, {report['in hand']} queued, "
        f"{report['out']} in flight, {report['copies short']} under-replicated"
    )


def _storage_text(report: Json) -> str:
    text = f"{report['open']} open, {report['ended']} ended, {report['dead']} dead"
    return f"{text}, DISK FULL" if report["full"] else text


def _storage_lines(stores_by_disk: Json) -> Iterator[str]:
    stores = stores_by_disk.values()
    yield "storage nodes: " + ", ".join(f"{store['name']} {store['state']}" for store in stores)
    absent = [str(store["name"]) for store in stores if not store["session"]]
    if absent:
        yield f"storage nodes without a session: {', '.join(absent)}"


def _shard_lines(shards: Json) -> Iterator[str]:
    owned = [f"{count} {owner.partition('/')[0]}" for owner, count in shards["owners"].items()]
    yield f"shards: {', '.join(owned) or 'none assigned yet'}; {shards['nobody']} without an owner"


def _configuration_summary(configuration: Json) -> str:
    edition, edges = configuration["edition"], configuration["edges"]
    behind = [
        f"{name} has {known if known is not None else 'not responded'}"
        for name, known in edges.items()
        if known != edition
    ]
    spread = "; ".join(behind) or ("all edge nodes have it" if edges else "no edge node has a session")
    return f"configuration: edition {edition} committed; {spread}"


def _endpoint_lines(endpoints: Sequence[Json]) -> Iterator[str]:
    by_condition = Counter((endpoint["service"], endpoint["cond"]) for endpoint in endpoints)
    for (service, condition), count in sorted(by_condition.items()):
        yield f"endpoints of {service or 'no service'}: {count} {condition}"


def _replication_summary(under_replicated: int, unresponsive_edges: int) -> str:
    unknown = f" ({unresponsive_edges} edge nodes did not respond)" if unresponsive_edges else ""
    return f"under-replicated messages: {under_replicated}{unknown}"
