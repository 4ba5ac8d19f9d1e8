"""A short soak run, and tests that each check reports a violation in a made-up history."""

import asyncio
import random
import shutil
import time
from unittest import mock

import pytest
from attrs import evolve

from test.helper_edge import find_port
from test.soak.callers import Caller, connect, read_within
from test.soak.checks import CHECKS, check_all
from test.soak.history import (
    ALL,
    STORE,
    Asked,
    Deadly,
    Disturbance,
    History,
    Keyed,
    Leaving,
    Seen,
    Sent,
    Serving,
    Stop,
)
from test.soak.relay import Relay
from test.soak.run import play_seed
from test.soak.scene import Scene
from tools.soak import describe_margin

CI_SEED, CI_SECONDS = 1, 12.0


def make_events(first, last, version="v1"):
    head = "id: {0}\ndata: t{0} e1/1/1 "
    texts = (f"{head.format(number)}{version}\n\n" for number in range(first, last + 1))
    return "".join(texts).encode()


EVENTS = make_events(1, 12)
PLAIN = Asked("c1-1", "/u/c1-1", "i1", 10.0, 10.1, 200, True, True, b"done:c1-1:x", b"x")
STREAM = Asked("c1-2", "/s/c1-2", "i1", 10.0, 10.5, 200, True, True, EVENTS)
REFUSED = Asked("c1-3", "/u/c1-3", "i1", 10.0, 10.1, 503, False, True, retry_after="0.3")
LEFT = Asked("c1-4", "/s/c1-4", "i1", 10.0, 10.1, left=True)
BROKEN_STREAM = evolve(STREAM, whole=False, left=True, body=make_events(1, 5), model="m1")
RESUMED = Asked(
    *("c1-6", "/s/c1-2", "i2", 11.0, 11.5, 200, True, True, make_events(6, 12)),
    first="c1-2",
    after=5,
)
ENGINES = [Serving("e1", "v1", 0.0), Serving("e2", "v1", 0.0)]
RUN = Seen(10.0, "run", "p1", 1, "c1-1", "/u/c1-1")
ORDER = Seen(10.0, "order", "e1", 1, holder="i1", token=5)
STOP = Stop("i1", 9.0, 12.0, 0)


def make_history(**parts: object) -> History:
    return History(**{"asked": [PLAIN, STREAM, REFUSED], "seen": [RUN, ORDER], **parts})


def test_history_in_which_all_promises_hold_breaks_none():
    leavings = [Leaving("p1", 9.0, 20.0)]
    moves = [(9.5, "q", "p")]
    history = make_history(stops=[STOP], leavings=leavings, moves=moves, calm_from=9.0)
    history.asked.remove(REFUSED)
    assert check_all(history) == {}


BROKEN = {
    "once": make_history(seen=[RUN, evolve(RUN, at=11.0, server="p2")]),
    "not_run": make_history(seen=[evolve(RUN, at=30.0, request_id="c1-3")]),
    "answers": make_history(asked=[evolve(PLAIN, body=b"done:c1-9:x")]),
    "versions": make_history(
        asked=[evolve(STREAM, body=make_events(1, 5) + make_events(6, 12, "v1.1"))]
    ),
    "resumes": make_history(
        asked=[BROKEN_STREAM, *[evolve(RESUMED, status=503, body=b"")] * 12], engines=ENGINES
    ),
    "room": make_history(seen=[evolve(RUN, what="overfull")]),
    "holders": make_history(seen=[ORDER, evolve(ORDER, at=12.0, holder="i2", token=6)]),
    "leaving": make_history(leavings=[Leaving("p1", 7.0, 20.0)]),
    "configuration": make_history(
        asked=[evolve(PLAIN, path="/x/c1-1")],
        seen=[evolve(RUN, path="/x/c1-1")],
        moves=[(7.0, "p", "q")],
    ),
    "final": make_history(
        asked=[evolve(PLAIN, path="/n4/c1-1", status=404, signed=False)], added={4: 6.9}
    ),
    "stops": make_history(asked=[evolve(PLAIN, whole=False)], stops=[STOP]),
    "gone": make_history(
        asked=[LEFT],
        seen=[
            evolve(RUN, request_id="c1-4", path="/s/c1-4"),
            evolve(RUN, at=11.5, what="end", request_id="c1-4", path="/s/c1-4"),
        ],
    ),
    "refusals": make_history(asked=[evolve(REFUSED, retry_after="")]),
    "deadly": make_history(
        deadly=[Deadly(f"d-{number}", "d", "i1", 5.0 + number) for number in range(12)],
        seen=[
            *(Seen(5.0 + each, "crash", f"p{each}", 1, f"d-{each}", "/p/d") for each in range(3)),
            *(Seen(5.0 + each, "run", "p1", 1, f"d-{each}", "/p/d") for each in range(12)),
        ],
    ),
    "limits": make_history(
        seen=[
            Seen(1.0, "limit", "p1", 1, limit=1.0),
            *(Seen(5.0 + each / 10, "run", "p1", 1, f"c1-{each}", "/p/x") for each in range(12)),
            Seen(9.0, "limit", "p1", 1),
        ],
    ),
    "accounts": make_history(
        keyed=[Keyed("k1-1", 1, "i1", 15.8, 200)],
        revoked={1: 10.0},
        seen=[Seen(16.0, "run", "p1", 1, "k1-1", "/k/k1-1", account="account-1")],
    ),
    "own_ends": make_history(own_ends=["i1 ended with 1"]),
    "recovery": make_history(calm_from=9.0),
}


