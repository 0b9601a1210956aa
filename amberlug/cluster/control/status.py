"""A control relay's calls for operators that only look: the whole deployment in one answer. No I/O."""

from __future__ import annotations

import base64
from collections import Counter as Tally
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from result import Err, Ok, Result

from amberlug.cluster import metrics
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.http.api import HttpRequest, HttpResponse, RespondHttp, order
from amberlug.cluster.interfaces import Json, Reply, RequestFailure, Respond, on
from amberlug.cluster.node_status import DEAD_MOST

if TYPE_CHECKING:
    from amberlug.cluster.control.node import ControlNode

LOOK_S = 0.6  # for peers to answer: operators wait a second


class _Round:
    """One question to several peers; `then` hears once, with what came in time."""

    def __init__(
        self, core: ControlNode, then: Callable[[dict[str, Result[Reply, RequestFailure]]], None]
    ) -> None:
        self._core, self._then = core, then
        self._heard: dict[str, Result[Reply, RequestFailure]] = {}
        self._left = 1  # the round itself, until all are asked

    def request(self, name: str, to: str, word: str, body: Json) -> None:
        self._left += 1
        self._core.world.request(to, word, body, LOOK_S, partial(self._hear, name))

    def wait(self) -> Callable[[], None]:
        """Something else to wait for, as long as for a peer; what is given says that it is there."""
        self._left += 1
        waits = [self._one_less]

        def over() -> None:
            if waits:
                waits.pop()()

        self._core.world.call_later(LOOK_S, over)
        return over

    def asked(self) -> None:
        """All have been asked."""
        self._one_less()

    def _hear(self, name: str, reply: Result[Reply, RequestFailure]) -> None:
        self._heard[name] = reply
        self._one_less()

    def _one_less(self) -> None:
        self._left -= 1
        if self._left == 0:
            self._then(self._heard)


