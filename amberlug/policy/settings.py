"""Parse the settings object of a relay's first message into `interface.Settings`.

Unknown keys are ignored; a key that is missing or out of range raises a `ValueError` that names it. If an
optional key is absent, the rule or feature it configures is off.
"""

from collections.abc import Callable, Mapping
from typing import Any

from amberlug.policy.interface import Effect, Group, Kind, MessageClass, Settings, Tenant

_UNLIMITED_US = 1 << 62


def _lookup(table: Mapping[str, Any], path: str) -> Any:
    value: Any = table
    for key in path.split("."):
        if not isinstance(value, Mapping) or key not in value:
            raise ValueError(f"setting {path} is missing")
        value = value[key]
    return value


def _number(table: Mapping[str, Any], path: str, low: float, high: float = _UNLIMITED_US) -> float:
    value = _lookup(table, path)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise ValueError(f"setting {path} is out of range: {value!r}")
    return float(value)


def _integer(table: Mapping[str, Any], path: str, low: int) -> int:
    value = _number(table, path, low)
    if value != int(value):
        raise ValueError(f"setting {path} is not an integer: {value!r}")
    return int(value)


def _boolean(table: Mapping[str, Any], path: str) -> bool:
    value = _lookup(table, path)
    if not isinstance(value, bool):
        raise ValueError(f"setting {path} is not a boolean: {value!r}")
    return value


def _choice(table: Mapping[str, Any], path: str, words: tuple[str, ...]) -> str:
    value = _lookup(table, path)
    if value not in words:
        raise ValueError(f"setting {path} must be one of {', '.join(words)}: {value!r}")
    return str(value)


def _list(table: Mapping[str, Any], path: str) -> list[Any]:
    value = _lookup(table, path)
    if not isinstance(value, list):
        raise ValueError(f"setting {path} is not a list: {value!r}")
    return value


def _message_class(item: Any) -> MessageClass:
    if not isinstance(item, Mapping):
        raise ValueError(f"setting Categories has an entry that is not an object: {item!r}")
    effect = Effect(_choice(item, "Semantics", ("safe", "keyed", "unsafe")))
    keyed = effect is Effect.KEYED
    return MessageClass(
        name=str(_lookup(item, "Name")),
        effect=effect,
        aim_us=_integer(item, "AimUs", 0),
        deadline_us=_integer(item, "DeadlineUs", 1),
        worth=_number(item, "Worth", 0),
        late_worth=_number(item, "LateWorth", 0, 1) if "LateWorth" in item else 0.0,
        group=Group(_choice(item, "Group", ("all", "zone", "cell"))) if keyed else Group.ALL,
        key_life_us=_integer(item, "KeyTtlUs", 0) if keyed else 0,
        keep_order=bool(item.get("KeepOrder", False)),
    )


def _classes(table: Mapping[str, Any]) -> dict[str, MessageClass]:
    return {it.name: it for it in map(_message_class, _list(table, "Categories"))}


def _tenant(item: Any) -> Tenant:
    if not isinstance(item, Mapping):
        raise ValueError(f"setting Accounts has an entry that is not an object: {item!r}")
    return Tenant(name=str(_lookup(item, "Name")), quota_per_s=_number(item, "QuotaPerS", 0))


def _tenants(table: Mapping[str, Any]) -> dict[str, Tenant]:
    return {it.name: it for it in map(_tenant, _list(table, "Accounts") if "Accounts" in table else [])}


def _kinds(table: Mapping[str, Any]) -> dict[str, Kind]:
    names = [str(name) for name in _list(table, "Kinds")]
    bundles, apart = _list(table, "FamilyInfo.BundleMax"), _list(table, "FamilyInfo.RoutesApart")
    for size in bundles:
        if isinstance(size, bool) or not isinstance(size, int) or size < 1:
            raise ValueError(f"setting FamilyInfo.BundleMax is out of range: {size!r}")
    each = zip(names, bundles, apart, strict=False)
    return {name: Kind(name, int(size), bool(own)) for name, size, own in each}


def _fees_by_zone(table: Mapping[str, Any]) -> dict[str, float]:
    zones = [str(name) for name in _list(table, "Zones")]
    fees = _list(table, "FamilyInfo.Carriage") if "Carriage" in _lookup(table, "FamilyInfo") else []
    return {zone: float(fee) for zone, fee in zip(zones, fees, strict=False)}


