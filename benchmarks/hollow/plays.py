"""What whole deployments of hollow machines cost: standing, changed, killed."""

from __future__ import annotations

import json
from collections.abc import Iterator
from statistics import median

from amberlug.cluster.consensus.raft import Role
from amberlug.cluster.edge.intake import ClientResponse
from amberlug.cluster.simulation.clients import HOST
from amberlug.cluster.simulation.deployment import Request
from benchmarks.hollow.deployment import Play, beat, config
from benchmarks.hollow.figures import Figure, by_cause, summed, upto
from benchmarks.hollow.net import Host, Meter

SETTLE_S = 6.0  # virtual, from the start until figures are taken
SPAN_S = 4.0  # virtual, for which they are taken
SIZES = (30, 100, 300, 1000, 3000)


def standing(most: int) -> Iterator[Figure]:
    """Nothing happens but what always does: beats, sessions, digests; and what the start cost before."""
    for edges in (it for it in SIZES if it <= most):
        play = Play(edges)
        began = play.measure(SETTLE_S)
        yield from (
            Figure("start", "edges", edges, it.role, it.name.replace("/s", ""), it.value * SETTLE_S)
            for it in summed("start", "edges", edges, began, SETTLE_S)
        )
        play.configure(1000)
        play.run(2.0)
        meters = play.measure(SPAN_S)
        yield from summed("standing", "edges", edges, meters, SPAN_S)
        yield from by_cause("standing", "edges", edges, meters, SPAN_S)
        yield Figure("standing", "edges", edges, "edge", "owners of shards", _owners(play))


def _owners(play: Play) -> int:
    return len({it[0] for it in play.cores[0].machine.cluster_state.shards})


def sixteen(most: int) -> Iterator[Figure]:
    """The same as `standing`, with sixteen control machines."""
    for edges in (it for it in SIZES if 100 <= it <= max(most, 100)):
        play = Play(edges, cores=16)
        play.run(SETTLE_S)
        play.configure(1000)
        play.run(2.0)
        meters = play.measure(SPAN_S)
        yield from summed("standing, 16 control machines", "edges", edges, meters, SPAN_S)
        yield from by_cause("standing, 16 control machines", "edges", edges, {"core": meters["core"]}, SPAN_S)


def configs(most: int) -> Iterator[Figure]:
    """One change of configuration of some size: what it costs beyond the standing load."""
    for size in (1_000, 20_000, 200_000):
        for edges in (it for it in SIZES if it <= min(most, 1000)):
            play = Play(edges)
            play.run(SETTLE_S)
            play.configure(size)
            play.run(2.0)
            still = play.measure(SPAN_S)
            for host in play.net.hosts.values():
                host.meter = Meter()
            began = play.net.clock.now
            told = {**config(size), "edition": play.edition + 1}
            answers = play.order(play.cores[0], "POST", "/-/Configuration.Replace", told, play.edition)
            play.edition += 1
            acked = force = 0.0
            while play.net.clock.now < began + SPAN_S:
                play.run(0.002)
                now = play.net.clock.now - began
                acked = acked or (now if answers else 0.0)
                force = force or (now if play.in_force() == edges else 0.0)
            after: dict[str, list[Meter]] = {}
            for host in play.net.hosts.values():
                after.setdefault(host.role, []).append(host.meter)
            base = {(it.role, it.name): it.value for it in summed("", "", 0, still, SPAN_S)}
            for it in summed("", "", 0, after, SPAN_S):
                more = max(0.0, (it.value - base[it.role, it.name]) * SPAN_S)
                yield Figure(f"config {size}", "edges", edges, it.role, it.name.replace("/s", ""), more)
            yield Figure(f"config {size}", "edges", edges, "operator", "virtual s to ack", acked)
            yield Figure(f"config {size}", "edges", edges, "operator", "virtual s in force", force)


