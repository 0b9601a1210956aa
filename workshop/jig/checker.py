"""The rules, judged by what clients, endpoints and the operator of a play saw."""

from __future__ import annotations

from collections import defaultdict

from workshop.jig.deployment import BOUNDS
from workshop.jig.history import Broken, History, Run, Sent, Version

CONTACT_S = BOUNDS["contactMs"] / 1000
APPLY_S = BOUNDS["configApplyMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
WINDOW_S = BOUNDS["ceilingWindowS"]
REVERT_S = 0.25
MARGIN_S = 0.05  # before the route's timeout
SERVED = 0.9  # of what is sent in calm


class Checker:
    """One history."""

    def __init__(self, history: History, max_attempts: int) -> None:
        self.history, self.max_attempts = history, max_attempts
        self.broken: list[Broken] = list(history.faults)
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for run in history.runs:
            if run.began is not None:
                self.runs[run.attempt].append(run)
        self.in_force = [it for it in history.versions if it.valid and it.status in (0, 200)]
        self.ended = {name: self._ended(sent) for name, sent in history.sent.items()}

    def _ended(self, sent: Sent) -> float:
        """When a message ended."""
        failures = []
        least = 1e9
        for run in self.runs.get(sent.attempt, ()):
            assert run.began is not None, "only what has begun is looked at"
            if run.what in ("done", "dead") and run.ended is not None:
                least = min(least, run.ended)
            elif run.what == "failed" and run.ended is not None:
                failures.append(run.ended)
        if len(failures) >= self.max_attempts:
            least = min(least, sorted(failures)[self.max_attempts - 1])
        for version in self._allowed(sent.at - APPLY_S, 1e9):
            if self._prefix(sent) not in version.services:
                least = min(least, max(sent.at, version.at))
        return least

    @staticmethod
    def _prefix(sent: Sent) -> str:
        return sent.target[: sent.target.rindex("/") + 1]

    def _say(self, rule: str, what: str) -> None:
        self.broken.append(Broken(rule, what))

    def check(self) -> list[Broken]:
        """All broken rules."""
        self._refused()
        self._unasked()
        self._order()
        self._twice()
        self._standings()
        self._lost()
        self._config_answers()
        self._config_runs()
        self._config_back()
        self._config_in_force()
        self._drain()
        self._ceiling()
        self._recover()
        return self.broken

    # -- messages

    def _refused(self) -> None:
        for sent in self.history.sent.values():
            if sent.status in (429, 503) and self.runs.get(sent.attempt):
                run = self.runs[sent.attempt][0]
                self._say("REFUSED", f"{sent.attempt} was answered {sent.status}, and ran at {run.began:.3f}")

    def _unasked(self) -> None:
        services: dict[str, set[str]] = defaultdict(set)
        for version in self.history.versions:
            for prefix, name in version.services.items():
                services[prefix].add(name)
        for runs in self.runs.values():
            for run in runs:
                sent = self.history.sent.get(run.attempt)
                if sent is None or sent.body != run.body:
                    self._say("UNASKED", f"{run.attempt} ran at {run.endpoint}, and nobody sent it so")
                elif run.service not in services[self._prefix(sent)]:
                    self._say("ROUTE", f"{run.attempt} for {sent.target} ran at {run.service}")
                elif run.began is not None and run.began < sent.due_at - 0.1:
                    self._say(
                        "EARLY", f"{run.attempt} ran {sent.due_at - run.began:.3f} s before its delay's end"
                    )

    def _order(self) -> None:
        by_key: dict[str, list[Sent]] = defaultdict(list)
        for sent in self.history.sent.values():
            if sent.key:
                by_key[sent.key].append(sent)
        for key, line in by_key.items():
            accepted = [it for it in line if it.status == 202]
            for later in line:
                for run in self.runs.get(later.attempt, ()):
                    assert run.began is not None, "only what has begun is looked at"
                    for before in accepted:
                        if before.answered_at < later.at and self.ended[before.attempt] > run.began:
                            self._say(
                                "ORDER",
                                f"{key}: {later.attempt} sent {later.at:.3f} began {run.began:.3f} by"
                                f" {run.life} before {before.name}, accepted {before.answered_at:.3f}, ended",
                            )
                            break

    def _twice(self) -> None:
        arrivals: dict[str, list[Run]] = defaultdict(list)
        for run in self.history.runs:
            arrivals[run.attempt].append(run)
        for attempt, runs in self.runs.items():
            for first in runs:
                whole = first.ended is not None and first.ended - first.arrived <= first.seconds - MARGIN_S
                if first.what != "done" or first.read is None or not whole:
                    continue
                for second in runs:
                    assert first.began is not None, "only what has begun is looked at"
                    assert second.began is not None, "only what has begun is looked at"
                    if second.began > first.began and self.history.calm(
                        first.began - CONTACT_S, second.arrived, planned_too=False
                    ):
                        self._say(
                            "TWICE",
                            f"{attempt} succeeded at {first.ended:.3f} by {first.life}"
                            f" and ran at {second.began:.3f} by {second.life}",
                        )

    def _standings(self) -> None:
        by_name = {it.name: it for it in self.history.sent.values() if it.name}
        for it in self.history.standings:
            sent = by_name[it.name]
            seals = {run.seal for run in self.runs.get(sent.attempt, ()) if run.what == "done"}
            if it.condition == "completed" and it.seal not in seals:
                self._say("MIXED", f"{it.name} is called completed with {it.seal!r} of no run that succeeded")
            if it.condition == "failed" and self.ended[sent.attempt] > it.told:
                self._say("MIXED", f"{it.name} is called failed at {it.told:.3f} and has not ended")
            if it.body is not None and it.body != sent.body:
                self._say("MIXED", f"{it.name} comes back with other bytes")

    def _lost(self) -> None:
        over = self.history.over_at
        said = defaultdict(list)
        for it in self.history.standings:
            if it.asked > over:
                said[it.name].append(it)
        for sent in self.history.sent.values():
            if sent.status != 202 or self.ended[sent.attempt] < 1e9:
                continue
            found = said[sent.name]
            if not any(it.body == sent.body for it in found) and not any(
                # It ended while it was asked for.
                it.condition in ("completed", "failed")
                for it in found
            ):
                answers = [(round(it.asked, 2), it.status, it.condition) for it in found]
                self._say(
                    "LOST", f"{sent.name} accepted {sent.answered_at:.3f} does not come back: {answers[-4:]}"
                )
            elif any(it.condition in ("completed", "failed") for it in found):
                self._say("LOST", f"{sent.name} is called ended, and has not ended")
            elif self.history.calm(over, self.history.clock.now) and not self._rated(sent):
                self._say("STUCK", f"{sent.name} accepted {sent.answered_at:.3f} is still open")

    def _rated(self, sent: Sent) -> bool:
        """Whether its service may take more time than there is, since it has a rate."""
        names = {it.services.get(self._prefix(sent)) for it in self.in_force}
        return any(name in self.history.rates for name in names)

    # -- configuration

    def _allowed(self, since: float, until: float) -> list[Version]:
        """The versions that a machine in touch may act by between these times."""
        bound = max((it.edition for it in self.in_force if it.acked and it.answered_at < since), default=0)
        return [it for it in self.in_force if it.edition >= bound and it.at <= until]

    def _config_answers(self) -> None:
        for sent in self.history.sent.values():
            prefix = self._prefix(sent)
            if sent.status not in (202, 404):
                continue
            if not self.history.calm(sent.at - CONTACT_S, sent.answered_at):
                continue
            allowed = self._allowed(sent.at - APPLY_S, sent.answered_at)
            there = {prefix in it.services for it in allowed}
            if allowed and (sent.status == 202) not in there:
                self._say(
                    "CONFIG",
                    f"{sent.attempt} for {prefix} was answered {sent.status} at {sent.answered_at:.3f}",
                )

    def _config_runs(self) -> None:
        for runs in self.runs.values():
            for run in runs:
                sent = self.history.sent.get(run.attempt)
                assert run.began is not None, "only what has begun is looked at"
                if sent is None or not self.history.calm(run.sent - CONTACT_S, run.arrived):
                    continue
                allowed = self._allowed(run.sent - APPLY_S, run.arrived)
                names = {it.services.get(self._prefix(sent)) for it in allowed}
                if allowed and run.service not in names:
                    self._say("CONFIG", f"{run.attempt} ran at {run.service} at {run.began:.3f}, not {names}")

    def _config_back(self) -> None:
        """Within one life nothing is handled by an older version than one whose effect was seen."""
        floors: dict[str, list[tuple[float, int]]] = defaultdict(list)
        events: list[tuple[float, float, str, set[int]]] = []
        for run in self.history.runs:
            sent = self.history.sent.get(run.attempt)
            if sent is not None:
                prefix = self._prefix(sent)
                those = {it.edition for it in self.in_force if it.services.get(prefix) == run.service}
                events.append((run.sent, run.arrived, run.life, those))
        for sent in self.history.sent.values():
            if sent.status == 404:
                those = {it.edition for it in self.in_force if self._prefix(sent) not in it.services}
                events.append((sent.at, sent.answered_at, sent.life, those))
        events.sort(key=lambda it: it[0])
        for sent_at, seen_at, life, those in events:
            if not those:
                continue
            bound = max((low for at, low in floors[life] if at + REVERT_S < sent_at), default=0)
            if max(those) < bound:
                self._say("CONFIG", f"{life} went back from {bound} to {max(those)} at {sent_at:.3f}")
            floors[life].append((seen_at, min(those)))

    def _config_in_force(self) -> None:
        versions = self.history.versions
        by_base: dict[int, set[int]] = defaultdict(set)
        for it in versions:
            if it.acked and not it.valid:
                self._say("CONFIG", f"an invalid edition {it.edition} was acknowledged")
            if it.acked:
                by_base[it.base].add(it.edition)
        for base, editions in by_base.items():
            if len(editions) > 1:
                self._say("CONFIG", f"editions {sorted(editions)} were acknowledged on top of {base}")
        newest = max((it.edition for it in versions if it.acked), default=0)
        back = self.history.read_back
        if back is None:
            self._say("CONFIG", "the configuration does not come back at the end")
            return
        if back["edition"] < newest:
            self._say("CONFIG", f"edition {back['edition']} is read back, {newest} was acknowledged")
        elif not any(self._same(it.config, back) for it in self.in_force):
            self._say(
                "CONFIG", f"edition {back['edition']} is read back otherwise than it was sent, or was refused"
            )

    @staticmethod
    def _same(sent: dict[str, object], back: dict[str, object]) -> bool:
        def plain(config: dict[str, object]) -> dict[str, object]:
            tables = {}
            for name in ("routeTable", "serviceTable"):
                items = config[name]
                assert isinstance(items, list), "a table is a list"
                tables[name] = sorted(items, key=lambda it: str(it["name"]))
            return {**config, **tables}

        return plain(sent) == plain(back)

    # -- endpoints

    def _drain(self) -> None:
        drained = self.history.drained
        for run in self.history.runs:
            acked = drained.get(run.endpoint)
            if acked is None or run.arrived <= acked + DRAIN_S:
                continue
            if self.history.calm(run.sent - CONTACT_S, run.arrived):
                self._say(
                    "DRAIN",
                    f"{run.endpoint}, acknowledged at {acked:.3f}, was sent {run.attempt} at {run.sent:.3f}",
                )

    def _ceiling(self) -> None:
        for name, rate in self.history.rates.items():
            times = sorted(it.arrived for it in self.history.runs if it.service == name)
            most = rate * WINDOW_S * BOUNDS["ceilingOver"] + 5
            first = 0
            for at, time in enumerate(times):
                while times[first] < time - WINDOW_S:
                    first += 1
                if at - first + 1 > most:
                    self._say("CEILING", f"{at - first + 1} arrivals at {name} within 5 s up to {time:.3f}")
                    break

    def _recover(self) -> None:
        """In calm, most of what is sent is accepted."""
        over, calm_from = self.history.over_at, max((it.until for it in self.history.troubles), default=0.0)
        late = [
            it
            for it in self.history.sent.values()
            if calm_from + CONTACT_S < it.at < over and it.at == it.first_at
        ]
        late = [it for it in late if not it.target.startswith("/x")]
        served = sum(1 for it in late if it.status == 202)
        if len(late) >= 20 and served < SERVED * len(late):
            self._say("RECOVER", f"{served} of {len(late)} are accepted after all troubles")
