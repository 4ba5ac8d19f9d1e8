"""Odd values in answers of the table service and in engines' reports end no instance."""

import asyncio
import time

import pytest
from attrs import NOTHING, evolve, fields
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.codec import pack
from rhubarbshed.protocol.events import Stamp
from rhubarbshed.protocol.members import BackendServerInfo, ListedInstance
from rhubarbshed.protocol.peers import Envelope, pack_envelope, unpack_envelope
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch
from rhubarbshed.state.membership.digests import LoadOutbox
from rhubarbshed.state.membership.membership import make_instance_info
from rhubarbshed.transport.engines import fetch_service_report, make_engine_client
from rhubarbshed.transport.events import EVENT_END, Attempt, EventBuffer
from rhubarbshed.transport.http import Answer, ExchangeError
from rhubarbshed.transport.platform import make_list_client
from rhubarbshed.transport.table import make_table_client
from test.helper_odd_values import ODD_JSON, PLACE, fill
from test.helper_peers import are_meshed, list_peers, make_peers, start_all, stop_all, wait_for
from test.test_odd_messages import replace_each

ROWS = {"rows": [{"key": "k", "version": 1, "value": {"a": 1}, "revision": 2}], "revision": 3}
REPORT = {
    "backend_server": "b1",
    "age_s": 0.1,
    "running": 1,
    "waiting": 0,
    "waiting_tokens": 0,
    "memory_bytes_used": 1,
    "memory_bytes_total": 2,
    "fencing_token": 1,
    "tokens_per_s": 1.0,
    "prefill_tokens_per_s": 1.0,
    "slots": 4,
    "resident": [{"name": "m1", "version": "1", "memory_bytes": 3}],
    "cache_events": [{"sequence": 1, "stored": True, "prefix": "p"}],
    "boot_id": "x",
}
SERVER = BackendServerInfo(
    **{each.name: "x" for each in fields(BackendServerInfo) if each.default is NOTHING}
)


class Http:
    """Client that answers each call with the same body."""

    def __init__(self, body: bytes) -> None:
        self.answer = Answer(200, body)

    def exchange(self, *_: object, **__: object) -> Result[Answer, ExchangeError]:
        return Success(self.answer)

    post_json = exchange


@pytest.mark.parametrize("raw", ODD_JSON.values(), ids=ODD_JSON)
def test_odd_value_in_an_answer_of_the_table_is_an_error_value(raw):
    for template in replace_each(ROWS, PLACE):
        client = make_table_client(Http(fill(template, raw)), "u")
        for read in (client.read(("k",)), client.scan("k", 0)):
            assert isinstance(read, Result)


@pytest.mark.parametrize("raw", ODD_JSON.values(), ids=ODD_JSON)
def test_odd_value_in_a_report_is_an_error_value_or_can_be_sent(raw):
    """Numbers and texts that frames cannot hold ended the instance as it sent its digest."""
    for template in replace_each(REPORT, PLACE):
        http = Http(fill(template, raw))
        for read in (
            make_engine_client(http).fetch_report(SERVER, 0),
            fetch_service_report(http, SERVER),
        ):
            if isinstance(read, Success):
                assert pack(read.unwrap())
        read = make_engine_client(http).fetch_report(SERVER, 0)
        if isinstance(read, Success):
            digest = LoadOutbox().make_digest(((read.unwrap(), 1.0),), 2.0)
            data = pack_envelope(Envelope(digest, Stamp(1, 2, "i1")))
            assert isinstance(unpack_envelope(data, "i1"), Success)


@pytest.mark.parametrize("raw", ODD_JSON.values(), ids=ODD_JSON)
def test_odd_offset_of_an_event_breaks_the_stream_off(raw):
    """It raised in the request, or passed as the next token."""
    for plain in ({"id": "r1", "offset": PLACE}, {"offset": PLACE, "id": "r1"}):
        attempt = Attempt(Dispatch("r1", 1, "b1", "127.0.0.1", 1, 1.0, 1.0), 0)
        piece, end = EventBuffer().feed(b"data: " + fill(plain, raw) + EVENT_END, attempt)
        assert (piece.tokens, end) == (0, AttemptEnd.BROKEN)


LISTED = {
    "info": {
        "name": "i9",
        "data_centre": "a",
        "region": "r",
        "host": "127.0.0.1",
        "caller_port": 1,
        "operator_port": 2,
        "peer_port": 3,
    },
    "leaving": False,
}
LISTED_SERVER = {
    "info": {
        "name": "b9",
        "kind": "engine",
        "data_centre": "a",
        "region": "r",
        "host": "127.0.0.1",
        "port": 3,
    }
}


@pytest.mark.parametrize("raw", [*ODD_JSON.values(), "70000"], ids=[*ODD_JSON, "port"])
def test_odd_entry_of_the_list_leaves_the_others(raw):
    """One made the whole list unreadable, so that nobody followed it any more."""
    odd = [(each, 0) for each in replace_each(LISTED, PLACE)]
    odd += [(each, 1) for each in replace_each(LISTED_SERVER, PLACE)]
    for template, index in odd:
        listed = [[LISTED], [LISTED_SERVER]]
        listed[index] = [*listed[index], template]
        plain = {"instances": listed[0], "backend_servers": listed[1]}
        read = make_list_client(Http(fill(plain, raw)), "u").fetch()
        if raw == ODD_JSON["5,000 digits"] or raw == ODD_JSON["nesting of 100,000"]:
            assert isinstance(read, Failure)
            continue
        names = [each.info.name for each in read.unwrap().instances]
        servers = [each.info.name for each in read.unwrap().backend_servers]
        assert names[0] == "i9" and servers[0] == "b9"
        assert all(0 <= each.info.peer_port <= 65_535 for each in read.unwrap().instances)
        assert all(0 <= each.info.port <= 65_535 for each in read.unwrap().backend_servers)


@pytest.mark.parametrize("change", [{"peer_port": 70_000}, {"host": "1" * 64}, {"host": "a\0b"}])
def test_peer_at_an_odd_address_is_one_that_cannot_be_reached(change):
    async def scene():
        peers = make_peers({"a1": "dc-1", "a2": "dc-1"})
        odd = evolve(make_instance_info(peers["a1"].settings, ""), name="a0", **change)
        listed = list_peers(peers)
        listed = evolve(listed, instances=(*listed.instances, ListedInstance(odd)))
        for peer in peers.values():
            peer.membership.apply_list(listed, time.monotonic())
        await start_all(peers)
        await wait_for(lambda: are_meshed(peers))
        await asyncio.sleep(0.3)
        await stop_all(peers)

    asyncio.run(scene())