def _subscribes_to_list(table: Mapping[str, Any]) -> bool:
    return _choice(table, "RegistryMode", ("push", "ask")) == "ask"


def _rate_source(table: Mapping[str, Any]) -> str:
    return _choice(table, "Weights", ("none", "nominal", "rough", "live"))


def _report_names(table: Mapping[str, Any]) -> tuple[str, ...]:
    via = _choice(table, "LoadReport.Via", ("answers", "probe", "none"))
    return tuple(str(name) for name in _list(table, "LoadReport.Names")) if via != "none" else ()


def _refusal_cost(table: Mapping[str, Any]) -> float:
    has_cost = "RefusalCost" in _lookup(table, "FamilyInfo")
    return _number(table, "FamilyInfo.RefusalCost", 0) if has_cost else 0.0


# Each field is parsed independently, so that one invalid field does not hide the errors of others.
_FIELD_PARSERS: Mapping[str, Callable[[Mapping[str, Any]], Any]] = {
    "kinds": _kinds,
    "relays": lambda it: _integer(it, "Balancers", 1),
    "ordinal": lambda it: _integer(it, "Ordinal", 0),
    "zone": lambda it: str(_lookup(it, "Locality")),
    "classes": _classes,
    "tenants": _tenants,
    "fees": _fees_by_zone,
    "slots": lambda it: _integer(it, "FamilyInfo.Slots", 1),
    "max_open": lambda it: _integer(it, "Bounds.MaxOpen", 1),
    "most_attempts": lambda it: _integer(it, "Bounds.MostTries", 1),
    "second_copies": lambda it: _boolean(it, "Bounds.SecondCopies"),
    "may_cancel": lambda it: _boolean(it, "Bounds.Cancel"),
    "may_probe": lambda it: _boolean(it, "Bounds.Probes"),
    "may_tell_peers": lambda it: _boolean(it, "Bounds.Peers"),
    "may_advise": lambda it: _boolean(it, "Bounds.RetryAfter"),
    "max_advice_us": lambda it: _integer(it, "Bounds.MaxRetryAfterUs", 0),
    "idle_us": lambda it: _integer(it, "Bounds.ConnIdleUs", 0),
    "dial_us": lambda it: _integer(it, "Bounds.DialTimeoutUs", 0),
    "asks": _subscribes_to_list,
    "rates_listed": lambda it: _rate_source(it) in ("nominal", "rough"),
    "rates_rough": lambda it: _rate_source(it) == "rough",
    "halving": lambda it: _choice(it, "FamilyInfo.Late", ("linear", "halving")) == "halving",
    "over_share_worth": lambda it: _number(it, "OverShareWorth", 0) if "OverShareWorth" in it else 1.0,
    "refusal_cost": _refusal_cost,
    "report_names": _report_names,
    "answer_slack_us": lambda it: _integer(it, "Rules.AnswerSlackUs", 0),
    "ask_within_us": lambda it: _integer(it, "Rules.AskWithinUs", 1)
    if _subscribes_to_list(it)
    else _UNLIMITED_US,
    "drain_grace_us": lambda it: _integer(it, "Rules.DrainGraceUs", 0),
    "cold_share": lambda it: _number(it, "Rules.ColdShare", 0, 1),
    "warm_us": lambda it: _integer(it, "Rules.WarmWithinUs", 0),
    "overload_factor": lambda it: _number(it, "Rules.OverloadFactor", 0),
    "overload_us": lambda it: _integer(it, "Rules.OverloadForUs", 1),
    "key_quiet_us": lambda it: (
        _integer(it, "Rules.KeyQuietUs", 0) if "KeyQuietUs" in _lookup(it, "Rules") else 0
    ),
    "granularity_us": lambda it: _integer(it, "GranularityUs", 0),
}


def read_settings(table: Mapping[str, Any]) -> Settings:
    """Parse and validate a settings object; the `ValueError` names the first invalid key."""
    return Settings(**{name: read(table) for name, read in _FIELD_PARSERS.items()})


def setting_errors(table: Mapping[str, Any]) -> list[str]:
    """Return one error message for each field of a settings object that is invalid."""
    found: dict[str, None] = {}
    for read in _FIELD_PARSERS.values():
        try:
            read(table)
        except (ValueError, TypeError) as error:
            found[str(error)] = None
    return list(found)
