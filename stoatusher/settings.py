"""Read the settings object of a relay's first message into `interface.Settings`.

Keys that are not known are ignored; one that is missing or out of range raises `ValueError` naming it.
Nothing here decides anything: a key that may be absent stands for the rule or trait being absent.
"""

from collections.abc import Mapping
from typing import Any

from stoatusher.interface import Effect, Group, Kind, MessageClass, Settings, Tenant

_NEVER = 1 << 62


def _get(table: Mapping[str, Any], path: str) -> Any:
    value: Any = table
    for key in path.split("."):
        if not isinstance(value, Mapping) or key not in value:
            raise ValueError(f"setting {path} is missing")
        value = value[key]
    return value


def _number(table: Mapping[str, Any], path: str, low: float, high: float = _NEVER) -> float:
    value = _get(table, path)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise ValueError(f"setting {path} is out of range: {value!r}")
    return float(value)


def _whole(table: Mapping[str, Any], path: str, low: int, high: int = _NEVER) -> int:
    value = _number(table, path, low, high)
    if value != int(value):
        raise ValueError(f"setting {path} is not a whole number: {value!r}")
    return int(value)


def _flag(table: Mapping[str, Any], path: str) -> bool:
    value = _get(table, path)
    if not isinstance(value, bool):
        raise ValueError(f"setting {path} is neither true nor false: {value!r}")
    return value


def _word(table: Mapping[str, Any], path: str, words: tuple[str, ...]) -> str:
    value = _get(table, path)
    if value not in words:
        raise ValueError(f"setting {path} is none of {', '.join(words)}: {value!r}")
    return str(value)


def _list(table: Mapping[str, Any], path: str, size: int | None = None) -> list[Any]:
    value = _get(table, path)
    if not isinstance(value, list) or size not in (None, len(value)):
        raise ValueError(f"setting {path} is not a list of the right length: {value!r}")
    return value


def _message_class(item: Any) -> MessageClass:
    if not isinstance(item, Mapping):
        raise ValueError(f"setting Categories has an entry that is no object: {item!r}")
    effect = Effect(_word(item, "Semantics", ("safe", "keyed", "unsafe")))
    keyed = effect is Effect.KEYED
    return MessageClass(
        name=str(_get(item, "Name")),
        effect=effect,
        aim_us=_whole(item, "AimUs", 0),
        deadline_us=_whole(item, "DeadlineUs", 1),
        worth=_number(item, "Worth", 0),
        late_worth=_number(item, "LateWorth", 0, 1) if "LateWorth" in item else 0.0,
        group=Group(_word(item, "Group", ("all", "zone", "cell"))) if keyed else Group.ALL,
        key_life_us=_whole(item, "KeyTtlUs", 0) if keyed else 0,
        keep_order=bool(item.get("KeepOrder", False)),
    )


def _tenant(item: Any) -> Tenant:
    if not isinstance(item, Mapping):
        raise ValueError(f"setting Accounts has an entry that is no object: {item!r}")
    return Tenant(name=str(_get(item, "Name")), quota_per_s=_number(item, "QuotaPerS", 0))


def read_settings(table: Mapping[str, Any]) -> Settings:
    """Translate a settings object, checking every key that is used."""
    kinds = [str(name) for name in _list(table, "Kinds")]
    zones = [str(name) for name in _list(table, "Zones")]
    bundles = _list(table, "FamilyInfo.BundleMax")
    apart = _list(table, "FamilyInfo.RoutesApart")
    for size in bundles:
        if isinstance(size, bool) or not isinstance(size, int) or size < 1:
            raise ValueError(f"setting FamilyInfo.BundleMax is out of range: {size!r}")
    info = _get(table, "FamilyInfo")
    fees = _list(table, "FamilyInfo.Carriage") if "Carriage" in info else []
    classes = [_message_class(item) for item in _list(table, "Categories")]
    tenants = [_tenant(item) for item in table.get("Accounts", [])]
    via = _word(table, "LoadReport.Via", ("answers", "probe", "none"))
    quiet = "KeyQuietUs" in _get(table, "Rules")
    relays = _whole(table, "Balancers", 1)
    asks = _word(table, "RegistryMode", ("push", "ask")) == "ask"
    return Settings(
        relays=relays,
        ordinal=_whole(table, "Ordinal", 0),
        zone=str(_get(table, "Locality")),
        classes={item.name: item for item in classes},
        tenants={item.name: item for item in tenants},
        kinds={
            name: Kind(name, int(size), bool(own))
            for name, size, own in zip(kinds, bundles, apart, strict=False)
        },
        fees={zone: float(fee) for zone, fee in zip(zones, fees, strict=False)},
        slots=_whole(table, "FamilyInfo.Slots", 1),
        max_open=_whole(table, "Bounds.MaxOpen", 1),
        most_attempts=_whole(table, "Bounds.MostTries", 1),
        second_copies=_flag(table, "Bounds.SecondCopies"),
        may_cancel=_flag(table, "Bounds.Cancel"),
        may_probe=_flag(table, "Bounds.Probes"),
        may_tell_peers=_flag(table, "Bounds.Peers"),
        may_advise=_flag(table, "Bounds.RetryAfter"),
        max_advice_us=_whole(table, "Bounds.MaxRetryAfterUs", 0),
        idle_us=_whole(table, "Bounds.ConnIdleUs", 0),
        dial_us=_whole(table, "Bounds.DialTimeoutUs", 0),
        asks=asks,
        rates_listed=_word(table, "Weights", ("none", "nominal", "rough", "live")) in ("nominal", "rough"),
        rates_rough=_get(table, "Weights") == "rough",
        halving=_word(table, "FamilyInfo.Late", ("linear", "halving")) == "halving",
        over_share_worth=_number(table, "OverShareWorth", 0) if "OverShareWorth" in table else 1.0,
        refusal_cost=_number(table, "FamilyInfo.RefusalCost", 0) if "RefusalCost" in info else 0.0,
        report_names=tuple(str(name) for name in _list(table, "LoadReport.Names")) if via != "none" else (),
        answer_slack_us=_whole(table, "Rules.AnswerSlackUs", 0),
        ask_within_us=_whole(table, "Rules.AskWithinUs", 1) if asks else _NEVER,
        drain_grace_us=_whole(table, "Rules.DrainGraceUs", 0),
        cold_share=_number(table, "Rules.ColdShare", 0, 1),
        warm_us=_whole(table, "Rules.WarmWithinUs", 0),
        overload_factor=_number(table, "Rules.OverloadFactor", 0),
        overload_us=_whole(table, "Rules.OverloadForUs", 1),
        key_quiet_us=_whole(table, "Rules.KeyQuietUs", 0) if quiet else 0,
        granularity_us=_whole(table, "GranularityUs", 0),
    )
