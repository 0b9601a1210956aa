"""Random fleet scenarios: uneven load, late lists, kills, limits, outages, partitions, lost responses.

Times and sizes stay within what operators have seen in production: restarts of a fleet by tenths or at once,
outages of some seconds, endpoints replaced in steps. Faults are drawn independently, so that they overlap.
"""

from __future__ import annotations

from dataclasses import replace

import numpy as np

from amberlug.lab.scenario import Fault, Load, Partner, Scenario, World

RATES = 2.0, 10.0, 50.0  # rate limit of a partner in calls per second, over all relays
LOAD = 0.4, 0.9  # offered load as a fraction of the partners' total rate limit
CAPACITY = 1.0, 1.5  # capacity of an endpoint as a multiple of its share of the rate limit
PENDING_S = 8.0  # seconds of its share of the load that a relay can hold
MIN_PENDING, MIN_SLOTS = 16, 3
OUTAGES = "down", "silent", "shut", "errors"


def draw(seed: int, relays: int = 200, seconds: float = 14.0, max_faults: int = 6) -> Scenario:
    """Draw a scenario with 2 to `max_faults` faults and up to two partitions; deterministic for a seed."""
    rng = np.random.default_rng(np.random.SeedSequence(seed, spawn_key=(relays,)))
    rate = float(rng.choice(RATES))
    partners, endpoints = int(rng.integers(4, 13)), int(rng.integers(1, 4))
    load = rate * partners * float(rng.uniform(*LOAD))
    answer_ms = float(rng.uniform(60, 250))
    serves = rate / endpoints * float(rng.uniform(*CAPACITY))
    world = World(
        seconds=seconds,
        relays=relays,
        destinations=partners,
        endpoints=endpoints,
        slots=max(MIN_SLOTS, round(2 * load / relays)),
        max_open=max(MIN_PENDING, round(PENDING_S * load / relays)),
        network_ms=float(rng.uniform(1, 30)),
        idle_s=10.0,
        list_s=float(rng.uniform(0.2, 3.0)),
        uneven=float(rng.uniform(0, 1.2)),
    )
    partner = Partner(
        answer_ms=answer_ms,
        concurrency=max(1, round(serves * answer_ms / 1000)),
        queue=12,
        rate=rate,
        tells_wait=float(rng.uniform(0.1, 0.9)),
        wait_ms=float(rng.uniform(250, 900)),
        errors=float(rng.choice([0.0, 0.02])),
        resets=float(rng.choice([0.0, 0.2])),
        lost=float(rng.choice([0.0, 0.03])),
    )
    faults = tuple(_random_fault(rng, world) for _ in range(int(rng.integers(2, max_faults + 1))))
    # A separate random stream, so that adding these draws left the other draws of each seed unchanged.
    more = np.random.default_rng(np.random.SeedSequence(seed, spawn_key=(relays, 1)))
    faults += tuple(_random_partition(more, world) for _ in range(int(more.integers(0, 3))))
    clients = Load(per_second=load, skew=0.8, garbage=float(more.choice([0.0, 0.02])))
    partner = replace(partner, garbage=float(more.choice([0.0, 0.02])))
    return Scenario(f"day-{seed}", world, clients, partner, faults)


def _random_partition(rng: np.random.Generator, world: World) -> Fault:
    """Draw a network partition between some relays and some partners."""
    count = max(1, round(world.relays * float(rng.uniform(0.1, 0.5))))
    affected, first = int(rng.integers(1, world.destinations + 1)), int(rng.integers(world.relays))
    at, lasts = float(rng.uniform(1, 0.7 * world.seconds)), float(rng.uniform(2, 8))
    return Fault("cut", at, lasts, affected, relay=first, relays=count)


def _random_fault(rng: np.random.Generator, world: World) -> Fault:
    at, affected = float(rng.uniform(1, 0.7 * world.seconds)), int(rng.integers(1, world.destinations))
    first = int(rng.integers(world.relays))
    count = max(1, round(world.relays * float(rng.uniform(0.1, 0.7))))
    match rng.choice(["outage", "outage", "kill", "restart", "drain", "limit", "deaf", "burst"]):
        case "outage":
            what, lasts = str(rng.choice(OUTAGES)), float(rng.uniform(3, 8))
            return Fault(what, at, lasts, max(1, round(0.4 * affected)), float(rng.uniform(0.6, 1.0)))
        case "kill":
            return Fault("kill", at, relay=first, relays=count, over=float(rng.uniform(0, 1)))
        case "restart":
            return Fault("restart", at, relay=first, relays=count, over=float(rng.uniform(1, 8)))
        case "drain":
            return Fault("drain", at, destinations=affected)
        case "limit":
            return Fault("limit", at, float(rng.uniform(3, 9)), affected, float(rng.uniform(0.2, 0.6)))
        case "deaf":
            return Fault("deaf", at, float(rng.uniform(3, 12)), relay=first, relays=count)
    return Fault("burst", at, float(rng.uniform(2, 6)), part=float(rng.uniform(1.4, 2.4)))
