"""Immutable values whose classes are cheap to define.

A frozen dataclass takes several times as long to define (see `benchmarks/values.py`), since each of its
methods is compiled anew. A node defines up to a hundred values at its start, on a fraction of a core.
`value` therefore leaves immutability to the type checker, which rejects an assignment to a field. Of its
methods only `__init__` is compiled for each class; the others share their code.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, fields
from operator import attrgetter
from typing import Any, TypeVar, cast, dataclass_transform

ValueT = TypeVar("ValueT")


def _tuple_getter(names: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    """What reads the fields of these names as a tuple; `attrgetter` does so from two names on."""
    if not names:
        return lambda instance: ()
    if len(names) == 1:
        read_only_field = attrgetter(names[0])
        return lambda instance: (read_only_field(instance),)
    return attrgetter(*names)


def _add_comparison(cls: Any) -> None:
    """Compare instances of a class by their fields, and hash them by those that are not `hash=False`."""
    read_fields = _tuple_getter(cls.__match_args__)
    read_hashed_fields = _tuple_getter(tuple(each.name for each in fields(cls) if each.hash is not False))

    def is_equal(self: Any, other: object) -> bool:
        if type(self) is not type(other):
            return NotImplemented
        return read_fields(self) == read_fields(other)

    def hash_fields(self: Any) -> int:
        return hash(read_hashed_fields(self))

    cls.__eq__, cls.__hash__ = is_equal, hash_fields


def _represent(self: Any) -> str:
    shown = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__match_args__)
    return f"{type(self).__qualname__}({shown})"


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def value(cls: type[ValueT]) -> type[ValueT]:
    """Make a class with annotated fields a value: compared, hashed and shown by its fields, with slots."""
    made: Any = dataclass(slots=True, eq=False, repr=False)(cls)
    _add_comparison(made)
    made.__repr__ = _represent
    return cast(type[ValueT], made)