@pytest.mark.parametrize("name", sorted(CHECKS))
def test_each_check_tells_a_broken_promise(name):
    assert name in check_all(BROKEN[name])


@pytest.mark.parametrize(
    "body",
    [
        make_events(1, 4) + make_events(6, 12),
        EVENTS + make_events(12, 12),
        EVENTS[:-8],
        make_events(2, 12),
    ],
    ids=["missing", "twice", "short", "late"],
)
def test_stream_with_a_piece_too_few_or_too_many_is_told(body):
    assert "answers" in check_all(make_history(asked=[evolve(STREAM, body=body)]))


def test_stream_taken_up_has_to_go_on_after_the_last_event_at_one_version():
    assert not check_all(make_history(asked=[BROKEN_STREAM, RESUMED]))
    for first, last in ((5, 12), (7, 12), (1, 12), (6, 11)):
        asked = evolve(RESUMED, body=make_events(first, last))
        assert "answers" in check_all(make_history(asked=[BROKEN_STREAM, asked]))
    other = evolve(RESUMED, body=make_events(6, 12, "v1.1"))
    fault = [Disturbance(ALL, "down", 6.0, 12.0)]
    found = check_all(make_history(asked=[BROKEN_STREAM, other], disturbances=fault))
    assert found["versions"] == ["c1-6 goes on in ['v1.1'] after ['v1']"]
    again = evolve(other, request_id="c1-7", sent_at=12.0, body=make_events(9, 12), after=8)
    partly = evolve(RESUMED, whole=False, body=make_events(6, 8))
    assert not check_all(make_history(asked=[BROKEN_STREAM, partly, again]))


@pytest.mark.parametrize(("sent_s", "ran_s", "told"), [(1.9, 2.2, 0), (2.1, 2.2, 1), (1.9, 2.4, 1)])
def test_request_that_a_server_gets_after_it_has_left_is_told(sent_s, ran_s, told):
    """Only one that ran 2.3 s after the removal was, so that 2.2 s passed."""
    history = make_history(
        leavings=[Leaving("p1", 8.0, 20.0)],
        asked=[evolve(PLAIN, sent_at=8.0 + sent_s)],
        seen=[evolve(RUN, at=8.0 + ran_s)],
    )
    assert len(check_all(history).get("leaving", ())) == told


def test_route_or_key_is_refused_for_good_only_while_the_store_may_not_have_it():
    late = evolve(BROKEN["final"], added={4: 7.1})
    assert "final" not in check_all(late)
    keyed = Keyed("k1-1", 1, "i1", 10.0, 401, 10.1)
    history = make_history(keyed=[keyed], listed={1: 6.9})
    assert "final" in check_all(history)
    assert "final" in check_all(evolve(history, unlisted={1: 10.2}))
    assert "final" not in check_all(evolve(history, unlisted={1: 10.05}))
    assert "final" not in check_all(evolve(history, listed={1: 7.1}))
    assert "final" not in check_all(evolve(history, keyed=[evolve(keyed, status=503)]))
    fault = [Disturbance(ALL, "down", 6.0, 12.0)]
    assert "final" in check_all(evolve(history, disturbances=fault))


