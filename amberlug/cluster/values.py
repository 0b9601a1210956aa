"""Immutable value classes that are cheap to define.

A frozen dataclass takes several times as long to define (see `benchmarks/values.py`), since each of its
methods is compiled separately. A node defines more than a hundred value classes at startup, on a fraction of
a core. `value` therefore leaves immutability to the type checker, which rejects assignments to fields. Only
`__init__` is compiled per class, and not before the first instance is created; the other methods share their
code.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import MISSING, dataclass, field, fields
from operator import attrgetter
from typing import Any, TypeVar, cast, dataclass_transform

ValueT = TypeVar("ValueT")


def _tuple_getter(names: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that reads these fields as a tuple, as `attrgetter` does from two names on."""
    if not names:
        return lambda instance: ()
    if len(names) == 1:
        read_only_field = attrgetter(names[0])
        return lambda instance: (read_only_field(instance),)
    return attrgetter(*names)


def _add_comparison(cls: Any) -> None:
    """Add equality over all fields, and a hash over the fields that are not declared with `hash=False`."""
    read_fields = _tuple_getter(cls.__match_args__)
    read_hashed_fields = _tuple_getter(tuple(each.name for each in fields(cls) if each.hash is not False))

    def is_equal(self: Any, other: object) -> bool:
        """Compare all fields; `NotImplemented` for objects of other types."""
        if type(self) is not type(other):
            return NotImplemented
        return read_fields(self) == read_fields(other)

    def hash_fields(self: Any) -> int:
        """Return the hash of the fields declared as hashed."""
        return hash(read_hashed_fields(self))

    cls.__eq__, cls.__hash__ = is_equal, hash_fields


_FROM_FACTORY = object()  # sentinel default of parameters whose field has a default factory


def _compile_init(cls: Any) -> None:
    """Compile the `__init__` of a dataclass, whose parameters are the fields in order."""
    names: dict[str, Any] = {"_FROM_FACTORY": _FROM_FACTORY}
    parameters, assignments = ["self"], []
    for each in fields(cls):
        name, content = each.name, each.name
        if each.default is not MISSING:
            names[f"default_{name}"] = each.default
            parameters.append(f"{name}=default_{name}")
        elif each.default_factory is not MISSING:
            names[f"make_{name}"] = each.default_factory
            parameters.append(f"{name}=_FROM_FACTORY")
            content = f"make_{name}() if {name} is _FROM_FACTORY else {name}"
        else:
            parameters.append(name)
        assignments.append(f"self.{name} = {content}")
    text = "\n ".join([f"def __init__({', '.join(parameters)}):", *(assignments or ["pass"])])
    exec(text, names)
    cls.__init__ = names["__init__"]


def _init_first(self: Any, *args: Any, **kwargs: Any) -> None:
    """Initialize the first instance of a class, replacing this method by a compiled `__init__`."""
    cls = type(self)
    _compile_init(cls)
    cls.__init__(self, *args, **kwargs)


def _represent(self: Any) -> str:
    shown = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__match_args__)
    return f"{type(self).__qualname__}({shown})"


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def value(cls: type[ValueT]) -> type[ValueT]:
    """Class decorator for values: equality, hash and repr by the annotated fields, and slots."""
    made: Any = dataclass(slots=True, init=False, eq=False, repr=False)(cls)
    _add_comparison(made)
    made.__init__, made.__repr__ = _init_first, _represent
    return cast(type[ValueT], made)
