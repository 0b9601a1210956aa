"""What single steps cost that grow with a deployment, and what is kept takes of memory and disk."""

from __future__ import annotations

import gc
import json
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

from result import Ok

from amberlug.cluster.consensus.storage import open_raft_storage
from amberlug.cluster.control.cluster_state import ClusterState, digest
from amberlug.cluster.control.config_validation import find_errors, parse
from amberlug.cluster.control.endpoint_registry import EndpointRegistry, read_announcement
from amberlug.cluster.control.messages import OpenSession
from amberlug.cluster.control.node import ControlNode, blank
from amberlug.cluster.control.published_state import PublishedEndpoint, StorageRoster
from amberlug.cluster.control.sessions import Sessions
from amberlug.cluster.control.shard_assignment import SHARD_COUNT, assign_shards
from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.endpoint_pool import EndpointPool
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.routing import build
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.framing import encode_frame
from amberlug.cluster.storage.node import StorageNode
from amberlug.cluster.storage.records import StoredContents, StoredMessage
from benchmarks.hollow.deployment import STORES, ZONES, beat, config
from benchmarks.hollow.figures import Figure, upto
from benchmarks.hollow.net import HollowDisk, HollowNet, HollowWorld, Host, Prompt, processor, settings


def _room(make: Callable[[], object]) -> tuple[object, int]:
    """What is made, and the bytes of memory that it takes."""
    gc.collect()
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


def _alone(role: str) -> tuple[HollowNet, Host, HollowWorld]:
    net = HollowNet()
    host = net.hosts["10.1.0.1:7300"] = Host(role, f"{role}-0", "z0", "10.1.0.1:7300")
    return net, host, HollowWorld(net, host)


def message(number: int, body: int) -> Message:
    """One that is not due for a day."""
    name = f"{number % SHARD_COUNT:x}-a{number:012d}"
    held = Message(
        name,
        number % SHARD_COUNT,
        f"a{number:012d}",
        "host.example",
        "POST",
        f"/p00000/{number}",
        "r-p00000",
        "",
        1.79e9,
        1.79e9 + 86400.0,
        (("content-type", "application/json"),),
        bytes(body),
        body,
        SequencePosition(7, number),
    )
    held.holders, held.possible_holders = {"disk-store-1", "disk-store-2"}, {"disk-store-1", "disk-store-2"}
    return held


def _hold(world: HollowWorld, many: int, body: int) -> DeliveryQueue:
    delivery_queue = DeliveryQueue(world, lambda it: None)
    for it in range(many):
        delivery_queue.add(message(it, body))
    return delivery_queue


def owner(most: int) -> Iterator[Figure]:
    """Messages that one owner holds open, and what walks over all of them."""
    for count in upto((1000, 10_000, 100_000), most):
        _, host, world = _alone("edge")
        edge = EdgeNode(world, settings(host, ["10.1.0.1"]), host.address, Prompt(world.net, host))
        edge.gossip.offer("config", [1], config(1000))
        stores = {
            f"disk-store-{it}": {
                "name": f"store-{it}",
                "addr": f"10.2.0.{it}:7300",
                "zone": "z0",
                "region": "r",
                "state": "full",
                "at": 1,
            }
            for it in range(STORES)
        }
        edge.gossip.offer("roster", [1], stores)
        for body in (0, 1000):
            delivery_queue, size = _room(partial(_hold, world, count, body))
            name = f"bytes of memory, bodies of {body}"
            yield Figure("owner", "open messages", count, "edge", name, size)
            assert isinstance(delivery_queue, DeliveryQueue)
        for it in range(count):
            edge.delivery.add(message(it, 0))
        for what, act in (
            ("sweep of what is too old", edge.delivery.sweep),
            ("new configuration", partial(edge.apply_routes, build(2, {**config(1000), "edition": 2}))),
            ("new roster", partial(edge.repair.apply_roster, StorageRoster.from_wire(2, stores))),
            ("one shard given away", partial(edge.delivery.release_shard, 0)),
        ):
            spent: list[float] = []
            with processor(spent):
                act()
            yield Figure("owner", "open messages", count, "edge", f"processor s, {what}", spent[0])


