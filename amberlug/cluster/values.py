"""Immutable values whose classes are cheap to define.

A frozen dataclass takes about three times as long to define as a plain one, since each of its methods is
compiled anew. A node defines more than a hundred at its start, which it makes on a fraction of a core.
`value` therefore leaves immutability to the type checker, which rejects an assignment to a field, and shares
the other methods.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeVar, cast, dataclass_transform

ValueT = TypeVar("ValueT")


def _fields(instance: Any) -> tuple[Any, ...]:
    return tuple(getattr(instance, name) for name in instance.__match_args__)


def _is_equal(self: Any, other: object) -> bool:
    if type(self) is not type(other):
        return NotImplemented
    return _fields(self) == _fields(other)


def _hash(self: Any) -> int:
    return hash(_fields(self))


def _represent(self: Any) -> str:
    values = zip(self.__match_args__, _fields(self), strict=True)
    return f"{type(self).__qualname__}({', '.join(f'{name}={value!r}' for name, value in values)})"


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def value(cls: type[ValueT]) -> type[ValueT]:
    """Make a class with annotated fields a value: compared, hashed and shown by its fields, with slots."""
    made: Any = dataclass(slots=True, eq=False, repr=False)(cls)
    made.__eq__, made.__hash__, made.__repr__ = _is_equal, _hash, _represent
    return cast(type[ValueT], made)
