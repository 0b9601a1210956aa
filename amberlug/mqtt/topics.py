"""Topics and topic filters: OASIS MQTT 5.0, section 4.7, and shared subscriptions, section 4.8.2."""

from __future__ import annotations

SHARED = "$share/"


def is_topic(topic: str) -> bool:
    """Whether a topic name is valid: no wildcards, no U+0000, not empty, at most 65,535 bytes."""
    return bool(topic) and not any(sign in topic for sign in "+#\0") and len(topic.encode()) <= 0xFFFF


def is_filter(name: str) -> bool:
    """Whether a topic filter is valid: wildcards only as whole levels, `#` only as the last one."""
    if name.startswith(SHARED):
        group, _, rest = name[len(SHARED) :].partition("/")
        return bool(group) and not any(sign in group for sign in "+#") and is_filter(rest)
    if not name or "\0" in name or len(name.encode()) > 0xFFFF:
        return False
    levels = name.split("/")
    return (
        all(level in ("+", "#") or not ("+" in level or "#" in level) for level in levels)
        and "#" not in levels[:-1]
    )


def matches(name: str, topic: str) -> bool:
    """Whether a filter without a `$share` prefix matches a topic."""
    return captured_levels(name, topic) is not None


def captured_levels(name: str, topic: str) -> tuple[str, ...] | None:
    """Return the topic levels that the filter's `+` matched, in order; None if it does not match."""
    # Topics that begin with $ are reserved for the broker: leading wildcards don't match them.
    if topic.startswith("$") and name[:1] in ("+", "#"):
        return None
    found: list[str] = []
    wanted, given = name.split("/"), topic.split("/")
    for at, level in enumerate(wanted):
        if level == "#":
            return tuple(found)
        if at >= len(given):
            return None
        if level == "+":
            found.append(given[at])
        elif level != given[at]:
            return None
    return tuple(found) if len(wanted) == len(given) else None
