"""`python -m amberlug.cluster.local_deployment.faulty_process`: a node with network faults, read from a file.

It runs the unmodified program on real sockets; only the transport between nodes checks the faults of the file
before it sends and after it receives. So cutting links requires no privileges on the machine.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from collections.abc import Callable
from pathlib import Path

from result import Err

from amberlug.cluster.interfaces import RawMessage, ReplyCallback, RequestFailure, Respond
from amberlug.cluster.local_deployment.deployment import FAULTS_FILE_VARIABLE
from amberlug.cluster.process import main
from amberlug.cluster.rpc.transport import MessageHandler, PeerTransport
from amberlug.cluster.settings import DEFAULT_SETTINGS_FILE, SETTINGS_FILE_VARIABLE
from amberlug.cluster.values import value

CHECK_INTERVAL_S = 0.03  # between reads of the file


@value
class NetworkFaults:
    """The contents of the faults file.

    :param cut: pairs of IP addresses between which no message passes, in either direction.
    :param lost_replies: the fraction of replies that are lost.
    """

    cut: frozenset[frozenset[str]] = frozenset()
    lost_replies: float = 0.0

    def write(self, path: Path) -> None:
        """Write the file atomically."""
        body = {"cut": [sorted(pair) for pair in self.cut], "lost_replies": self.lost_replies}
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(body))
        temporary.replace(path)

    @classmethod
    def read(cls, path: Path) -> NetworkFaults:
        """Read the file; no faults if it does not exist."""
        try:
            body = json.loads(path.read_text())
        except FileNotFoundError:
            return cls()
        return cls(frozenset(frozenset(pair) for pair in body["cut"]), body["lost_replies"])


class FaultyTransport(PeerTransport):
    """A node's transport that applies the faults of the file named by `FAULTS_FILE_VARIABLE`."""

    def __init__(self, handle_message: MessageHandler, on_disconnect: Callable[[str], None]) -> None:
        super().__init__(handle_message, on_disconnect)
        self._path = Path(os.environ[FAULTS_FILE_VARIABLE])
        self._rng = random.Random()
        self._faults = NetworkFaults()
        self._check_file()

    def _check_file(self) -> None:
        asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check_file)
        self._faults = NetworkFaults.read(self._path)

    def _is_cut(self, peer: str) -> bool:
        return frozenset((_ip(self.address), _ip(peer))) in self._faults.cut

    def send(self, address: str, message: RawMessage) -> None:
        """Send a notification, unless the link is cut."""
        if not self._is_cut(address):
            super().send(address, message)

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request; it times out if the link is cut or its reply is lost."""
        is_lost = self._rng.random() < self._faults.lost_replies
        if not self._is_cut(address) and not is_lost:
            super().request(address, message, timeout_s, on_reply)
            return
        asyncio.get_running_loop().call_later(timeout_s, on_reply, Err(RequestFailure.TIMED_OUT))
        if is_lost and not self._is_cut(address):
            super().request(address, message, timeout_s, lambda reply: None)

    def on_message(self, message: RawMessage, origin: str, respond: Respond) -> None:
        """Pass on a peer's message, unless the link is cut."""
        if not self._is_cut(origin):
            super().on_message(message, origin, respond)


def _ip(address: str) -> str:
    return address.rpartition(":")[0]


if __name__ == "__main__":
    sys.exit(main(os.environ.get(SETTINGS_FILE_VARIABLE, DEFAULT_SETTINGS_FILE), FaultyTransport))
