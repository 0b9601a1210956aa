"""A fleet of relay processes with platform, partner and clients, and a proxy on each link between relays.

Methods inject faults: links are cut, delayed, corrupted or reset, processes are killed or stopped, state
folders are deleted or restored.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from amberlug.http.link import ConnectionLostError, dial
from amberlug.standin.deployment import SECOND
from amberlug.standin.deployment import settings as usual_settings
from amberlug.standin.promises import GuaranteeChecker
from amberlug.standin.proxy import Proxy
from amberlug.standin.wire import OK, PATIENCE, Platform, Seen, StandIn

DEADLINE = 12.0  # seconds: longer than it takes to detect a lost relay and to take over its messages
RESPONSE_TIMEOUT = 0.4  # seconds for which a client waits for its response
UNSAFE = "payment"


class Relay:
    """One relay's process and folder; the process can be stopped and restarted."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.name, self._fleet = f"n{number}", fleet
        self.folder = fleet.folder / self.name
        self.port, self.link_port = _free_port(), _free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self._reading: asyncio.Task[None] | None = None
        self._said = asyncio.Condition()

    @property
    def state(self) -> Path:
        """The folder with the persistent state."""
        return self.folder / "state"

    @property
    def up(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process on the folder's present state, and wait until it is ready."""
        self.state.mkdir(parents=True, exist_ok=True)
        config, node_file = self.folder / "config.json", self.folder / "fleet.toml"
        config.write_text(json.dumps(self._fleet.config(self)), encoding="utf-8")
        node_file.write_text(self._fleet.fleet_file(self), encoding="utf-8")
        variables = os.environ | {
            "ROUTER_CONFIG": str(config),
            "ROUTER_STATE": str(self.state),
            "AMBERLUG_FLEET": str(node_file),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "amberlug", "serve", env=variables, stderr=asyncio.subprocess.PIPE
        )
        self._reading = asyncio.ensure_future(self._read(self.process))
        await self.said("ready on", len(self.log))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log.append(line.decode(errors="replace").rstrip())
            async with self._said:
                self._said.notify_all()
        await process.wait()
        async with self._said:
            self._said.notify_all()

    async def said(self, text: str, since: int = 0) -> None:
        """Wait for a log line that contains `text`; raises `OSError` if the process exits before."""

        def heard() -> bool:
            return any(text in line for line in self.log[since:]) or not self.up

        async with asyncio.timeout(PATIENCE), self._said:
            await self._said.wait_for(heard)
        if not any(text in line for line in self.log[since:]):
            raise OSError(f"{self.name} exited before it logged {text!r}: {self.log[-5:]}")

    async def kill(self, empty: bool = False) -> None:
        """Kill the process with SIGKILL; `empty` also deletes its state."""
        if self.up and self.process is not None:
            self.process.kill()
            await self.process.wait()
        if empty:
            shutil.rmtree(self.state)

    async def close(self) -> int:
        """Stop the process with SIGTERM; return its exit code."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            return await self.process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    def copy_state(self) -> Path:
        """Copy the state folder."""
        kept = self.folder / "kept"
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(self.state, kept)
        return kept

    def restore_state(self, kept: Path) -> None:
        """Replace the state folder with a copy."""
        shutil.rmtree(self.state)
        shutil.copytree(kept, self.state)


class Fleet:
    """The whole fleet, as an async context manager. `options` are written to each relay's fleet file."""

    def __init__(self, folder: Path, relays: int, seed: int = 1, **options: Any) -> None:
        self.folder, self._seed = folder, seed
        self.options = {"copies": 1, "suspect_s": 0.8, "stagger_s": 0.3, "replace_s": 1.5, **options}
        self.promises, self.platform = GuaranteeChecker(), _Platform(self)
        self.partner = StandIn(None)
        self.partner.on_request = self.called
        self.holding = False  # whether the partner leaves calls unanswered
        self.waiting: list[Seen] = []
        self.relays = [Relay(self, number) for number in range(relays)]
        self.links: dict[tuple[str, str], Proxy] = {}
        self._names = 0

    def clock(self) -> float:
        """Read the clock shared by all observers."""
        return asyncio.get_running_loop().time()

    async def __aenter__(self) -> Fleet:
        await self.platform.start()
        await self.partner.start()
        for one in self.relays:
            for other in self.relays:
                if one is not other:
                    proxy = Proxy(other.link_port, self._seed * 100 + len(self.links))
                    self.links[one.name, other.name] = await proxy.start()
        await asyncio.gather(*(it.start() for it in self.relays))
        await self.linked()
        await self.ended()  # the probe messages of `linked` must be over before any fault is injected
        return self

    async def __aexit__(self, *error: object) -> None:
        for relay in self.relays:
            if relay.up:
                relay.resume()
                await relay.kill()
        for proxy in self.links.values():
            await proxy.stop()
        for peer in (self.platform, self.partner):
            await peer.stop()

    def config(self, relay: Relay) -> dict[str, Any]:
        """Return a relay's configuration as the platform would provide it."""
        told = usual_settings()
        for kind in told["Categories"]:
            kind["DeadlineUs"] = int(2 * DEADLINE * SECOND)
        told["Balancers"] = len(self.relays)
        told["Ordinal"] = int(relay.name[1:])
        return {
            "name": relay.name,
            "seed": f"{self._seed:x}",
            "listen": f"127.0.0.1:{relay.port}",
            "discovery": f"127.0.0.1:{self.platform.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 30},
            "known": {"revision": 1, "complete": True, "members": [self.endpoint()]},
            "settings": told,
        }

    def endpoint(self) -> dict[str, Any]:
        """Return the partner as discovery lists it."""
        return {
            "id": "partner",
            "host_port": f"127.0.0.1:{self.partner.port}",
            "locality": "a",
            "flavor": "plain",
            "cell": 1,
            "phase": "in_service",
            "size": 0.0,
            "up_since_ms": 0,
        }

    def fleet_file(self, relay: Relay) -> str:
        """Return a relay's fleet file; each link to another relay goes through a proxy."""
        lines = [f'name = "{relay.name}"', f'listen = "127.0.0.1:{relay.link_port}"']
        lines += [f"{name} = {json.dumps(value)}" for name, value in self.options.items()]
        named = {it.name: it for it in self.relays}
        for number, (name, it) in enumerate(named.items()):
            port = relay.link_port if name == relay.name else self.links[relay.name, name].port
            lines += [
                "[[member]]",
                f'name = "{it.name}"',
                f'address = "127.0.0.1:{port}"',
                f'zone = "{"ab"[number % 2]}"',
            ]
        return "\n".join(lines) + "\n"

    # Clients.

    async def hand_in(
        self, relay: Relay, kind: str = UNSAFE, name: str = "", wait: float = RESPONSE_TIMEOUT
    ) -> int:
        """Submit a message; return the response status, 0 if none arrived in time."""
        self._names += 1
        name = name or f"m{self._names}"
        self.promises.handed_in(name, kind == UNSAFE, self.clock() + DEADLINE)
        headers = [
            ("Req-Id", name),
            ("Req-Kind", kind),
            ("Req-Deadline-Ms", str(int(DEADLINE * 1000))),
            ("Envelope", "dest=1"),
        ]
        if kind == "entry":
            headers.append(("Idempotency-Key", f"key-{name}"))
        link = await dial("127.0.0.1", relay.port, wait)
        if link is None:
            return 0
        try:
            async with asyncio.timeout(wait):
                reply = await link.request("POST", f"/{kind}", headers, b"x" * 100)
        except (TimeoutError, ConnectionLostError):
            return 0
        finally:
            link.close()
        self.promises.answered(name, relay.name, reply.status in (200, 202), self.clock())
        return reply.status

    async def load(self, per_second: float, seconds: float, *relays: Relay) -> None:
        """Submit messages of all classes at a constant rate, round-robin at the given relays or at all."""
        loop, out = asyncio.get_running_loop(), set()
        kinds = itertools.cycle((UNSAFE, "result", "entry"))
        to, began = itertools.cycle(relays or self.relays), loop.time()
        for number in range(int(per_second * seconds)):
            await asyncio.sleep(began + number / per_second - loop.time())
            out.add(asyncio.ensure_future(self.hand_in(next(to), next(kinds))))
        await asyncio.wait(out)

    async def linked(self) -> None:
        """Wait until each relay accepts messages."""
        async with asyncio.timeout(PATIENCE):
            for relay in self.relays:
                while relay.up and await self.hand_in(relay, "result") != 202:
                    await asyncio.sleep(0.05)

    # Partners.

    def called(self, seen: Seen) -> bool:
        """Answer a call, or leave it open while `holding`."""
        if self.holding:
            self.waiting.append(seen)
            self.promises.called(seen.name, True, False, self.clock())
            return True
        delivered = not seen.writer.transport.is_closing()
        self.promises.called(seen.name, True, delivered, self.clock())
        seen.answer(OK)
        return True

    def release(self) -> None:
        """Answer the calls left open, and stop holding."""
        self.holding = False
        for seen in self.waiting:
            if not seen.writer.transport.is_closing():
                seen.answer(OK)
                record = self.promises.records[seen.name]
                record.ends.append((self.clock(), "delivered"))
        self.waiting.clear()

    # Networks.

    def between(self, some: Iterable[Relay], others: Iterable[Relay], both: bool = True) -> list[Proxy]:
        """Return the links from some relays to others, and back if `both`."""
        names, far = [it.name for it in some], [it.name for it in others]
        pairs = [(one, other) for one in names for other in far if one != other]
        if both:
            pairs += [(other, one) for one, other in pairs]
        return [self.links[pair] for pair in pairs]

    def sever(self, some: Iterable[Relay], others: Iterable[Relay], both: bool = True) -> None:
        """Cut the links between some relays and others."""
        for proxy in self.between(some, others, both):
            proxy.sever()

    def heal(self) -> None:
        """End all link faults."""
        for proxy in self.links.values():
            proxy.heal()

    async def ended(self, seconds: float = DEADLINE + 4) -> list[str]:
        """Wait until all accepted messages have an outcome, at most `seconds`; return broken guarantees."""
        until = self.clock() + seconds
        while self.promises.open and self.clock() < until:
            await asyncio.sleep(0.05)
        return self.promises.broken()


class _Platform(Platform):
    """The platform of all relays; passes its notices on to `GuaranteeChecker`."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet
        self.on_request = self._requested

    def _requested(self, seen: Seen) -> bool:
        if seen.path == "/v1/notices":
            for line in seen.body.splitlines():
                told = json.loads(line)
                self._fleet.promises.told(told["message"], told["outcome"], self._fleet.clock())
        return self._watch(seen)


_ports = itertools.count(10_000 + os.getpid() * 37 % 9_000)
_taken: list[socket.socket] = []


def _free_port() -> int:
    """Find a port below the ephemeral range, so that no connection takes it while its relay is down.

    The UDP port of the same number stays bound, so that no other fleet picks it either.
    """
    for port in _ports:
        kept = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as sock:
            try:
                kept.bind(("127.0.0.1", port))
                sock.bind(("127.0.0.1", port))
            except OSError:
                kept.close()
                continue
        _taken.append(kept)
        return port
    raise OSError("no free port")
