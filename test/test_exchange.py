"""Tests of the announcement of suspects between instances."""

from types import SimpleNamespace

from rhubarbshed.protocol.peers import QuarantineNotice
from rhubarbshed.protocol.quarantine import CrashId, QuarantineEntry, QuarantineUpdate
from rhubarbshed.transport.exchange import PeerExchange, announce_suspects, handle_frame
from test.helper_requests import make_coordinator

OWN, REPORTED = CrashId("b1", "x"), CrashId("b3", "y")


def test_own_crash_is_told_though_a_peer_tells_another_one_of_the_same_request_first():
    """Guards against recording the own crash as announced on receipt of a peer's notice.

    The merged entry then counted as announced, so that no peer ever received the own crash.
    """
    sent = []
    network = SimpleNamespace(publish=sent.append)
    coordinator = make_coordinator()
    runtime = SimpleNamespace(coordinator=coordinator, exchange=PeerExchange(), network=network)
    coordinator.suspects.view.record_crash("f", OWN, False, 1.0)
    peers = QuarantineNotice((QuarantineUpdate(QuarantineEntry("f", (REPORTED,)), 0.1),))
    handle_frame(runtime, "i2", peers, 1.1)
    announce_suspects(runtime, 1.25)
    assert [one.entry.crashes for notice in sent for one in notice.entries] == [(OWN, REPORTED)]
    handle_frame(runtime, "i2", sent[0], 1.3)
    announce_suspects(runtime, 1.5)
    assert len(sent) == 1
