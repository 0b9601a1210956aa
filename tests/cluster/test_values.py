"""Tests of `value`: equality, hash, repr and slots match those of a frozen dataclass."""

import copy
import pickle
from dataclasses import FrozenInstanceError, dataclass, field, fields, replace
from typing import Any

import pytest

from amberlug.cluster.values import value


@value
class Point:
    """A value with a default."""

    x: int
    y: int = 0


@value
class Length:
    """A value with one field."""

    metres: float


@value
class Origin:
    """A value without fields."""


@value
class OtherPoint:
    """A value with the same fields as another class."""

    x: int
    y: int = 0


@value
class Named(Point):
    """A value that inherits fields, and adds fields and a property."""

    name: str = ""
    tags: dict[str, str] = field(default_factory=dict, hash=False)

    @property
    def is_at_origin(self) -> bool:
        return self.x == self.y == 0


@dataclass(frozen=True, slots=True)
class FrozenPoint:
    """The reference for the behavior of a value."""

    x: int
    y: int = 0


def test_values_are_equal_by_their_fields() -> None:
    assert Point(1, 2) == Point(x=1, y=2)
    assert Point(1, 2) != Point(1, 3)
    assert Length(1.0) == Length(1.0)
    assert Length(1.0) != Length(2.0)
    assert Origin() == Origin()


def test_values_of_different_classes_are_not_equal() -> None:
    others: list[object] = [OtherPoint(1, 2), Named(1, 2), (1, 2)]
    for other in others:
        assert Point(1, 2) != other
        assert other != Point(1, 2)
        assert Point(1, 2).__eq__(other) is NotImplemented


def test_a_field_that_is_not_equal_to_itself_is_compared_as_in_a_tuple() -> None:
    unknown = float("nan")
    assert Length(unknown) == Length(unknown)
    assert Length(float("nan")) != Length(float("nan"))


@pytest.mark.parametrize("made", [Point(1, 2), Length(1.0), Origin(), Named(1, 2, "a")])
def test_equal_values_have_equal_hashes(made: object) -> None:
    assert hash(made) == hash(copy.copy(made))
    assert len({made, copy.copy(made)}) == 1


def test_the_hash_is_that_of_a_frozen_dataclass() -> None:
    assert hash(Point(1, 2)) == hash(FrozenPoint(1, 2))
    assert hash(Length(1.5)) == hash((1.5,))


def test_a_field_may_be_left_out_of_the_hash_but_not_of_equality() -> None:
    assert hash(Named(1, 2, "a", {"b": "c"})) == hash(Named(1, 2, "a"))
    assert Named(1, 2, "a", {"b": "c"}) != Named(1, 2, "a")


def test_a_value_without_a_hashable_field_has_no_hash() -> None:
    contents: Any = [1.0]
    with pytest.raises(TypeError, match="unhashable"):
        hash(Length(contents))


def test_the_repr_of_a_value_has_its_fields() -> None:
    assert repr(Point(1)) == repr(FrozenPoint(1)).replace("FrozenPoint", "Point") == "Point(x=1, y=0)"
    assert repr(Origin()) == "Origin()"
    assert repr(Named(1, 2, "a")) == "Named(x=1, y=2, name='a', tags={})"


def test_a_value_has_slots_and_no_dict() -> None:
    point: Any = Point(1)
    assert not hasattr(point, "__dict__")
    with pytest.raises(AttributeError):
        point.z = 1


def test_only_the_type_checker_rejects_an_assignment() -> None:
    point = Point(1)
    frozen: Any = FrozenPoint(1)
    point.x = 2  # type: ignore[misc]
    assert point == Point(2)
    with pytest.raises(FrozenInstanceError):
        frozen.x = 2


def test_a_default_factory_is_called_for_each_instance() -> None:
    first, second = Named(1), Named(1)
    assert first.tags == {}
    assert first.tags is not second.tags
    assert Named(0).is_at_origin


def test_a_missing_field_is_an_error() -> None:
    make_point: Any = Point
    with pytest.raises(TypeError, match="x"):
        make_point()


def test_fields_replace_match_copy_and_pickle_work_as_of_a_dataclass() -> None:
    assert [each.name for each in fields(Named)] == ["x", "y", "name", "tags"]
    assert replace(Point(1, 2), y=3) == Point(1, 3)
    assert copy.deepcopy(Named(1, 2, "a", {"b": "c"})) == Named(1, 2, "a", {"b": "c"})
    assert pickle.loads(pickle.dumps(Point(1, 2))) == Point(1, 2)
    match Point(1, 2):
        case Point(x, y):
            assert (x, y) == (1, 2)


def test_a_class_keeps_its_name_and_its_documentation() -> None:
    assert (Point.__name__, Point.__qualname__, Point.__module__) == ("Point", "Point", __name__)
    assert Point.__doc__ == "A value with a default."
