"""Figures, and how they grow with what they are of."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from benchmarks.hollow.net import Meter


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure: `x` tells how many of what there were."""

    bench: str
    of: str  # what `x` counts
    x: float
    role: str
    name: str
    value: float


def summed(bench: str, of: str, x: float, meters: dict[str, list[Meter]], seconds: float) -> Iterator[Figure]:
    """Rates of each role's machines, as means."""
    for role, each in meters.items():
        count = max(1, len(each)) * seconds
        rates = {
            "messages/s": sum(it.messages for it in each),
            "bytes sent/s": sum(it.sent for it in each),
            "bytes heard/s": sum(it.heard for it in each),
            "bytes to other zones/s": sum(it.across for it in each),
            "processor s/s": sum(sum(it.processor.values()) for it in each),
        }
        for name, value in rates.items():
            yield Figure(bench, of, x, role, name, value / count)


def by_cause(
    bench: str, of: str, x: float, meters: dict[str, list[Meter]], seconds: float
) -> Iterator[Figure]:
    """The dearest words and handlers of each role's machines, as means."""
    for role, each in meters.items():
        words: dict[str, float] = {}
        causes: dict[str, float] = {}
        for meter in each:
            for word, (_, size) in meter.words.items():
                words[word] = words.get(word, 0.0) + size / len(each) / seconds
            for cause, spent in meter.processor.items():
                causes[cause] = causes.get(cause, 0.0) + spent / len(each) / seconds
        for unit, found in (("bytes/s", words), ("processor s/s", causes)):
            for name in sorted(found, key=lambda it: -found[it])[:4]:
                yield Figure(bench, of, x, role, f"{unit} of {name}", found[name])


def upto(sizes: Iterable[int], most: int) -> list[int]:
    """The sizes of what is cheap to have, a hundred for each edge at the most."""
    return [it for it in sizes if it <= 100 * most]


def power(points: list[tuple[float, float]]) -> float:
    """The exponent that fits best, by least squares of the logarithms; it takes two points above 0."""
    logs = [(math.log(x), math.log(y)) for x, y in points if x > 0 and y > 0]
    if len(logs) < 2:
        return math.nan
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    replicator = sum((x - mean_x) ** 2 for x, _ in logs)
    return sum((x - mean_x) * (y - mean_y) for x, y in logs) / replicator if replicator else math.nan


def one_more(points: list[tuple[float, float]]) -> float:
    """What one more costs between the two largest sizes."""
    (x1, y1), (x2, y2) = sorted(points)[-2:]
    return (y2 - y1) / (x2 - x1)


def table(figures: Iterable[Figure]) -> Iterator[str]:
    """Lines of a table: each figure at its sizes, with power and price of one more."""
    found: dict[tuple[str, str, str, str], list[tuple[float, float]]] = {}
    for it in figures:
        found.setdefault((it.bench, it.of, it.role, it.name), []).append((it.x, it.value))
    yield "| bench | role | figure | at | power | one more |"
    yield "| --- | --- | --- | --- | ---: | ---: |"
    for (bench, of, role, name), points in found.items():
        values = "; ".join(f"{x:g}: {y:.4g}" for x, y in points)
        grows = f"{power(points):.2f} | {one_more(points):.3g}" if len(points) > 1 else " | "
        yield f"| {bench} | {role} | {name} | {of} {values} | {grows} |"
