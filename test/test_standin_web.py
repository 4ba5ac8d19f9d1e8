"""Tests of what all stand-ins share."""

import asyncio

from standin.web import Server


async def refuse(request, exchange):
    return None


def test_process_that_is_down_does_not_crash_again():
    """Two requests that crash it in the same turn of the loop were counted as two crashes."""

    async def crash_twice():
        server = Server(refuse, restart_s=0.05)
        server.crash()
        server.crash()
        crashes = [server.counters.to_plain()["crashes"]]
        await asyncio.sleep(0.06)
        server.crash()
        return [*crashes, server.counters.to_plain()["crashes"]]

    assert asyncio.run(crash_twice()) == [1, 2]
