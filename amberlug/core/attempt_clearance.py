"""The last step before an attempt is sent, shared by all transports."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from amberlug.core.messages import Attempt
from amberlug.core.ports import Calls


async def clear_attempts(calls: Calls, attempts: Sequence[Attempt]) -> list[Attempt]:
    """Record attempts, wait until the records are durable, and return those that may still be sent."""
    cleared = calls.clear(attempts)
    if not cleared or not calls.waits:
        return cleared
    recorded: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake() -> None:
        """Signal that the records are durable or can't become so."""
        if not recorded.done():
            recorded.set_result(None)

    calls.after(wake, cleared)
    # Bounded wait: a call must not wait forever for other relays to store its record. After the timeout
    # nothing is sent, although the recorded attempts count as possibly executed.
    done, _ = await asyncio.wait({recorded}, timeout=calls.left_s(cleared))
    # Check again: a drain, a requested pause or an outcome may have arrived meanwhile.
    return calls.may_still_send(cleared) if done else []
