"""A host that hands messages in to the library at a steady pace, and tells the CPU that each cost."""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import tempfile
import time

from amberlug import library
from amberlug.library import Call, Effect, Endpoint, Message, Relay, StaticEndpoints
from amberlug.library.taken import Taken


async def main(endpoint: int, rate: float, seconds: float) -> None:
    """Hand in, wait for all ends, and print what a message cost."""
    transport = None if endpoint else _deliver
    where = StaticEndpoints(Endpoint("e", 1, f"127.0.0.1:{endpoint or 1}"))
    settings = library.settings([library.message_class("result", Effect.SAFE, deadline=4.0, wanted=1.0)])
    with tempfile.TemporaryDirectory() as folder:
        async with Relay(settings, folder, where, transport=transport, seed=1) as relay:
            await _load(relay, rate, 1.0)  # connections come up, caches warm
            gc.collect()  # as the daemon does
            gc.freeze()
            gc.set_threshold(10_000)
            begun = time.process_time()
            delivered = await _load(relay, rate, seconds)
            used = time.process_time() - begun
    print(json.dumps({"delivered": delivered, "cpu_us": used / max(1, delivered) * 1e6}))


async def _deliver(call: Call) -> None:
    """Deliver at once: what is left is what the relay itself costs."""


async def _load(relay: Relay, rate: float, seconds: float) -> int:
    loop, count = asyncio.get_running_loop(), int(rate * seconds)
    started, taken = loop.time(), list[Taken]()

    async def one() -> None:
        it = await relay.hand_in(Message(1, "result", b"x" * 200))
        taken.append(it)
        await it.end()

    sent = set()
    for number in range(count):
        await asyncio.sleep(started + number / rate - loop.time())
        sent.add(asyncio.create_task(one()))
    await asyncio.gather(*sent)
    return sum(it.ended is not None and it.ended.outcome.value == "delivered" for it in taken)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])))
