"""Wire formats of the attributes that nodes report with their sessions."""

import json

import pytest

from amberlug.cluster.control.session_attributes import EdgeAttributes, StorageAttributes


def test_the_attributes_of_an_edge_node_keep_their_fields_on_the_wire() -> None:
    attributes = EdgeAttributes(1, 2, 3, 4)
    assert list(attributes.to_wire().items()) == [
        ("roster", 1),
        ("table", 2),
        ("loading", 3),
        ("short", 4),
    ]
    assert EdgeAttributes.from_wire(attributes.to_wire()) == attributes


def test_an_edge_node_without_one_of_its_attributes_is_rejected() -> None:
    for field in ("roster", "table", "loading", "short"):
        body = EdgeAttributes(1, 2, 0, 0).to_wire()
        del body[field]
        with pytest.raises(KeyError):
            EdgeAttributes.from_wire(body)


@pytest.mark.parametrize(("recovering", "under_replicated"), [(0, 0), (1, 0), (0, 1)])
def test_an_edge_node_is_complete_once_it_has_read_and_replicated_all(
    recovering: int, under_replicated: int
) -> None:
    assert EdgeAttributes(1, 2, recovering, under_replicated).is_complete == (
        not recovering and not under_replicated
    )


def test_the_attributes_of_a_storage_node_keep_their_fields_on_the_wire() -> None:
    attributes = StorageAttributes("disk", True)
    assert json.dumps(attributes.to_wire()) == '{"disk": "disk", "enrolled": true}'
    assert StorageAttributes.from_wire(attributes.to_wire()) == attributes
