"""Settings and small helpers that the tests share."""

import copy
import gc
import itertools
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings

from amberlug.library.claims import CLAIMS
from amberlug.policy import interface as api
from amberlug.policy.decide import Sender
from amberlug.policy.settings import read_settings
from amberlug.policy.state import Endpoint


def pytest_collection_finish() -> None:
    """Keep the collector from looking through all modules in the middle of a test that counts on its loop."""
    # Guards against a hold-up by which a relay takes itself to be behind, and refuses what a test hands in.
    gc.collect()
    gc.freeze()


hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
hypothesis_settings.load_profile("fixed")

SECOND = 1_000_000


def message_class(name: str, effect: str, **more: Any) -> dict[str, Any]:
    return {
        "Name": name,
        "Semantics": effect,
        "Group": "all",
        "KeyTtlUs": 6 * SECOND,
        "AimUs": SECOND,
        "DeadlineUs": 10 * SECOND,
        "Worth": 1.0,
        "LateWorth": 0.5,
        "Stream": False,
    } | more


BASE: dict[str, Any] = {
    "Accounts": [],
    "Balancers": 1,
    "Ordinal": 0,
    "Locality": "north",
    "Zones": ["north", "south"],
    "Kinds": ["plain", "bundled", "apart"],
    "Categories": [
        message_class("safe", "safe"),
        message_class("keyed", "keyed"),
        message_class("zoned", "keyed", Group="zone"),
        message_class("unsafe", "unsafe"),
        message_class("ordered", "safe", KeepOrder=True),
    ],
    "FamilyInfo": {
        "BundleMax": [1, 3, 1],
        "RoutesApart": [False, False, True],
        "Slots": 8,
        "Late": "linear",
        "Carriage": [0.0, 0.03],
    },
    "Bounds": {
        "Cancel": True,
        "ConnIdleUs": 10 * SECOND,
        "DialTimeoutUs": SECOND,
        "MaxOpen": 40,
        "MaxRetryAfterUs": SECOND,
        "MostTries": 5,
        "Peers": False,
        "Probes": False,
        "RetryAfter": True,
        "SecondCopies": False,
    },
    "LoadReport": {"Names": [], "Via": "none"},
    "RegistryMode": "push",
    "Rules": {
        "AnswerSlackUs": 20_000,
        "AskWithinUs": 10 * SECOND,
        "ColdShare": 0.2,
        "DrainGraceUs": SECOND,
        "KeyQuietUs": 500_000,
        "OverloadFactor": 2.5,
        "OverloadForUs": 2 * SECOND,
        "WarmWithinUs": 10 * SECOND,
    },
    "OverShareWorth": 0.1,
    "Weights": "none",
    "GranularityUs": 5000,
}


def setup(**changes: Any) -> dict[str, Any]:
    """A settings object; `Bounds__Probes=True` changes a key one level down."""
    table = copy.deepcopy(BASE)
    for path, value in changes.items():
        outer, _, inner = path.partition("__")
        if inner:
            table[outer][inner] = value
        else:
            table[outer] = value
    return table


class Relay:
    """A sender with its clock: takes messages, answers attempts and fires timers as a relay would."""

    def __init__(self, **changes: Any) -> None:
        self.sender = Sender(read_settings(setup(**changes)), 7)
        self.now = 100 * SECOND
        self.refs = itertools.count(1)
        self.timers: list[tuple[int, int]] = []
        self.attempts: dict[int, int] = {}
        self.sent: list[tuple[int, int, api.Send, int]] = []

    def step(self, *events: api.Event) -> list[api.Action]:
        actions = self.sender.step(self.now, events)
        for action in actions:
            if isinstance(action, api.Timer):
                self.timers.append((self.now + action.after_us, action.label))
            elif isinstance(action, api.Send):
                number = self.attempts.get(action.ref, 0)
                self.attempts[action.ref] = number + 1
                self.sent.append((action.ref, number, action, self.now))
        return actions

    def listed(self, *endpoints: str, kind: str = "plain", rate: float = 1.0, zone: str = "north") -> None:
        entries = tuple(api.Entry(name, zone, kind, 1, api.State.IN, rate) for name in endpoints)
        self.step(api.Listed(api.ListKind.PATCH, entries))

    def endpoint(self, name: str) -> Endpoint:
        """The record of an endpoint; its destination is woken for it."""
        entry = self.sender.members.get(name)
        assert entry is not None
        self.sender.load_destination(entry.destination)
        return self.sender.endpoints[name]

    def take(
        self, message_class: str = "safe", key: str | None = None, tenant: str | None = None
    ) -> api.Taken:
        return api.Taken(next(self.refs), 1, message_class, tenant, key, 10 * SECOND)

    def answer(
        self,
        ref: int,
        attempt: int,
        result: api.Result = api.Result.DONE,
        wait_us: int = 0,
        reused: bool = False,
    ) -> list[api.Action]:
        _, _, send, start = next(item for item in self.sent if item[:2] == (ref, attempt))
        done = result is api.Result.DONE
        took = self.now - start
        return self.step(api.Outcome(ref, attempt, send.endpoint, result, done, took, wait_us, (), reused))

    def advance(self, until_us: int) -> list[api.Action]:
        """Fire timers in their order up to a time, and stop there."""
        actions: list[api.Action] = []
        while self.timers and min(self.timers)[0] <= until_us:
            at_us, label = min(self.timers)
            self.timers.remove((at_us, label))
            self.now = max(self.now, at_us)
            actions += self.step(api.TimerExpired(label))
        self.now = until_us
        return actions


@pytest.fixture
def relay() -> Callable[..., Relay]:
    return Relay


def of(actions: list[api.Action], kind: type[Any]) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


@pytest.fixture(autouse=True)
def _a_process_of_its_own() -> None:
    """Each test begins as a process does: no message is claimed."""
    CLAIMS.clear()