def fence(most: int) -> Iterator[Figure]:
    """What a store holds open of one shard is read by its next owner, in one answer."""
    for count in upto((1000, 10_000, 40_000), most):
        net, host, world = _alone("store")
        contents = StoredContents("disk-store-0")

        def fill(contents: StoredContents, many: int) -> None:
            for it in range(many):
                kept = message(it, 1000)
                meta = json.loads(json.dumps(kept.encode_metadata()))
                contents.messages[kept.id] = StoredMessage(0, 7, it, meta, 1000)

        size = _room(partial(fill, contents, count))[1]
        yield Figure("store", "open messages", count, "store", "bytes of memory", size)
        store = StorageNode(
            world, settings(host, ["10.1.0.1"]), host.address, HollowDisk(net, host), contents
        )
        answers: list[tuple[Json, bytes]] = []
        spent: list[float] = []
        with processor(spent):
            fences = {"shards": {"0": 8}}
            store.handlers["fence"](fences, b"", "10.3.0.1:7300", lambda *said, to=answers: to.append(said))
            net.clock.run(1.0)
        yield Figure("store", "open messages", count, "store", "processor s, a fence", spent[0])
        text = len(json.dumps(answers[0][0], separators=(",", ":")))
        yield Figure("store", "open messages", count, "store", "bytes of a fence's answer", text)
        fits = float(isinstance(encode_frame({"n": 1, "b": answers[0][0]}, answers[0][1]), Ok))
        yield Figure("store", "open messages", count, "store", "fence's answer fits a frame", fits)


def parts(most: int) -> Iterator[Figure]:
    """Single steps that grow with the deployment."""
    yield from _config_steps()
    yield from _session_steps()
    yield from _endpoint_steps()
    yield from _pick_steps()
    yield from _shard_steps()
    yield from _drain_steps()


def _timed(times: int, act: Callable[[], object]) -> float:
    spent: list[float] = []
    act()
    with processor(spent, times):
        for _ in range(times):
            act()
    return spent[0]


def _config_steps() -> Iterator[Figure]:
    for size in (1_000, 20_000, 200_000, 1_000_000):
        whole = config(size)
        text = json.dumps(whole).encode()
        gossip = {"w": "news", "b": {"items": [("config", [1], whole)]}}
        steps: dict[str, Callable[[], object]] = {
            "parse": partial(parse, text),
            "check": partial(find_errors, whole),
            "digest": partial(digest, whole),
            "pack": partial(encode_frame, gossip),
            "read": partial(json.loads, text),
            "build at an edge": partial(build, 1, whole),
        }
        for name, act in steps.items():
            spent = _timed(3, act)
            yield Figure("steps", "bytes of configuration", len(text), "step", f"processor s, {name}", spent)
        room = _room(partial(_known, text))[1]
        yield Figure("steps", "bytes of configuration", len(text), "edge", "bytes of memory", room)


def _known(text: bytes) -> object:
    whole = json.loads(text)
    return whole, build(1, whole)


def _session_body(number: int) -> Json:
    return {
        "name": f"edge-{number}",
        "incarnation": f"19f0a1b2c3d{number:04x}",
        "address": f"10.3.0.{number}:7300",
        "machine_class": "edge",
        "zone": f"z{number % ZONES}",
        "region": "r",
        "state": "up",
        "extra": {"roster": 7, "table": 12, "loading": 0, "short": 0},
    }


def _session_steps() -> Iterator[Figure]:
    for count in (100, 1000, 10_000):

        def fill(many: int) -> Sessions:
            sessions = Sessions()
            for it in range(many):
                body = json.loads(json.dumps(_session_body(it)))
                sessions.open(OpenSession.from_wire(body, b"").node, 1.0)
            return sessions

        sessions, room = _room(partial(fill, count))
        assert isinstance(sessions, Sessions)
        yield Figure("steps", "sessions", count, "core", "bytes of memory", room)
        rows = sessions.report(1.1)
        encoded = [row.to_wire() for row in rows]
        size = len(encode_frame({"w": "sessions", "b": {"rows": encoded, "seen": []}}).unwrap())
        yield Figure("steps", "sessions", count, "core", "bytes of a report", size)
        steps: dict[str, Callable[[], object]] = {
            "report": partial(sessions.report, 1.1),
            "told": partial(sessions.receive_report, "x", rows, 1.1),
            "members": partial(sessions.members, 1.1),
        }
        for name, act in steps.items():
            yield Figure("steps", "sessions", count, "step", f"processor s, {name}", _timed(3, act))