def endpoints(most: int) -> Iterator[Figure]:
    """Endpoints that beat once a second at the core machine that they are told of."""
    for count in upto((100, 1000, 10_000), most):
        play = Play(10)
        play.run(SETTLE_S)
        play.configure(1000)
        first = _beats(play, count, 0)
        yield Figure("endpoints", "endpoints", count, "core", "bytes sent at first", first)
        play.run(1.0)
        play.measure(0.0)
        _beats(play, count, 1, SPAN_S)
        meters = {"core": [it.meter for it in play.cores], "edge": [it.meter for it in play.edges]}
        yield from summed("endpoints", "endpoints", count, meters, SPAN_S)
        yield from by_cause("endpoints", "endpoints", count, {"core": meters["core"]}, SPAN_S)


def _beats(play: Play, count: int, sequence: int, seconds: float = 1.0, without: range = range(0)) -> float:
    """Let all endpoints beat once a second; bytes that a core machine sent meanwhile."""
    before = sum(it.meter.sent for it in play.cores)
    step = 0.02
    sequence *= 100
    for turn in range(round(seconds / step)):
        each = round(1 / step)
        for number in range(turn % each, count, each):
            if number in without:
                continue
            host = play.cores[number % len(play.cores)]
            play.order(
                host, "POST", f"/-/Instances.Announce/e{number}", beat(number, sequence + turn // each + 1)
            )
        play.run(step)
    return (sum(it.meter.sent for it in play.cores) - before) / len(play.cores)


def together(most: int) -> Iterator[Figure]:
    """Ten endpoints for each edge; a tenth fall silent and come back, a tenth of the edges restart."""
    for edges in (it for it in (30, 100, 300) if it <= most):
        play = Play(edges)
        play.run(SETTLE_S)
        play.configure(20_000)
        for host in play.net.hosts.values():
            host.meter = Meter()
        began, count = play.net.clock.now, 10 * edges
        silent = range(0, count, 10)
        for turn in range(20):
            if turn == 10:
                for host in play.edges[: edges // 10]:
                    play.net.kill(host)
            if turn == 11:
                for host in play.edges[: edges // 10]:
                    play.start(host)
            _beats(play, count, turn, without=silent if 4 <= turn < 9 else range(0))
        seconds = play.net.clock.now - began
        meters = {"core": [it.meter for it in play.cores], "edge": [it.meter for it in play.edges]}
        yield from summed("together", "edges", edges, meters, seconds)
        yield from by_cause("together", "edges", edges, {"core": meters["core"]}, seconds)


def drains(most: int) -> Iterator[Figure]:
    """A hundred endpoints say within a second that they leave: what each costs."""
    for edges in (it for it in (30, 100, 300) if it <= most):
        play = Play(edges)
        play.run(SETTLE_S)
        play.configure(1000)
        _beats(play, 100, 0)
        play.run(5.0)  # until all have been told of as silent
        base = {(it.role, it.name): it.value for it in summed("", "", 0, play.measure(SPAN_S), SPAN_S)}
        for host in play.net.hosts.values():
            host.meter = Meter()
        began, acked = play.net.clock.now, 0.0
        for number in range(100):
            host = play.cores[number % len(play.cores)]
            said = {**beat(number, 200), "condition": "draining"}
            sent = play.net.clock.now
            answers = play.order(host, "POST", f"/-/Instances.Announce/e{number}", said)
            while not answers and play.net.clock.now < sent + 1.0:
                play.run(0.001)
            acked = max(acked, play.net.clock.now - sent)
            play.run(0.005)
        play.run(began + SPAN_S - play.net.clock.now)
        after = {"core": [it.meter for it in play.cores], "edge": [it.meter for it in play.edges]}
        for it in summed("", "", 0, after, SPAN_S):
            each = max(0.0, (it.value - base[it.role, it.name]) * SPAN_S / 100)
            yield Figure("a drain", "edges", edges, it.role, it.name.replace("/s", ""), each)
        yield Figure("a drain", "edges", edges, "endpoint", "longest virtual s to ack", acked)


def joins(most: int) -> Iterator[Figure]:
    """An edge that starts anew hears of all endpoints."""
    for count in upto((100, 1000, 10_000), most):
        play = Play(10)
        play.run(SETTLE_S)
        play.configure(1000)
        _beats(play, count, 0)
        play.run(1.0)
        host = play.edges[0]
        play.net.kill(host)
        play.run(1.0)
        host.meter = Meter()
        play.start(host)
        for turn in range(4):
            _beats(play, count, turn + 1)
        told = host.meter
        yield Figure("an edge joins", "endpoints", count, "edge", "bytes heard", told.heard)
        yield Figure("an edge joins", "endpoints", count, "edge", "processor s", sum(told.processor.values()))
        items = play.cores[0].machine.gossip.announcements()
        size = len(json.dumps({"ok": True, "items": items}, separators=(",", ":")))
        yield Figure("an edge joins", "endpoints", count, "core", "bytes of all news in one frame", size)


def messages(most: int) -> Iterator[Figure]:
    """Messages that are taken in, kept by two stores, called and ended, without HTTP and without disks."""
    for rate in (100, 300, 1000):
        play = Play(4)
        play.run(SETTLE_S)
        play.configure(1000)
        _beats(play, 20, 0)
        play.run(1.0)
        still = play.measure(2.0)
        base = {(it.role, it.name): it.value for it in summed("", "", 0, still, 2.0)}
        for host in play.net.hosts.values():
            host.meter = Meter()
        done: list[int] = []
        count = 0
        for _ in range(round(2.0 / 0.01)):
            for host in play.edges:
                for _ in range(max(1, rate // 100)):
                    count += 1
                    _send(host, count, done)
            play.run(0.01)
        held = sum(1 for it in done if it == 202)
        after = {
            "edge": [it.meter for it in play.edges],
            "store": [it.meter for it in play.stores],
            "core": [it.meter for it in play.cores],
        }
        yield Figure("messages", "a second and edge", rate, "edge", "part taken", held / count)
        for it in summed("", "", 0, after, 2.0):
            many = len(after[it.role]) * 2.0 / count
            name = it.name.replace("/s", "") + " a message, all machines of the role"
            each = max(0.0, it.value - base[it.role, it.name]) * many
            yield Figure("messages", "a second and edge", rate, it.role, name, each)


def _send(host: Host, number: int, done: list[int]) -> None:
    headers = (("host", HOST), ("amberlug-attempt-id", f"a{number}"))
    request = Request("POST", f"/p00000/{number}", headers, bytes(1000))

    def respond(response: ClientResponse) -> None:
        done.append(response.status)

    host.do("handle", lambda: host.machine.handle(request, respond))


def restarts(most: int) -> Iterator[Figure]:
    """Some edges are killed at once and start anew a second later."""
    for edges in (it for it in SIZES if it <= min(most, 1000)):
        for killed in (1, 5, 20):
            play = Play(edges)
            play.run(SETTLE_S)
            play.configure(1000)
            play.run(2.0)
            still = play.measure(SPAN_S)
            base = {(it.role, it.name): it.value for it in summed("", "", 0, still, SPAN_S)}
            before = [it[0] for it in play.cores[0].machine.cluster_state.shards]
            for host in play.net.hosts.values():
                host.meter = Meter()
            for host in play.edges[:killed]:
                play.net.kill(host)
            play.run(1.0)
            for host in play.edges[:killed]:
                play.start(host)
            play.run(SPAN_S - 1.0)
            after: dict[str, list[Meter]] = {}
            for host in play.net.hosts.values():
                after.setdefault(host.role, []).append(host.meter)
            for it in summed("", "", 0, after, SPAN_S):
                more = max(0.0, (it.value - base[it.role, it.name]) * SPAN_S)
                name = it.name.replace("/s", "")
                yield Figure(f"restart of {killed}", "edges", edges, it.role, name, more)
            now = play.cores[0].machine.cluster_state.shards
            moved = sum(1 for was, it in zip(before, now, strict=True) if was != it[0])
            yield Figure(f"restart of {killed}", "edges", edges, "core", "shards moved", moved)


def apart(most: int) -> Iterator[Figure]:
    """One zone of four is cut off for 20 s: what the others do meanwhile, and what it costs."""
    for edges in (it for it in (30, 100, 300) if it <= most):
        play = Play(edges)
        play.run(SETTLE_S)
        play.configure(1000)
        play.run(2.0)
        zone = next(it.zone for it in play.cores if it.machine.raft.role is not Role.LEADER)
        cluster_state = next(
            it for it in play.cores if it.machine.raft.role is Role.LEADER
        ).machine.cluster_state
        away = {it.machine.session.id for it in play.edges if it.zone == zone}
        rates = {(it.role, it.name): it.value for it in summed("", "", 0, play.measure(SPAN_S), SPAN_S)}
        for host in play.net.hosts.values():
            host.meter = Meter()
        play.net.apart, began = zone, play.net.clock.now
        owners, moved, given, lost = [it[0] for it in cluster_state.shards], 0, 0.0, 0.0
        while (past := play.net.clock.now - began) < 30.0:
            if past >= 20.0:
                play.net.apart = ""
            play.run(0.05)
            now = [it[0] for it in cluster_state.shards]
            moved += sum(1 for was, it in zip(owners, now, strict=True) if was != it)
            owners = now
            given = given or (past if not away & set(now) else 0.0)
            stores = [it for it in cluster_state.roster.values() if it["zone"] == zone]
            lost = lost or (past if any(it["state"] == "lost" for it in stores) else 0.0)
        bench = "a zone apart for 20 s"
        yield Figure(bench, "edges", edges, "core", "virtual s until its shards are given away", given)
        yield Figure(bench, "edges", edges, "core", "virtual s until its stores are lost", lost)
        yield Figure(bench, "edges", edges, "core", "shards moved, there and back", moved)
        after = {"core": [it.meter for it in play.cores], "edge": [it.meter for it in play.edges]}
        for it in summed("", "", 0, after, 30.0):
            more = max(0.0, (it.value - rates[it.role, it.name]) * 30.0)
            yield Figure(bench, "edges", edges, it.role, it.name.replace("/s", ""), more)


def failovers(most: int) -> Iterator[Figure]:
    """The leader is killed, by the delay between zones; ten seeds each."""
    for one_way_ms in (1, 25, 50, 125, 180):
        for cores in (3, 5):
            played = [_failover(cores, one_way_ms / 1000, seed) for seed in range(1, 11)]
            bench, of = f"leader killed, {cores} core machines", "ms one way between zones"
            terms, elected, acked = zip(*played, strict=True)
            yield Figure(bench, of, one_way_ms, "core", "terms in 20 calm s, most", max(terms))
            for role, name, found in (("core", "a leader", elected), ("operator", "the next ack", acked)):
                yield Figure(bench, of, one_way_ms, role, f"virtual s to {name}, median", median(found))
                yield Figure(bench, of, one_way_ms, role, f"virtual s to {name}, longest", max(found))


def _failover(cores: int, one_way_s: float, seed: int) -> tuple[float, float, float]:
    """Terms begun in a calm span; virtual seconds from the leader's end to a leader, and to an ack."""
    play = Play(10, cores=cores, seed=seed, between=one_way_s)
    play.run(SETTLE_S)
    play.configure(1000)
    terms = max(it.machine.raft.term for it in play.cores)
    play.run(20.0)
    more = max(it.machine.raft.term for it in play.cores) - terms
    leader = next(it for it in play.cores if it.machine.raft.role is Role.LEADER)
    play.net.kill(leader)
    rest = [it for it in play.cores if it is not leader]
    began, elected = play.net.clock.now, 0.0
    told = {**config(1000), "edition": play.edition + 1}
    tries: list[list[int]] = []
    while not any(200 in it for it in tries) and play.net.clock.now < began + 10.0:
        if len(tries) * 0.1 <= play.net.clock.now - began:
            to = rest[len(tries) % len(rest)]
            tries.append(play.order(to, "POST", "/-/Configuration.Replace", told, play.edition))
        play.run(0.01)
        if not elected and any(it.machine.raft.role is Role.LEADER for it in rest):
            elected = play.net.clock.now - began
    return more, elected, play.net.clock.now - began
