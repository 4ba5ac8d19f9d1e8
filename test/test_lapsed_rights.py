"""Orders of a holder whose right to order ran out while it was suspended or connected."""

import asyncio
import time

from rhubarbshed.platform.orders import make_order
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.servers import ServerOrder
from rhubarbshed.protocol.tables import TableFault
from rhubarbshed.transport.edge import order_dispatcher
from rhubarbshed.transport.edge.control import call_server
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.util.clocks import read_lease_clock
from standin.replica import Replica
from test.helper_edge import make_configuration, make_engine_service, make_route, play, run_edge

LOAD = make_order(ServerOrder(OrderKind.LOAD, "m1", "i1", 1, "", 0), "b1")


def test_order_is_not_sent_if_the_right_to_it_ends_while_its_connection_is_made():
    """It was checked before, and a process that stood still meanwhile sent the order on waking."""

    async def scene():
        replica = Replica("b1", models_max=4)
        await replica.start()
        pool = Pool(1.0)
        answer = await call_server(pool, replica.address, LOAD, 0.5, lambda: False)
        assert answer.failure().fault is TableFault.UNAVAILABLE
        assert replica.ordered == []
        assert (await call_server(pool, replica.address, LOAD, 0.5, lambda: True)).unwrap()
        assert [order["Model"] for order in replica.ordered] == ["m1"]
        await replica.stop()

    play(scene)


def test_holder_that_was_suspended_has_no_right_to_order_until_it_renews_its_lease(monkeypatch):
    """The monotonic clock stands still while a machine is suspended, and others take over."""

    async def scene():
        configuration = make_configuration(make_route(), Services=[make_engine_service({})])
        async with run_edge(configuration, Replica("b1")) as edge:
            dispatcher = edge.node.dispatcher
            await edge.wait_until(dispatcher.may_order)
            asked_at = time.monotonic()
            monkeypatch.setattr(
                order_dispatcher, "read_lease_clock", lambda: read_lease_clock() + 5.0
            )
            assert dispatcher.lease_state.may_order(asked_at)
            assert not dispatcher.may_order()
            await asyncio.sleep(0)

    play(scene)