def _endpoint_steps() -> Iterator[Figure]:
    for count in (1000, 10_000, 100_000):
        _, _, world = _alone("core")

        def fill(many: int, world: HollowWorld) -> EndpointRegistry:
            registry = EndpointRegistry(world, GossipStore(world, list, lambda key, value: None), 1.0)
            for it in range(many):
                announcement = read_announcement(json.loads(json.dumps(beat(it, 1)))).unwrap()
                registry.receive_heartbeat(f"endpoint-{it}", announcement)
            return registry

        registry, room = _room(partial(fill, count, world))
        assert isinstance(registry, EndpointRegistry)
        yield Figure("steps", "endpoints", count, "core", "bytes of memory", room)
        items = {key: item[1] for key, item in registry.gossip.items.items()}
        said = read_announcement(beat(0, 2)).unwrap()

        def pool(items: dict[str, Any], world: HollowWorld) -> EndpointPool:
            known = EndpointPool("z0", world.rng, lambda address: 0)
            for key, value in items.items():
                known.update(key, PublishedEndpoint.from_wire(value), 1.0)
            return known

        made, room = _room(partial(pool, items, world))
        del made
        yield Figure("steps", "endpoints", count, "edge", "bytes of memory beside the news", room)
        report = sorted(registry.unreported_heartbeats)
        yield Figure(
            "steps",
            "endpoints",
            count,
            "core",
            "bytes of a report of beats",
            len(encode_frame({"w": "sessions", "b": {"rows": [], "seen": report}}).unwrap()),
        )
        versions = {key: item[0] for key, item in registry.gossip.items.items()}
        yield Figure(
            "steps",
            "endpoints",
            count,
            "edge",
            "bytes of versions for one gap",
            len(json.dumps({"versions": versions}, separators=(",", ":"))),
        )
        steps: dict[str, Callable[[], object]] = {
            "sweep": partial(registry.expire, lambda name: None),
            "heard elsewhere": partial(registry.receive_report, report),
            "one beat": partial(registry.receive_heartbeat, "endpoint-0", said),
        }
        for name, act in steps.items():
            yield Figure("steps", "endpoints", count, "step", f"processor s, {name}", _timed(3, act))


def _pick_steps() -> Iterator[Figure]:
    for count in (10, 100, 1000, 10_000):
        _, _, world = _alone("edge")
        known = EndpointPool("z0", world.rng, lambda address: 1)
        for it in range(count):
            value = {
                "service": "s",
                "addr": f"a{it}",
                "zone": "z0",
                "slots": 8,
                "cond": "ready",
                "warm_ms": 0,
            }
            known.update(f"endpoint-{it}", PublishedEndpoint.from_wire(value), 0.0)
        spent = _timed(20, partial(known.pick, "s", 1.0))
        yield Figure(
            "steps", "endpoints of a service", count, "step", "processor s, which gets a call", spent
        )


def _shard_steps() -> Iterator[Figure]:
    for edges, shards in (
        (100, 256),
        (1000, 256),
        (16_000, 256),
        (1000, 4096),
        (4000, 16_384),
        (16_000, 65_536),
    ):
        live = [f"edge-{it}/19f0a1b2c3d{it:04x}" for it in range(edges)]
        owners = [live[it % edges] for it in range(shards)]
        spent = _timed(1, partial(assign_shards, owners, live[1:], shards))
        bench = "steps" if shards == 256 else "steps, 4 shards an edge"
        yield Figure(bench, "edges", edges, "step", "processor s, share_out", spent)
        cluster_state = ClusterState()
        place = {"name": "edge-00000", "addr": "10.3.0.100:7300", "zone": "z0", "region": "r"}
        held = sorted(set(owners))
        cluster_state.apply_entry(1, {"do": "give", "owners": dict.fromkeys(held, place), "give": {}})
        at = {name: number for number, name in enumerate(held)}
        table = {
            "owners": [[name, cluster_state.owners[name].to_wire()] for name in held],
            "shards": [[at[name], 123456, -1] for name in owners],
        }
        size = len(json.dumps(table, separators=(",", ":")))
        yield Figure(bench, "edges", edges, "core", "bytes of the table", size)