def test_share_of_streams_that_go_on_counts_where_nothing_is_disturbed():
    history = BROKEN["resumes"]
    half = [BROKEN_STREAM, *[RESUMED] * 6, *[evolve(RESUMED, status=503, body=b"")] * 6]
    assert "resumes" not in check_all(evolve(history, asked=half))
    assert "resumes" in check_all(evolve(history, asked=half[:1] + half[2:] + half[-1:]))
    assert "resumes" not in check_all(evolve(history, asked=history.asked[:-1]))
    for excuse in (
        {"disturbances": [Disturbance("i2", "reset", 7.0, 8.5)]},
        {"disturbances": [Disturbance("e2", "killed", 7.0, 8.5)]},
        {"stops": [Stop("i2", 1.0, 8.5, 0)]},
        {"engines": [ENGINES[0], evolve(ENGINES[1], until=11.2)]},
        {"engines": [ENGINES[0], evolve(ENGINES[1], version="v1.1")]},
    ):
        assert "resumes" not in check_all(evolve(history, **excuse))


@pytest.mark.parametrize("kind, ends", [("deadly1", 3), ("fatal1", 5)])
def test_requests_that_end_servers_may_be_sent_three_times_more(kind, ends):
    deadly = [Deadly(f"d-{number}", kind, "i1", 5.0 + number) for number in range(20)]
    crashes = [
        Seen(5.0 + each, "crash", f"p{each}", 1, f"d-{each}", "/p/d") for each in range(ends)
    ]
    first_late = ends - 1 + 3
    for more, told in ((3, False), (4, True)):
        runs = range(first_late + 1, first_late + 1 + more)
        seen = [*crashes, *(Seen(5.0 + each, "run", "p1", 1, f"d-{each}", "/p/d") for each in runs)]
        history = make_history(deadly=deadly, seen=seen)
        assert ("deadly" in check_all(history)) is told


def test_request_sent_after_its_caller_left_is_told():
    seen = [evolve(RUN, at=11.0, request_id="c1-4", path="/p/c1-4")]
    assert "gone" in check_all(make_history(asked=[LEFT], seen=seen))
    in_time = [evolve(RUN, at=10.4, request_id="c1-4", path="/p/c1-4")]
    assert "gone" not in check_all(make_history(asked=[LEFT], seen=in_time))


