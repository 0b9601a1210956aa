"""Adapter that runs one sender per relay on the text protocol of the simulator.

Run as `python -m amberlug.policy.wirehost`. Reads batches of events from standard input and writes replies to
standard output.
"""

import json
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import IO, TypeVar

from amberlug.policy import interface as api
from amberlug.policy.lasting import LastingSender
from amberlug.policy.settings import read_settings

_RESULTS = {
    "done": api.Result.DONE,
    "err": api.Result.ERROR,
    "busy": api.Result.REFUSED,
    "etimedout": api.Result.TIMED_OUT,
    "econnrefused": api.Result.UNCONNECTED,
    "econnreset": api.Result.RESET,
    "ecanceled": api.Result.CALLED_OFF,
    "skipped": api.Result.UNSENT,
}
_STATES = {"IN": api.State.IN, "LAME": api.State.DRAINING, "OUT": api.State.GONE}
_LIST_KINDS = {
    "patch": api.ListKind.PATCH,
    "whole": api.ListKind.WHOLE,
    "stale_copy": api.ListKind.STALE,
    "broken": api.ListKind.BROKEN,
}
_LAST_FIELDS = ("Setup", "What")  # their values extend to the end of the line

Fields = Mapping[str, str]
T = TypeVar("T")


class WireError(ValueError):
    """A line that violates the protocol."""


