"""Checks of the invariants, from what clients, endpoints and the operator of a run observed."""

from __future__ import annotations

from collections import Counter, defaultdict

from amberlug.cluster.simulation.history import History, Run, Sent, Version, Violation, What
from amberlug.cluster.simulation.machine import BOUNDS
from amberlug.cluster.simulation.quorum_contact import ContactTimeline

CONTACT_S = BOUNDS["contactMs"] / 1000
APPLY_S = BOUNDS["configApplyMs"] / 1000
STRETCH_S = BOUNDS["stretchMaxMs"] / 1000
ACK_S = BOUNDS["ackMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
WINDOW_S = BOUNDS["ceilingWindowS"]
REVERT_S = 0.25
MARGIN_S = 0.05  # a success must not be repeated if it came this long before the route's timeout
SERVED = 0.9  # minimum fraction of messages that are served while there are no faults
READY = 7 / 8  # minimum fraction of readiness polls, of edge nodes in contact, that succeed
OFFERED_S = 2.0  # from when a message is due until its first call to an endpoint
STEP_S = 0.25  # between the starts of the time windows that are checked
KNOWN_S = 3.0  # from the start of a run until storage nodes are on the roster


class InvariantChecker:
    """Checks the invariants of one history."""

    def __init__(self, history: History, max_attempts: int) -> None:
        self.history, self.max_attempts = history, max_attempts
        self.broken: list[Violation] = list(history.faults)
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self._arrivals: dict[str, list[Run]] = defaultdict(list)
        for run in history.runs:
            self._arrivals[run.attempt].append(run)
            if run.began is not None:
                self.runs[run.attempt].append(run)
        self.contact = ContactTimeline(history)
        acked = [it for it in history.versions if it.is_acknowledged]
        won = {it.base: it for it in acked}
        self.in_force = [
            it
            for it in history.versions
            if it.valid and it.status in (0, 200) and (it.is_acknowledged or it.base not in won)
        ]
        self.ended = {name: self._earliest_end(sent) for name, sent in history.sent.items()}

    def _earliest_end(self, sent: Sent) -> float:
        """The earliest time at which a message may have ended; 1e9 if it has not ended."""
        failures = []
        least = 1e9
        for run in self.runs.get(sent.attempt, ()):
            assert run.began is not None, "self.runs holds started runs only"
            if run.what in ("done", "dead") and run.ended is not None:
                least = min(least, run.ended)
            elif run.what == "failed" and run.ended is not None:
                failures.append(run.ended)
        if len(failures) >= self.max_attempts:
            least = min(least, sorted(failures)[self.max_attempts - 1])
        for version in self._allowed_versions(sent.at - APPLY_S, 1e9):
            prefix = self._prefix(sent)
            if prefix not in version.services:
                least = min(least, max(sent.at, version.at))
                continue
            expires_at = max(version.at, sent.first_at + version.retention_s[prefix])
            if expires_at <= self.history.clock.now:
                least = min(least, expires_at)
        return least

    @staticmethod
    def _prefix(sent: Sent) -> str:
        return sent.target[: sent.target.rindex("/") + 1]

    def _report(self, rule: str, what: str) -> None:
        self.broken.append(Violation(rule, what))

    def check(self) -> list[Violation]:
        """Run all checks; returns the violations."""
        self._check_rejected_messages()
        self._check_runs()
        self._check_order()
        self._check_repeated_successes()
        self._check_reported_outcomes()
        self._check_accepted_messages_known()
        self._check_final_states()
        self._check_config_of_answers()
        self._check_config_of_runs()
        self._check_config_never_reverts()
        self._check_config_after_start()
        self._check_config_in_force()
        self._check_config_rejections()
        self._check_config_reads()
        self._check_retirements()
        self._check_acknowledgement_times()
        self._check_edges_serve()
        self._check_delivery_times()
        self._check_drained_endpoints()
        self._check_rate_limits()
        self._check_recovery()
        return self.broken

    # -- messages

    def _check_rejected_messages(self) -> None:
        for sent in self.history.sent.values():
            if sent.status in (429, 503) and self.runs.get(sent.attempt):
                run = self.runs[sent.attempt][0]
                self._report(
                    "REFUSED", f"{sent.attempt} was answered {sent.status}, but ran at {run.began:.3f}"
                )

    def _check_runs(self) -> None:
        services: dict[str, set[str]] = defaultdict(set)
        for version in self.history.versions:
            for prefix, name in version.services.items():
                services[prefix].add(name)
        for runs in self.runs.values():
            for run in runs:
                sent = self.history.sent.get(run.attempt)
                if sent is None or sent.body != run.body:
                    self._report(
                        "UNASKED",
                        f"{run.attempt} ran at {run.endpoint}, but no client sent it with this body",
                    )
                elif run.service not in services[self._prefix(sent)]:
                    self._report("ROUTE", f"{run.attempt} for {sent.target} ran at {run.service}")
                elif run.began is not None and run.began < sent.due_at - 0.1:
                    self._report(
                        "EARLY",
                        f"{run.attempt} ran {sent.due_at - run.began:.3f} s before its delay had passed",
                    )

    def _check_order(self) -> None:
        by_key: dict[str, list[Sent]] = defaultdict(list)
        for sent in self.history.sent.values():
            if sent.key:
                by_key[sent.key].append(sent)
        for key, line in by_key.items():
            accepted = [it for it in line if it.status == 202]
            for later in line:
                for run in self.runs.get(later.attempt, ()):
                    assert run.began is not None, "self.runs holds started runs only"
                    for before in accepted:
                        if before.answered_at < later.at and self.ended[before.attempt] > run.began:
                            self._report(
                                "ORDER",
                                f"{key}: {later.attempt} sent {later.at:.3f} began {run.began:.3f} by"
                                f" {run.process} before {before.name}, accepted {before.answered_at:.3f},"
                                " ended",
                            )
                            break

    def _check_repeated_successes(self) -> None:
        for attempt, runs in self.runs.items():
            for first in runs:
                whole = first.ended is not None and first.ended - first.arrived <= first.seconds - MARGIN_S
                if first.what != "done" or first.read is None or not whole:
                    continue
                for second in runs:
                    assert first.began is not None, "self.runs holds started runs only"
                    assert second.began is not None, "self.runs holds started runs only"
                    if second.began > first.began and self.history.is_undisturbed(
                        first.began - CONTACT_S, second.arrived, planned_too=False
                    ):
                        self._report(
                            "TWICE",
                            f"{attempt} succeeded at {first.ended:.3f} by {first.process}"
                            f" and ran at {second.began:.3f} by {second.process}",
                        )

    def _check_reported_outcomes(self) -> None:
        by_name = {it.name: it for it in self.history.sent.values() if it.name}
        for it in self.history.status_replies:
            sent = by_name[it.name]
            seals = {run.seal for run in self.runs.get(sent.attempt, ()) if run.what == "done"}
            if it.condition == "completed" and it.seal not in seals:
                self._report(
                    "MIXED",
                    f"{it.name} is reported as completed with {it.seal!r}, the seal of no successful run",
                )
            if it.condition == "failed" and self.ended[sent.attempt] > it.told:
                self._report("MIXED", f"{it.name} is reported as failed at {it.told:.3f}, but has not ended")
            if it.body is not None and it.body != sent.body:
                self._report("MIXED", f"{it.name} is returned with a different body")

    def _check_accepted_messages_known(self) -> None:
        """An accepted message is never reported as unknown, nor as pending once it was reported as ended.

        This holds for all edge nodes, in contact or not: a node that can't be sure answers 503.
        """
        by_name = {it.name: it for it in self.history.sent.values() if it.name}
        told_ended: dict[str, float] = {}  # by message, when a client was first told so
        for it in sorted(self.history.status_replies, key=lambda standing: standing.told):
            if it.says_ended:
                told_ended.setdefault(it.name, it.told)
        for it in self.history.status_replies:
            sent = by_name[it.name]
            if it.status in (404, 410) and it.asked > sent.answered_at and not it.is_of_body:
                self._report(
                    "LOST",
                    f"{it.name}, accepted {sent.answered_at:.3f}, is reported as unknown at {it.told:.3f}",
                )
            elif it.status in (404, 410) and it.is_of_body and self.ended[sent.attempt] > it.told:
                self._report("LOST", f"{it.name} is pending, but has no body at {it.told:.3f}")
            elif it.condition == "pending" and told_ended.get(it.name, it.told) < it.asked:
                ended_at = told_ended[it.name]
                self._report(
                    "LOST", f"{it.name}, reported as ended at {ended_at:.3f}, is pending at {it.told:.3f}"
                )

    def _check_final_states(self) -> None:
        over = self.history.traffic_ended_at
        said = defaultdict(list)
        for it in self.history.status_replies:
            if it.asked > over:
                said[it.name].append(it)
        for sent in self.history.sent.values():
            if sent.status != 202 or self.ended[sent.attempt] < 1e9:
                continue
            found = said[sent.name]
            if not any(it.body == sent.body for it in found) and not any(
                # It ended between the two queries.
                it.condition in ("completed", "failed")
                for it in found
            ):
                answers = [(round(it.asked, 2), it.status, it.condition) for it in found]
                self._report(
                    "LOST", f"{sent.name} accepted {sent.answered_at:.3f} is not returned: {answers[-4:]}"
                )
            elif any(it.condition in ("completed", "failed") for it in found):
                self._report("LOST", f"{sent.name} is reported as ended, but has not ended")
            elif self.history.is_undisturbed(over, self.history.clock.now) and not self._is_rate_limited(
                sent
            ):
                self._report("STUCK", f"{sent.name} accepted {sent.answered_at:.3f} is still pending")

    def _is_rate_limited(self, sent: Sent) -> bool:
        """Whether its service may be rate-limited, so that the message may not be delivered in time."""
        names = {it.services.get(self._prefix(sent)) for it in self.in_force}
        return any(name in self.history.rates for name in names)

    # -- configuration

    def _allowed_versions(self, since: float, until: float) -> list[Version]:
        """The versions that a machine in contact may use between these times."""
        bound = max(
            (it.edition for it in self.in_force if it.is_acknowledged and it.answered_at < since), default=0
        )
        return [it for it in self.in_force if it.edition >= bound and it.at <= until]

    def _slack(self, process: str, since: float, until: float) -> float | None:
        """Seconds within which a process must use an acknowledged version; None if no bound applies."""
        machine = process.partition("#")[0]
        if self.history.is_undisturbed(since - CONTACT_S, until) or self.contact.in_contact(
            machine, since, until
        ):
            return APPLY_S
        slack = APPLY_S + STRETCH_S
        if self.contact.reaches(machine, since, until) and self.contact.had_majority(since - slack, until):
            return slack
        return None

    def _check_config_of_answers(self) -> None:
        for sent in self.history.sent.values():
            prefix = self._prefix(sent)
            if sent.status not in (202, 404):
                continue
            slack = self._slack(sent.process, sent.at, sent.answered_at)
            if slack is None:
                continue
            allowed = self._allowed_versions(sent.at - slack, sent.answered_at)
            there = {prefix in it.services for it in allowed}
            if allowed and (sent.status == 202) not in there:
                self._report(
                    "CONFIG",
                    f"{sent.attempt} for {prefix} was answered {sent.status} at {sent.answered_at:.3f}"
                    f" by {sent.process}",
                )

    def _check_config_of_runs(self) -> None:
        for runs in self.runs.values():
            for run in runs:
                sent = self.history.sent.get(run.attempt)
                assert run.began is not None, "self.runs holds started runs only"
                slack = self._slack(run.process, run.sent, run.arrived)
                if sent is None or slack is None:
                    continue
                allowed = self._allowed_versions(run.sent - slack, run.arrived)
                names = {it.services.get(self._prefix(sent)) for it in allowed}
                if allowed and run.service not in names:
                    self._report(
                        "CONFIG",
                        f"{run.attempt} ran at {run.service} at {run.began:.3f} by {run.process},"
                        f" not {names}",
                    )

    def _check_config_never_reverts(self) -> None:
        """A process never goes back to a version older than one whose effect was observed."""
        floors: dict[str, list[tuple[float, int]]] = defaultdict(list)
        events: list[tuple[float, float, str, set[int]]] = []
        for run in self.history.runs:
            sent = self.history.sent.get(run.attempt)
            if sent is not None:
                prefix = self._prefix(sent)
                those = {it.edition for it in self.in_force if it.services.get(prefix) == run.service}
                events.append((run.sent, run.arrived, run.process, those))
        for sent in self.history.sent.values():
            if sent.status == 404:
                those = {it.edition for it in self.in_force if self._prefix(sent) not in it.services}
                events.append((sent.at, sent.answered_at, sent.process, those))
        events.sort(key=lambda it: it[0])
        for sent_at, seen_at, process, those in events:
            if not those:
                continue
            bound = max((low for at, low in floors[process] if at + REVERT_S < sent_at), default=0)
            if max(those) < bound:
                self._report("CONFIG", f"{process} went back from {bound} to {max(those)} at {sent_at:.3f}")
            floors[process].append((seen_at, min(those)))

    def _check_config_after_start(self) -> None:
        """A process never serves a version older than one that was acknowledged before it started."""
        lives: Counter[str] = Counter()
        begun: dict[str, float] = {}
        for event in self.history.events:
            if event.what is What.START:
                lives[event.machine] += 1
                begun[f"{event.machine}#{lives[event.machine]}"] = event.at
        for sent in self.history.sent.values():
            if sent.status not in (202, 404) or sent.process not in begun:
                continue
            allowed = self._allowed_versions(begun[sent.process], sent.answered_at)
            there = {self._prefix(sent) in it.services for it in allowed}
            if allowed and (sent.status == 202) not in there:
                self._report(
                    "CONFIG",
                    f"{sent.attempt} was answered {sent.status} at {sent.answered_at:.3f} by {sent.process}"
                    f" with a version older than the process, started at {begun[sent.process]:.3f}",
                )

    def _check_config_in_force(self) -> None:
        versions = self.history.versions
        by_base: dict[int, list[int]] = defaultdict(list)
        for it in versions:
            if it.is_acknowledged and not it.valid:
                self._report("CONFIG", f"an invalid edition {it.edition} was acknowledged")
            if it.is_acknowledged:
                by_base[it.base].append(it.edition)
        for base, editions in by_base.items():
            if len(editions) > 1:
                self._report("CONFIG", f"editions {sorted(editions)} were acknowledged on top of {base}")
        newest = max((it.edition for it in versions if it.is_acknowledged), default=0)
        back = self.history.read_back
        if back is None:
            self._report("CONFIG", "the configuration can't be read at the end")
            return
        if back["edition"] < newest:
            self._report("CONFIG", f"edition {back['edition']} is read back, but {newest} was acknowledged")
        elif not any(self._is_same_config(it.config, back) for it in self.in_force):
            self._report(
                "CONFIG",
                f"edition {back['edition']} is read back with different content, or had been rejected",
            )

    def _check_config_rejections(self) -> None:
        """A valid change is rejected only if a concurrent one came first, and never after it was accepted."""
        for it in self.history.versions:
            for at, status, core in it.refusals:
                if at > it.taken_at:
                    self._report(
                        "CONFIG",
                        f"edition {it.edition}, accepted at {it.taken_at:.3f}, is rejected with {status}"
                        f" by {core} at {at:.3f}",
                    )
                elif it.valid and not any(
                    other.base >= it.base and other.at < at for other in self.in_force if other is not it
                ):
                    self._report(
                        "CONFIG",
                        f"edition {it.edition} on top of {it.base} is rejected with {status} by {core}"
                        f" at {at:.3f}, but no other change was in progress",
                    )

    def _check_config_reads(self) -> None:
        """A read returns a version in force, no older than any acknowledged or read before."""
        seen = [(it.answered_at, it.edition) for it in self.in_force if it.is_acknowledged]
        reads = [it for it in self.history.calls if it.what == "read" and it.status in (200, 404)]
        seen += [(it.answered_at, it.said["edition"]) for it in reads if it.status == 200 and it.said]
        for call in reads:
            found = call.said["edition"] if call.status == 200 and call.said is not None else 0
            newest = max((edition for at, edition in seen if at < call.at), default=0)
            if found < newest:
                self._report(
                    "CONFIG", f"{found} is read at {call.core} at {call.at:.3f}, but {newest} was known"
                )
            elif found and not any(self._is_same_config(it.config, call.said or {}) for it in self.in_force):
                self._report(
                    "CONFIG", f"{found} is read at {call.core} at {call.at:.3f}, but is not in force"
                )

    def _check_retirements(self) -> None:
        """Control-plane nodes know each storage node and its retirement; only retired nodes are emptied."""
        begun: dict[str, float] = {}
        for call in sorted(self.history.calls, key=lambda it: it.answered_at):
            if call.what == "retire" and call.status == 200:
                begun.setdefault(call.name, call.answered_at)
        for call in self.history.calls:
            if call.status == 404 and (
                (call.what == "retire" and call.at > KNOWN_S)
                or (call.what == "retire-read" and begun.get(call.name, 1e9) < call.at)
            ):
                self._report("RETIRE", f"{call.core} does not know {call.name} at {call.at:.3f}")
            if call.status == 409 and self.contact.is_stable(call.at, call.answered_at):
                self._report("RETIRE", f"{call.core} rejects the retirement of {call.name} at {call.at:.3f}")

        for at, name in self.history.emptied:
            ordered = any(it.what == "retire" and it.name == name and it.at < at for it in self.history.calls)
            if not ordered and self.contact.in_contact(name, at, at):
                self._report("RETIRE", f"{name}, in contact and not retired, discards its disk at {at:.3f}")

    def _check_acknowledgement_times(self) -> None:
        """A command that may go to any node is acknowledged in time while the control plane is stable."""
        over = self.history.clock.now
        for it in self.history.versions:
            others = [other for other in self.in_force if other is not it and other.base >= it.base]
            until = min(it.until, over)
            if not it.valid or not it.may_use_any_node or others or not it.base:
                continue
            at = it.at
            while at + ACK_S < until:
                if self.contact.is_stable(at, at + ACK_S):
                    self._report(
                        "ACKS", f"edition {it.edition}, sent {it.at:.3f}, has no response by {until:.3f}"
                    )
                    break
                at += STEP_S
        late, all_ = 0, 0
        for name, at in self.history.leaving.items():
            if at + ACK_S < over and self.contact.is_stable(at, at + ACK_S):
                all_ += 1
                late += self.history.drained.get(name, 1e9) > at + ACK_S
        if late >= 3 and 5 * late > all_:
            self._report("ACKS", f"{late} of {all_} draining endpoints are not acknowledged")

    def _check_edges_serve(self) -> None:
        """Edge nodes in contact are ready, and accept messages."""
        over = self.history.traffic_ended_at
        polls = [
            (at, name, ready)
            for at, name, ready in self.history.polls
            if 2 * CONTACT_S < at < over and self.contact.in_contact(name, at, at)
        ]
        idle = [f"{name} at {at:.1f}" for at, name, ready in polls if not ready]
        if len(idle) >= 3 and len(idle) > (1 - READY) * len(polls):
            self._report(
                "DUTY",
                f"{len(idle)} of {len(polls)} polls of edge nodes in contact find them not ready: {idle[:3]}",
            )
        sent = [
            it
            for it in self.history.sent.values()
            if it.status in (202, 404, 429, 503)
            and not it.target.startswith("/x")
            and 2 * CONTACT_S < it.at < over
            and self.contact.in_contact(it.process.partition("#")[0], it.at, it.answered_at)
        ]
        served = sum(1 for it in sent if it.status == 202)
        if len(sent) >= 20 and served < SERVED * len(sent):
            self._report("RECOVER", f"{served} of {len(sent)} are accepted by edge nodes in contact")

    def _check_delivery_times(self) -> None:
        """While all edge nodes are in contact, a due message reaches an endpoint in time unless it has ended.

        A message may end without a call: RULES.md, "Ended", by its retention time or its route.
        """
        edges = [it.name for it in self.history.machine_infos.values() if it.kind == "edge"]
        late: list[str] = []
        all_ = 0
        for sent in self.history.sent.values():
            due = max(sent.due_at, sent.answered_at)
            until = due + OFFERED_S
            if (
                sent.status != 202
                or not sent.target.startswith("/plain/")
                or until > self.history.traffic_ended_at
                or self.ended[sent.attempt] <= until
            ):
                continue
            if not all(self.contact.in_contact(name, sent.at, until) for name in edges):
                continue
            all_ += 1
            if not any(it.arrived <= until for it in self._arrivals.get(sent.attempt, ())):
                late.append(f"{sent.attempt} due {due:.3f}")
        if len(late) >= 5 and len(late) > (1 - SERVED) * all_:
            self._report("RECOVER", f"{len(late)} of {all_} messages reach no endpoint in time: {late[:3]}")

    @staticmethod
    def _is_same_config(sent: dict[str, object], back: dict[str, object]) -> bool:
        def plain(config: dict[str, object]) -> dict[str, object]:
            """Copy a configuration with sorted tables; raises AssertionError if one is not a list."""
            tables = {}
            for name in ("routeTable", "serviceTable"):
                items = config[name]
                assert isinstance(items, list), "a table is a list"
                tables[name] = sorted(items, key=lambda it: str(it["name"]))
            return {**config, **tables}

        return plain(sent) == plain(back)

    # -- endpoints

    def _check_drained_endpoints(self) -> None:
        drained = self.history.drained
        for run in self.history.runs:
            acked = drained.get(run.endpoint)
            if acked is None or run.arrived <= acked + DRAIN_S:
                continue
            by = self.history.drained_by.get(run.endpoint, "")
            sender = run.process.partition("#")[0]
            in_contact = self.contact.in_contact(by, acked, acked) and self.contact.in_contact(
                sender, run.sent, run.arrived
            )
            if in_contact or self.history.is_undisturbed(run.sent - CONTACT_S, run.arrived):
                self._report(
                    "DRAIN",
                    f"{run.endpoint}, acknowledged at {acked:.3f}, was sent {run.attempt} at {run.sent:.3f}",
                )

    def _check_rate_limits(self) -> None:
        for name, rate in self.history.rates.items():
            times = sorted(it.arrived for it in self.history.runs if it.service == name)
            most = rate * WINDOW_S * BOUNDS["ceilingOver"] + 5
            first = 0
            for at, time in enumerate(times):
                while times[first] < time - WINDOW_S:
                    first += 1
                if at - first + 1 > most:
                    self._report(
                        "CEILING", f"{at - first + 1} arrivals at {name} within 5 s up to {time:.3f}"
                    )
                    break

    def _check_recovery(self) -> None:
        """After all faults, most messages are accepted."""
        over, calm_from = (
            self.history.traffic_ended_at,
            max((it.until for it in self.history.disturbances), default=0.0),
        )
        late = [
            it
            for it in self.history.sent.values()
            if calm_from + CONTACT_S < it.at < over and it.at == it.first_at
        ]
        late = [it for it in late if not it.target.startswith("/x")]
        served = sum(1 for it in late if it.status == 202)
        if len(late) >= 20 and served < SERVED * len(late):
            self._report("RECOVER", f"{served} of {len(late)} are accepted after all faults")