class StatusService:
    """Looks over the deployment from one core machine."""

    def __init__(self, core: ControlNode) -> None:
        self._core = core

    @order("GET", metrics.PATH)
    def counters(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Give this process's counters."""
        say(HttpResponse(200, {}, page=metrics.page(self._core.counts)))

    # -- how it all stands

    @order("GET", "/-/Foreman.Status")
    def status(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Tell how the whole deployment stands, also where some do not answer."""
        core = self._core
        members = core.sessions.members(core.world.now())
        up = [
            disk
            for disk, store in core.cluster_state.roster.items()
            if store["state"] == "full" and self._has_session(members, disk, store)
        ]
        confirmed: list[int] = []

        def told(heard: dict[str, Result[Reply, RequestFailure]]) -> None:
            say(HttpResponse(200, self._whole(members, heard, bool(confirmed))))

        look = _Round(core, told)
        for member in members.values():
            look.request(member.id, member.address, "status", {"up": up})
        for key, it in core.raft.members.items():
            if key != core.raft.member_id:
                look.request(key, it["addr"], "core.status", {})
        over = look.wait()

        def confirm(index: int | None) -> None:
            if index is not None:
                confirmed.append(index)
            over()

        core.confirm(confirm)
        look.asked()

    @on("core.status")
    def on_status(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Another control relay asks how this one stands."""
        respond(self._self_told(), b"")

    def _self_told(self) -> Json:
        core = self._core
        return {
            "role": core.raft.role.value,
            "term": core.raft.term,
            "leader": core.raft.leader_id,
            "commit": core.raft.commit_index,
            "edition": core.cluster_state.edition,
            "counts": core.counts,
        }

    def _whole(
        self, members: dict[str, Session], heard: dict[str, Result[Reply, RequestFailure]], confirmed: bool
    ) -> Json:
        core, now = self._core, self._core.world.now()
        cluster_state = core.cluster_state
        told = {key: reply.ok_value.body if isinstance(reply, Ok) else None for key, reply in heard.items()}
        told[core.raft.member_id] = self._self_told()
        rows: list[Json] = [
            {
                "name": it.name,
                "incarnation": it.incarnation,
                "class": it.machine_class,
                "zone": it.zone,
                "region": it.region,
                "state": it.state,
                "address": it.address,
                "for_s": round(now - it.since, 1),
                "silent_s": round(now - it.last, 2),
                "told": told.get(it.id),
            }
            for it in sorted(members.values(), key=lambda it: (it.machine_class, it.name))
        ]
        edges = [it for it in rows if it["class"] == "edge"]
        short = [it["told"]["copies short"] for it in edges if it["told"] is not None]
        owners = Tally(str(it[0]) for it in cluster_state.shards)
        return {
            "by": core.raft.member_id,
            "confirmed": confirmed,
            "members": rows,
            "core": {
                "term": core.raft.term,
                "leader": core.raft.leader_id,
                "commit": core.raft.commit_index,
                "members": [
                    {"id": key, **it, "told": told.get(key)} for key, it in sorted(core.raft.members.items())
                ],
            },
            "shards": {
                "at": cluster_state.shards_at,
                "owners": {key: owners[key] for key in sorted(owners) if key},
                "nobody": owners[""],
            },
            "stores": {
                disk: {**it, "session": self._has_session(members, disk, it)}
                for disk, it in sorted(cluster_state.roster.items(), key=lambda item: str(item[1]["name"]))
            },
            "configuration": {
                "edition": cluster_state.edition,
                "at": cluster_state.config_at,
                "edges": {
                    str(it["name"]): it["told"]["edition"] if it["told"] is not None else None for it in edges
                },
            },
            "endpoints": self._endpoints(),
            "copies_short": sum(short),
            "copies_unknown": len(edges) - len(short),
            "counters": dict(sorted(self._sum(told.values()).items())),
        }

    @staticmethod
    def _has_session(members: dict[str, Session], disk: str, store: Json) -> bool:
        """Whether a store's machine is a member, with this disk."""
        session = members.get(str(store["name"]))
        return session is not None and session.extra.get("disk") == disk

    @staticmethod
    def _sum(told: Any) -> Tally[str]:
        total: Tally[str] = Tally()
        for it in told:
            total.update(it["counts"] if it is not None else {})
        return total

    def _endpoints(self) -> list[Json]:
        found: list[Json] = [
            {"id": key[3:], **value}
            for key, (_, value) in self._core.gossip.items.items()
            if key.startswith("ep/")
        ]
        return sorted(found, key=lambda it: (it["service"], it["cond"], it["id"]))

    # -- messages that ended without success

    def _ask_stores(
        self, body: Json, then: Callable[[dict[str, Result[Reply, RequestFailure]]], None]
    ) -> None:
        look = _Round(self._core, then)
        for name, it in self._core.cluster_state.roster.items():
            if it["state"] != "lost":
                look.request(name, it["addr"], "dead", body)
        look.asked()

    @order("GET", "/-/Foreman.Dead")
    def dead(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """One page of the messages that ended without success, by name, those behind `after`."""
        query = parse_qs(asked.target.partition("?")[2])
        after, most = query.get("after", [""])[0], query.get("most", [str(DEAD_MOST)])[0]
        if not most.isdigit() or not 0 < int(most) <= DEAD_MOST:
            say(HttpResponse(400, {"cause": f"most: no number from 1 to {DEAD_MOST}"}))
            return

        def told(heard: dict[str, Result[Reply, RequestFailure]]) -> None:
            silent = sorted(key for key, reply in heard.items() if isinstance(reply, Err))
            if len(silent) == len(heard):
                say(HttpResponse(503, {"cause": "no store answers"}, 1))
                return
            say(HttpResponse(200, {**merged(heard, int(most)), "silent": silent}))

        self._ask_stores({"after": after, "most": int(most)}, told)

    @order("GET", "/-/Foreman.Dead/")
    def dead_one(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """One message that ended without success, with its bytes."""

        def told(heard: dict[str, Result[Reply, RequestFailure]]) -> None:
            rows = merged(heard, 1)["rows"]
            silent = any(isinstance(reply, Err) for reply in heard.values())
            if not rows and (silent or not heard):
                say(HttpResponse(503, {"cause": "not all stores answer, and those that do don't know it"}, 1))
            elif not rows:
                say(HttpResponse(404, {"cause": "no such message has ended without success of late"}))
            else:
                self._with_body(rows[0], list(heard), say)

        self._ask_stores({"id": name}, told)

    def _with_body(self, row: Json, stores: list[str], say: RespondHttp) -> None:
        def told(heard: dict[str, Result[Reply, RequestFailure]]) -> None:
            for reply in heard.values():
                if isinstance(reply, Ok) and reply.ok_value.body.get("found"):
                    text = base64.b64encode(reply.ok_value.blob).decode()
                    say(HttpResponse(200, {**row, "body": text}))
                    return
            say(HttpResponse(503, {"cause": "no store that answers has its bytes"}, 1))

        look = _Round(self._core, told)
        for name in stores:
            store = self._core.cluster_state.roster.get(name)
            if store is not None:
                look.request(name, store["addr"], "body", {"id": row["id"]})
        look.asked()


def merged(heard: dict[str, Result[Reply, RequestFailure]], most: int) -> Json:
    """One page of several stores' pages; `after` is where the next one begins, where there is one."""
    found: dict[str, Json] = {}
    ends: list[str] = []  # where a store's page was cut off: what lies behind it may be missing
    for reply in heard.values():
        if not isinstance(reply, Ok):
            continue
        body = reply.ok_value.body
        for name, meta, size, at in body["rows"]:
            # A store that was told only of the end knows nothing else of the message.
            if name not in found or (meta and not found[name]["method"]):
                found[name] = _row(name, meta, size, at)
        if body["more"]:
            ends.append(body["rows"][-1][0])
    names = sorted(found)
    whole = [name for name in names if not ends or name <= min(ends)]
    page = whole[:most]
    more = len(page) < len(names)
    return {"rows": [found[name] for name in page], **({"after": page[-1]} if more and page else {})}


def _row(name: str, meta: Json, size: int, at: float) -> Json:
    return {
        "id": name,
        "route": meta.get("r", ""),
        "host": meta.get("h", ""),
        "method": meta.get("m", ""),
        "target": meta.get("t", ""),
        "key": meta.get("k", ""),
        "headers": meta.get("x", []),
        "taken_at": meta.get("w"),
        "kept_until": at,
        "size": size,
    }