def _parse_fields(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    while text:
        name, is_pair, rest = text.partition("=")
        if not is_pair or not name or " " in name:
            raise WireError(f"not a name=value pair: {text.split(' ', 1)[0]!r}")
        if name in _LAST_FIELDS:
            found[name] = rest
            break
        found[name], _, text = rest.partition(" ")
    return found


def _required(fields: Fields, name: str) -> str:
    if name not in fields:
        raise WireError(f"field {name} is missing")
    return fields[name]


def _integer(fields: Fields, name: str, absent: int | None = None) -> int:
    value = fields.get(name) if absent is not None else _required(fields, name)
    if value is None:
        return absent or 0
    try:
        return int(value)
    except ValueError:
        raise WireError(f"field {name} is not a whole number: {value!r}") from None


def _number(fields: Fields, name: str, absent: float) -> float:
    try:
        return float(fields.get(name, absent))
    except ValueError:
        raise WireError(f"field {name} is not a number: {fields[name]!r}") from None


def _choice(fields: Fields, name: str, words: Mapping[str, T]) -> T:
    value = _required(fields, name)
    if value not in words:
        raise WireError(f"field {name} is not known: {value!r}")
    return words[value]


def _load_report(fields: Fields) -> tuple[float, ...]:
    text = fields.get("Stats", "")
    try:
        return tuple(float(part) for part in text.split(",") if part)
    except ValueError:
        raise WireError(f"field Stats is not a list of numbers: {text!r}") from None


def _parse_message(fields: Fields) -> api.Event:
    tenant = fields.get("Party")
    return api.Taken(
        ref=_integer(fields, "Ref"),
        destination=_integer(fields, "Dest"),
        message_class=_required(fields, "Profile"),
        tenant=None if tenant in (None, "0", "") else tenant,
        key=fields.get("PathKey"),
        left_us=_integer(fields, "LeftUs"),
    )


def _parse_outcome(fields: Fields) -> api.Event:
    result = _choice(fields, "StateCode", _RESULTS)
    note = _integer(fields, "Note", 0)
    return api.Outcome(
        ref=_integer(fields, "Ref"),
        attempt=_integer(fields, "RoundNo", 0),
        endpoint=_required(fields, "Endpoint"),
        result=result,
        ended=_integer(fields, "Ended", 0) == 1,
        took_us=_integer(fields, "TookUs", 0),
        wait_us=note * 1000 if result is api.Result.REFUSED else 0,
        report=_load_report(fields),
    )


def _parse_probe_result(fields: Fields) -> api.Event:
    result = _choice(fields, "StateCode", _RESULTS)
    return api.ProbeResult(
        _required(fields, "Endpoint"), result, _integer(fields, "TookUs", 0), _load_report(fields)
    )


def _parse_peer_note(fields: Fields) -> api.Event:
    text = fields.get("Data", "-")
    try:
        return api.PeerNote(_integer(fields, "Neighbour"), b"" if text == "-" else bytes.fromhex(text))
    except ValueError as error:
        raise WireError(f"field Data is not hex digits: {error}") from None


def _parse_entry(fields: Fields) -> api.Entry:
    return api.Entry(
        endpoint=_required(fields, "Endpoint"),
        zone=_required(fields, "Locality"),
        kind=_required(fields, "Model"),
        destination=_integer(fields, "Destination"),
        state=_choice(fields, "Availability", _STATES),
        rate=_number(fields, "CapacityHint", 1.0),
    )


_EVENT_PARSERS: dict[str, Callable[[Fields], api.Event]] = {
    "NEW_REQUEST": _parse_message,
    "REPORT_BACK": _parse_outcome,
    "EXPIRED": lambda fields: api.Withdrawn(_integer(fields, "Ref")),
    "FIRED": lambda fields: api.TimerExpired(_integer(fields, "Label")),
    "PROBE_RESULT": _parse_probe_result,
    "FROM_PEER": _parse_peer_note,
}
_IGNORED_EVENTS = ("HEAD_RECEIVED",)  # for streamed message classes only, which this service does not have


def _format_action(relay: int, action: api.Action) -> str:
    head = f"Relay={relay}"
    match action:
        case api.Send(ref=ref, endpoint=endpoint, until_us=until_us):
            return f"HAND_OFF {head} Ref={ref} Endpoint={endpoint} TryUntilUs={until_us}"
        case api.Refuse(ref, advice_us):
            return f"DECLINE {head} Ref={ref} RetryInUs={advice_us}"
        case api.Fail(ref):
            return f"GIVE_UP {head} Ref={ref}"
        case api.CancelAttempt(ref, attempt):
            return f"STOP_ATTEMPT {head} Ref={ref} RoundNo={attempt}"
        case api.Timer(label, after_us):
            return f"SLEEP {head} Label={label} SleepForUs={after_us}"
        case api.Probe(endpoint):
            return f"SOUND_OUT {head} Endpoint={endpoint}"
        case api.CloseIdle(endpoint):
            return f"DISCONNECT {head} Endpoint={endpoint}"
        case api.SendToPeer(peer, data):
            return f"ANNOUNCE {head} NeighbourId={-1 if peer is None else peer} Data={data.hex() or '-'}"
        case api.Subscribe():
            return f"TAIL {head} Active=1"
        case api.Fetch():
            return f"PULL {head}"
        case api.Log(text):
            return f"LOG {head} What={text}"


@dataclass(slots=True)
class _Batch:
    """Events of one batch, grouped by relay in the order of the relays' first events."""

    now_us: int
    events: dict[int, list[api.Event]] = field(default_factory=dict)


class Host:
    """The relays of this process and the numbered endpoint lists that their events refer to."""

    def __init__(self) -> None:
        self._senders: dict[int, LastingSender] = {}
        self._lists: dict[int, list[api.Entry]] = {}
        self._open_list: tuple[list[api.Entry], int] | None = None
        self._batch: _Batch | None = None

    def process_line(self, line: str) -> Iterable[str]:
        """Process one input line; the line that ends a batch returns the lines of its reply."""
        name, _, rest = line.partition(" ")
        if self._batch is None:
            if name != "MARK":
                raise WireError("a batch must begin with MARK")
            self._batch = _Batch(_integer(_parse_fields(rest), "SimTimeUs"))
            return ()
        if self._open_list is not None:
            self._add_entry(name, rest)
            return ()
        if name == "EOB":
            batch, self._batch = self._batch, None
            return self._reply(batch)
        self._add_event(self._batch, name, _parse_fields(rest))
        return ()

    def _add_entry(self, name: str, rest: str) -> None:
        if name != "ENDPOINT" or self._open_list is None:
            raise WireError("expected another ENDPOINT line of the open list")
        entries, left = self._open_list
        entries.append(_parse_entry(_parse_fields(rest)))
        self._open_list = (entries, left - 1) if left > 1 else None

    def _add_event(self, batch: _Batch, name: str, fields: Fields) -> None:
        if name == "LEDGER":
            entries: list[api.Entry] = []
            count = _integer(fields, "Hosts")
            self._lists[_integer(fields, "RosterId")] = entries
            self._open_list = (entries, count) if count > 0 else None
            return
        if name in _IGNORED_EVENTS:
            self._started_relay(fields)
            return
        if name == "ENLIST":
            relay = _integer(fields, "Relay")
            try:
                settings = read_settings(json.loads(_required(fields, "Setup")))
            except json.JSONDecodeError as error:
                raise WireError(f"field Setup is not JSON: {error}") from None
            self._senders[relay] = LastingSender(settings, _integer(fields, "RandomSeed"))
            batch.events[relay] = []
            return
        relay = self._started_relay(fields)
        if name == "RETIRE":
            del self._senders[relay]
            batch.events.pop(relay, None)
        elif name == "ENDPOINTS":
            batch.events.setdefault(relay, []).append(self._list_update(fields))
        elif name in _EVENT_PARSERS:
            batch.events.setdefault(relay, []).append(_EVENT_PARSERS[name](fields))
        else:
            raise WireError("the event is not known")

    def _started_relay(self, fields: Fields) -> int:
        relay = _integer(fields, "Relay")
        if relay not in self._senders:
            raise WireError(f"relay {relay} has not been started")
        return relay

    def _list_update(self, fields: Fields) -> api.Event:
        kind = _choice(fields, "Kind", _LIST_KINDS)
        if kind is api.ListKind.BROKEN:
            return api.Listed(kind, ())
        number = _integer(fields, "RosterId")
        if number not in self._lists:
            raise WireError(f"list {number} has not been sent")
        return api.Listed(kind, tuple(self._lists[number]))

    def _reply(self, batch: _Batch) -> Iterable[str]:
        for relay, events in batch.events.items():
            try:
                actions = self._senders[relay].step(batch.now_us, events)
            except Exception as error:
                text = f"{type(error).__name__}: {error}".replace("\n", " ")
                yield f"PANIC Relay={relay} What={text}"
                continue
            for action in actions:
                yield _format_action(relay, action)
        yield "END"


def serve(source: IO[str], sink: IO[str]) -> None:
    """Answer every batch of `source` on `sink` until the end of input."""
    host = Host()
    for number, line in enumerate(source, 1):
        text = line.rstrip("\r\n")
        try:
            reply = "".join(f"{part}\n" for part in host.process_line(text))
        except ValueError as error:
            raise WireError(f"line {number}: {error} in {text[:80]!r}") from None
        if reply:
            sink.write(reply)
            sink.flush()


def main() -> int:
    """Serve standard input; returns 0 at its end, or 2 after one error message for malformed input."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
