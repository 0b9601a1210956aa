"""Replication as a component of the daemon: connects links, storage and state machine by the fleet file."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from amberlug.copies.journal import ReplicatedJournal
from amberlug.copies.store import CopyStore, DamagedError
from amberlug.core.journal import FolderDisk, Journal
from amberlug.core.log import log
from amberlug.core.node import Node
from amberlug.core.ports import Clock
from amberlug.peers import fleet as fleets
from amberlug.peers import identity
from amberlug.peers.links import Links
from amberlug.policy.interface import Settings

FOLDER = "copies"  # within the state directory
TICK_S = 0.05  # seconds between timer calls; a slow holder is bypassed after some of them
MAINTENANCE_S = 1.0
LEAVE_S = 0.05  # seconds for the shutdown announcement to be sent


class ReplicationService:
    """Replication for one node. Raises what `fleets.load` raises, and `OSError` for the state directory."""

    def __init__(self, path: Path, state: Path, settings: Settings, clock: Clock) -> None:
        self._fleet = fleets.load(path)
        unknown = sorted(set(self._fleet.classes) - set(settings.classes))
        if unknown:
            raise ValueError(f"{path}: classes.{unknown[0]}: no such class")
        self._state, self._settings, self._clock = state, settings, clock
        self._tasks: list[asyncio.Task[None]] = []
        self._flush_scheduled = False

    def journal(self, inner: Journal) -> ReplicatedJournal:
        """Wrap the node's journal."""
        self._inner = inner
        self._open()
        return self._journal

    def _open(self) -> None:
        folder = self._state / FOLDER
        fresh = not (folder / identity.FILE).exists()
        folder.mkdir(exist_ok=True)
        try:
            store = self._store(folder)
        except DamagedError as error:
            # Guards against a holder that has lost data other relays count on: it gets a new incarnation.
            log(f"copies: {error}: starting with an empty directory and a new incarnation")
            self._clear_folder(folder)
            store, fresh = self._store(folder), True
        self._journal = ReplicatedJournal(
            self._inner,
            self._fleet,
            identity.incarnation(folder),
            fresh,
            store,
            folder,
            self._settings,
            self._clock,
        )
        self._disk_store = store

    def _store(self, folder: Path) -> CopyStore:
        room = int(self._fleet.room_mb * 1e6)
        return CopyStore(FolderDisk(folder), room, len(self._fleet.members) - 1)

    def _clear_folder(self, folder: Path) -> None:
        """Delete everything held; the next incarnation is a new one."""
        shutil.rmtree(folder)
        folder.mkdir()

    async def start(self, node: Node) -> None:
        """Start the links and timers; `OSError` if the listen address can't be used."""
        self._node = node
        self._journal.adopt, self._journal.relinquish = node.adopt, node.relinquish
        self._journal.restart_required, self._journal.outgoing_ready = self._restart, self._schedule_flush
        machine = self._journal.machine
        self._links = Links(
            self._fleet, machine.incarnation, self._journal.watermark, self._receive, self._link_changed
        )
        await self._links.start()
        self._tasks = [asyncio.get_running_loop().create_task(self._run())]

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        maintenance_at = loop.time() + MAINTENANCE_S
        while True:
            await asyncio.sleep(TICK_S)
            self._links.check_links()
            self._journal.tick()
            if loop.time() >= maintenance_at:
                maintenance_at = loop.time() + MAINTENANCE_S
                self._journal.run_maintenance()
            self._send()

    def _schedule_flush(self) -> None:
        """Schedule sending at the end of this event loop iteration."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        now_us = self._clock.now_us()
        for owner in list(self._journal.machine.owners.values()):
            owner.flush(now_us)
        self._send()

    def _send(self) -> None:
        """Hand queued messages to the links; messages to this relay itself are delivered at once."""
        machine = self._journal.machine
        while machine.out:
            out, machine.out = machine.out, []
            for name, message in out:
                if name == machine.name:
                    machine.receive(
                        name, machine.incarnation, self._journal.watermark(), message, self._clock.now_us()
                    )
                else:
                    self._links.send(name, message)

    def _receive(self, name: str, incarnation: str, watermark: Sequence[int], message: Any) -> None:
        self._journal.machine.receive(name, incarnation, watermark, message, self._clock.now_us())
        self._schedule_flush()

    def _link_changed(self, name: str, incarnation: str | None) -> None:
        machine, now_us = self._journal.machine, self._clock.now_us()
        if incarnation is None:
            machine.disconnected(name, now_us)
        else:
            machine.connected(name, incarnation, now_us)
        self._schedule_flush()

    def _restart(self) -> None:
        """Restart as a new incarnation: other relays have seen a newer state of this directory."""
        log("copies: restarting under a new incarnation; other relays take over what this one held")
        self._disk_store.close()
        self._clear_folder(self._state / FOLDER)
        self._tasks.append(asyncio.get_running_loop().create_task(self._restart_as_new()))

    async def _restart_as_new(self) -> None:
        self._tasks[0].cancel()
        await self._links.stop()
        folder = self._state / FOLDER
        self._disk_store = self._store(folder)
        self._journal.restart_as(identity.incarnation(folder), self._disk_store)
        await self.start(self._node)

    async def stop(self) -> None:
        """Announce the shutdown, so that other relays take over at once, and release all resources."""
        self._journal.machine.leave()
        self._send()
        await asyncio.sleep(LEAVE_S)
        for task in self._tasks:
            task.cancel()
        await self._links.stop()
        with contextlib.suppress(OSError):
            self._journal.run_maintenance()
        self._disk_store.close()