@pytest.mark.parametrize("passes", range(4))
def test_caller_ends_though_its_answer_comes_as_it_is_cancelled(passes):
    """A run waited without end for a caller whose cancellation was lost."""

    async def scene():
        reader = asyncio.StreamReader()
        task = asyncio.create_task(read_within(reader, 5.0))
        await asyncio.sleep(0.01)
        reader.feed_data(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        for _ in range(passes):
            await asyncio.sleep(0)
        accepted = task.cancel()
        await asyncio.wait((task,))
        return task.cancelled() or not accepted

    assert asyncio.run(scene())


def test_fault_excuses_what_the_pages_excuse_and_nothing_else():
    fault = [Disturbance(ALL, "down", 6.0, 8.0)]
    assert "leaving" not in check_all(evolve(BROKEN["leaving"], disturbances=fault))
    assert "stops" not in check_all(evolve(BROKEN["stops"], disturbances=fault))
    for name in ("once", "not_run", "answers", "room", "holders", "final"):
        assert name in check_all(evolve(BROKEN[name], disturbances=fault))


TAKEN = Asked("c1-5", "/s/c1-5", "i1", 5.5, 7.7, 200, True, how=Sent.AT_ONCE, last_byte_at=5.5)
"""Request sent 5.5 s after SIGTERM as a stream on its connection ended, and cut off at 7.7 s."""

TAKEN_RUN = Seen(5.6, "run", "e1", 1, "c1-5", "/s/c1-5")
TAKEN_END = evolve(TAKEN_RUN, at=7.7, what="end")
LONG_STOP = Stop("i1", 0.0, 7.9, 0)


def find_losses(*seen, asked=TAKEN, disturbances=(), stop=LONG_STOP):
    history = History([asked], list(seen), list(disturbances), [stop])
    return check_all(history).get("stops", [])


def test_request_that_a_stopping_instance_takes_and_gives_up_is_told():
    sent = "sent 5.500 s after SIGTERM (as an answer ended)"
    losses = [f"c1-5, {sent}, was passed on and cut off at 7.700 s"]
    assert find_losses(TAKEN_RUN, TAKEN_END) == losses


def test_request_is_lost_if_it_was_not_passed_on_and_is_no_crossing():
    closed = evolve(TAKEN, status=0, signed=False, last_byte_at=7.45)
    assert find_losses(asked=closed)
    assert not find_losses(asked=evolve(closed, last_byte_at=7.55))
    assert not find_losses(asked=evolve(closed, last_byte_at=0.0))
    assert find_losses(TAKEN_RUN, asked=evolve(closed, last_byte_at=7.55))


async def ask_refused(how: Sent, late_s: float) -> list[str]:
    """Ask behind a relay at whose target nobody listens, with a late loop; list the losses."""
    history = History()
    relay = Relay(find_port(), find_port(), refused=history.refused)
    await relay.start()
    stopped_at = time.monotonic()
    link = await connect("i1", relay.port)
    asking = asyncio.create_task(
        Caller("c1", random.Random(1), history, None).send_request(link, how, "/p/")
    )
    await asyncio.sleep(0)
    time.sleep(late_s)
    await asking
    relay.stop()
    history.stops.append(Stop("i1", stopped_at, time.monotonic() + 1.0, 0))
    return check_all(history).get("stops", [])


def test_request_whose_connection_was_refused_behind_its_relay_is_not_lost():
    """With a late loop of the soak, the relay's reset came too late for a crossing."""
    assert asyncio.run(ask_refused(Sent.NEW, 0.3)) == []


def test_refused_connection_excuses_no_request_that_was_passed_on():
    refused = evolve(TAKEN, status=0, signed=False, last_byte_at=7.4, refused=True)
    assert not find_losses(asked=refused)
    assert find_losses(TAKEN_RUN, asked=refused)


def test_stream_that_its_server_interrupted_is_not_lost_but_another_answer_is():
    broke = evolve(TAKEN_RUN, what="broke", at=7.6)
    assert not find_losses(TAKEN_RUN, broke, TAKEN_END)
    plain = evolve(TAKEN, path="/u/c1-5")
    seen = [evolve(each, path="/u/c1-5") for each in (TAKEN_RUN, broke, TAKEN_END)]
    assert find_losses(*seen, asked=plain)


def test_stream_sent_in_the_announcement_may_be_cut_off_at_the_end_of_the_grace_time():
    early = evolve(TAKEN, sent_at=2.9, last_byte_at=2.9)
    assert not find_losses(TAKEN_RUN, TAKEN_END, asked=early)
    assert find_losses(TAKEN_RUN, TAKEN_END, asked=evolve(early, last_byte_at=3.1))
    cut_early = evolve(early, ended_at=6.0)
    assert find_losses(TAKEN_RUN, evolve(TAKEN_END, at=6.0), asked=cut_early)
    assert find_losses(TAKEN_RUN, evolve(TAKEN_END, at=6.0), asked=early)


def test_fault_of_the_store_excuses_no_loss_and_one_long_before_the_request_neither():
    seen = (TAKEN_RUN, TAKEN_END)
    assert find_losses(*seen, disturbances=[Disturbance(STORE, "down", 4.0, 6.0)])
    assert find_losses(*seen, disturbances=[Disturbance("i1", "reset", 1.0, 2.0)])
    assert not find_losses(*seen, disturbances=[Disturbance("i1", "reset", 2.0, 3.0)])


def test_margin_tells_for_each_stop_what_answered():
    crossed = evolve(TAKEN, request_id="c1-6", status=0, signed=False)
    history = History([TAKEN, crossed, PLAIN], [TAKEN_RUN], [], [LONG_STOP])
    lines = describe_margin(history).splitlines()
    assert lines[0] == "i1 at 0.000 s, exit 0 after 7900 ms"
    assert lines[2].split(" | ") == [
        *("  5500 to 6000", "as an answer ended", "0", "0", "1", "1", "0", "2200", "2200", "7700")
    ]


def test_caller_goes_on_after_a_connection_that_was_reset_as_it_leaves():
    writer = mock.Mock()
    writer.transport.is_closing.return_value = False
    writer.write_eof.side_effect = OSError(107, "not connected")
    caller = Caller("c1", random.Random(1), History(), None, gave_up=True)
    asyncio.run(caller.disconnect(writer))
    writer.transport.abort.assert_called_once()


def test_ended_servers_are_started_again_also_while_another_one_is_added(tmp_path, monkeypatch):
    async def add_relay(scene: Scene, name: str, port: int) -> int:
        # The watch comes by at this moment.
        scene.restart_crashed_servers()
        scene.relays[name] = Relay(0, port)
        return 0

    monkeypatch.setattr(Scene, "add_relay", add_relay)
    monkeypatch.setattr(Scene, "add", lambda *arguments: None)
    scene = Scene(tmp_path, 1)
    asyncio.run(scene.add_server("r1", "svc", "a", "v1"))
    assert scene.services == {"r1": "svc"}


def test_short_run_breaks_no_promise():
    verdict = play_seed(CI_SEED, CI_SECONDS)
    assert not verdict.broken, verdict.describe()
    shutil.rmtree(verdict.folder)
