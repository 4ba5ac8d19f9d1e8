"""Tests of the choice of backend servers whose reports an instance reads."""

import asyncio
import time

from attrs import evolve

from rhubarbshed.protocol.members import (
    BackendKind,
    BackendServerInfo,
    ListedBackendServer,
    ListedInstance,
    PlatformList,
)
from rhubarbshed.state.agreement.leases import Ownership
from rhubarbshed.state.membership.membership import make_instance_info
from rhubarbshed.transport.loops import list_reported_servers
from rhubarbshed.transport.runtime import Runtime
from rhubarbshed.util.settings import Settings

SERVERS = 20


def test_owner_reads_what_it_owns_though_another_is_the_reader():
    """Otherwise a ledger with loads in progress would be neither reconciled nor released."""
    loop = asyncio.new_event_loop()
    settings = Settings.from_text("[instance]\nname = i0\n").unwrap()
    runtime = Runtime.from_settings(settings, loop)
    own = make_instance_info(settings, "")
    servers = [
        BackendServerInfo(
            f"s{number}", BackendKind.ENGINE, own.data_centre, own.region, "127.0.0.1", 9
        )
        for number in range(SERVERS)
    ]
    listed = PlatformList(
        (ListedInstance(own), ListedInstance(evolve(own, name="i1"))),
        tuple(ListedBackendServer(info) for info in servers),
    )
    runtime.membership.apply_list(listed, time.monotonic())
    read = {info.name for info in list_reported_servers(runtime)}
    assert 0 < len(read) < SERVERS
    owned = next(info.name for info in servers if info.name not in read)
    runtime.leases.add_owned(Ownership(owned, runtime.leases.own, 1))
    assert {info.name for info in list_reported_servers(runtime)} == read | {owned}
    loop.close()