def stores(most: int) -> Iterator[Figure]:
    """What an owner does for a message or a shard with all stores of the roster."""
    for count in (10, 100, 1000, 10_000):
        _, host, world = _alone("edge")
        replicator = Replicator(world, settings(host, ["10.1.0.1"]).tolerance, "z0", "r", 120.0)
        place = {"addr": "10.2.0.1:7300", "region": "r", "state": "full", "at": 1}
        roster = {
            f"disk-{it}": {**place, "name": f"store-{it}", "zone": f"z{it % ZONES}"} for it in range(count)
        }
        replicator.update_roster(StorageRoster.from_wire(1, roster))
        held = message(1, 0)
        heard = set(roster) - {"disk-1"}
        acts: dict[str, Callable[[], object]] = {
            "which stores keep a message": partial(replicator.preferred_disks, held),
            "whether enough stores were read": partial(replicator.covers_all_messages, heard),
        }
        for name, act in acts.items():
            yield Figure("steps", "stores", count, "step", f"processor s, {name}", _timed(5, act))


def _drain_steps() -> Iterator[Figure]:
    for count in (256, 1024, 4096):
        cluster_state = ClusterState()
        ids = [[f"endpoint-{it}", 2, it] for it in range(count)]
        cluster_state.apply_entry(1, {"do": "drain", "ids": ids})
        spent = _timed(
            3, partial(cluster_state.apply_entry, 2, {"do": "drain", "ids": [["endpoint-0", 2, 0]]})
        )
        yield Figure("steps", "drains kept", count, "step", "processor s, one more drain", spent)
        _, host, world = _alone("core")
        told = settings(host, ["10.1.0.1"])
        core = ControlNode(
            world, told, host.address, HollowDisk(world.net, host), blank(told, world.rng.getrandbits)
        )
        core.cluster_state.apply_entry(1, {"do": "drain", "ids": ids})
        core.on_state_changed()
        spent = _timed(3, core.on_state_changed)
        yield Figure("steps", "drains kept", count, "step", "processor s, one entry's _changed", spent)
        size = len(json.dumps(cluster_state.to_json(), separators=(",", ":")))
        yield Figure("steps", "drains kept", count, "core", "bytes of a snapshot", size)


def log(most: int) -> Iterator[Figure]:
    """The log's own disk: entries one after the other and 64 at once, and snapshots."""
    for size in (1_000, 20_000, 200_000):
        for at_once in (1, 64):
            rate = _written(
                [
                    ("entry", (it + 1, 1, {"do": "config", "config": config(size)}))
                    for it in range(64 if size > 100_000 else 192)
                ],
                at_once,
            )
            yield Figure(f"log, {at_once} at once", "bytes of an entry", size, "core", "entries/real s", rate)
        state = {"config": config(size), "drains": {f"endpoint-{it}": [2, it] for it in range(4096)}}
        rate = _written([("snap", (it, 1, state, {})) for it in range(8)], 1)
        yield Figure("log", "bytes of configuration", size, "core", "real s of a snapshot", 1 / rate)


def _release(synced: threading.Semaphore, error: str | None) -> None:
    synced.release()


def _written(rows: list[tuple[str, tuple[Any, ...]]], at_once: int) -> float:
    """Rows a second, so many of them waiting at a time; real time on this machine's disk."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        told = settings(_alone("core")[1], ["10.1.0.1"])
        _, writer, _ = open_raft_storage(
            Path(folder) / "log", lambda: blank(told, lambda bits: 1), lambda act: act()
        )
        began = time.perf_counter()
        for at in range(0, len(rows), at_once):
            synced = threading.Semaphore(0)
            batch = rows[at : at + at_once]
            for row in batch:
                writer.write([row], partial(_release, synced))
            for _ in batch:
                synced.acquire()
        spent = time.perf_counter() - began
        writer.close()
    return len(rows) / spent
