"""Reads the list of endpoints in discovery's form; whoever follows it shares this."""

from __future__ import annotations

from collections.abc import Iterable
from ipaddress import ip_address
from typing import Any

from amberlug.core.ports import Address, News
from stoatusher.interface import Entry, State

_STATES = {"in_service": State.IN, "terminating": State.DRAINING, "terminated": State.GONE}


def address(text: str) -> Address:
    """Split an IP address and its port; there is no DNS to look a name up in."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return str(ip_address(host)), int(port)


def read_news(data: Any, kinds: Iterable[str]) -> News:
    """Read an object of discovery's; `ValueError` where it is malformed."""
    try:
        entries, addresses = [], {}
        for item in data["members"]:
            entry = Entry(
                endpoint=str(item["id"]),
                zone=str(item["locality"]),
                kind=str(item["flavor"]),
                destination=int(item["cell"]),
                state=_STATES[item["phase"]],
                rate=float(item["size"]),
            )
            if entry.kind not in kinds:
                raise ValueError(f"unknown kind {entry.kind!r}")
            addresses[entry.endpoint] = address(item["host_port"])
            entries.append(entry)
        return News(int(data["revision"]), bool(data["complete"]), tuple(entries), addresses)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from None
