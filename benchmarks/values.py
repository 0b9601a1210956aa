"""What values cost beside frozen dataclasses: to define, and to create, compare and hash instances."""

from __future__ import annotations

import argparse
import timeit
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from amberlug.cluster.values import value

Decorator = Callable[[type], type]
DECORATORS: dict[str, Decorator] = {
    "frozen dataclass": dataclass(frozen=True, slots=True),
    "value": value,
}


def define(decorator: Decorator) -> Any:
    """Define a class with four fields."""

    class Sample:
        """A message as large as most."""

        shard: int
        message_id: str
        deadline_s: float
        origin: str = ""

    return decorator(Sample)


def nanoseconds(action: Callable[[], object], count: int) -> float:
    """Time an action: the least of seven runs, by the action."""
    return min(timeit.repeat(action, number=count, repeat=7)) / count * 1e9


def measure(name: str, decorator: Decorator, count: int) -> str:
    """Give a row of the table."""
    sample = define(decorator)
    first, second = sample(1, "a", 2.0, "b"), sample(1, "a", 2.0, "b")
    define_us = nanoseconds(lambda: define(decorator), count // 1000) / 1000
    create_ns = nanoseconds(lambda: sample(1, "a", 2.0, "b"), count)
    compare_ns = nanoseconds(lambda: first == second, count)
    hash_ns = nanoseconds(lambda: hash(first), count)
    return f"| {name} | {define_us:.0f} | {create_ns:.0f} | {compare_ns:.0f} | {hash_ns:.0f} |"


def main() -> None:
    """Print a table: a row for each way to make a class."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--count", type=int, default=100_000, help="actions in a run")
    arguments = options.parse_args()
    print("| class | define us | create ns | compare ns | hash ns |\n| --- | ---: | ---: | ---: | ---: |")
    for name, decorator in DECORATORS.items():
        print(measure(name, decorator, arguments.count))


if __name__ == "__main__":
    main()
