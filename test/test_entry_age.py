"""Decision on removed entries: servers that left are dropped in time, lapsed ones are kept."""

import pytest

from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.state.membership.entry_age import ENTRY_RECOVERY_S, EntryAge

NOW = 1000.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
"""The platform's bound on requests to a server that leaves, and its servers' heartbeat."""

SWEEP_S = 0.25
"""Time between two checks for servers to drop."""

ROUND_TRIP_S = 0.01
SLOW_S = 0.25
"""Time in which the store answers, usually and when it is slow."""

HELD_S = 1.6
BATCH_S = 0.5
"""Time for which the store holds a query, and in which an order holder collects changes."""

MESSAGE_INTERVAL_S = 0.25
SILENCE_S = 0.9
"""Time between an order holder's messages, and after the last one until others query the store."""

BROKEN = TableError(TableFault.UNKNOWN, detail="the connection broke")
REJECTED = TableError(TableFault.UNAVAILABLE, detail="status 503")
UNANSWERED = TableError(TableFault.UNKNOWN, detail="no response in 0.8 s", waited_s=0.8)


def make_age() -> EntryAge:
    """Return the age of entries that were read in full a while ago and confirmed since."""
    age = EntryAge()
    begun_at = read(age, NOW - HELD_S - 2 * ROUND_TRIP_S, is_full_read=True)
    read(age, begun_at, held_s=HELD_S)
    return age


def read(
    age: EntryAge,
    sent_at: float,
    held_s: float = 0.0,
    took_s: float = ROUND_TRIP_S,
    is_full_read: bool = False,
) -> float:
    """Record an answered query for servers; return when it was answered."""
    now = sent_at + held_s + took_s
    age.record_response(sent_at, now, HEARTBEAT_S)
    age.record_read(sent_at, now, is_full_read)
    return now


def receive(age: EntryAge, now: float, misses_nothing: bool = True, settled: bool = True) -> float:
    """Record a message of an order holder; return its time."""
    age.record_message(settled, misses_nothing, now, HEARTBEAT_S)
    return now


def receive_regularly(age: EntryAge, since: float, for_s: float, misses_nothing: bool) -> float:
    """Record the messages of an order holder for a while; return the time of the last one."""
    now = since
    while now + MESSAGE_INTERVAL_S <= since + for_s:
        now = receive(age, now + MESSAGE_INTERVAL_S, misses_nothing)
    return now


# --- Calm days: each case plays until a removal is read, and returns when it was made and read.


def play_holder(age: EntryAge) -> tuple[float, float]:
    """A query is held as the entry goes."""
    now = read(age, NOW, held_s=HELD_S)
    return now + 1.0, read(age, now, held_s=1.0)


def play_holder_that_collects(age: EntryAge) -> tuple[float, float]:
    """The entry goes right after another change, while changes are collected."""
    now = read(age, NOW, held_s=1.0)
    return now, read(age, now + BATCH_S)


def play_follower(age: EntryAge) -> tuple[float, float]:
    """A message has the removal, which its holder read a while before."""
    now = receive_regularly(age, NOW, 10.0, True)
    return now - BATCH_S, receive(age, now + ROUND_TRIP_S)


def play_started(age: EntryAge) -> tuple[float, float]:
    """The first read of all is followed by a query that is held."""
    now = read(age, NOW, is_full_read=True)
    return now + 0.6, read(age, now, held_s=0.6)


def play_follower_ahead(age: EntryAge) -> tuple[float, float]:
    """The holder has not read what is known here, and is then silent."""
    now = receive_regularly(age, read(age, NOW), 2.0, False)
    return now + ROUND_TRIP_S, read(age, now + SILENCE_S)


def play_oldest_confirmation(age: EntryAge) -> tuple[float, float]:
    """The holder's messages stop, as it is killed, right before the entry goes."""
    now = receive_regularly(age, NOW, 5.0, True)
    return now, read(age, now + SILENCE_S)


def play_lost_history(age: EntryAge) -> tuple[float, float]:
    """The holder's messages stop, and the store has no history, so that all is read."""
    now = receive_regularly(age, NOW, 5.0, True)
    age.suspend()
    return now, read(age, now + SILENCE_S, is_full_read=True)


def play_slow_store(age: EntryAge) -> tuple[float, float]:
    """The store takes a quarter of a second, and the entry goes as changes are collected."""
    now = read(age, NOW, held_s=1.0, took_s=SLOW_S)
    return now, read(age, now + BATCH_S, took_s=SLOW_S)


def play_reset(age: EntryAge) -> tuple[float, float]:
    """The own connections break once and are replaced at once."""
    now = receive_regularly(age, NOW, 5.0, True)
    age.record_failure(BROKEN, False, now)
    return now, read(age, now + 0.1)


def play_holder_in_trouble(age: EntryAge) -> tuple[float, float]:
    """The holder loses the store, which serves everybody else."""
    now = receive_regularly(age, NOW, 5.0, True)
    receive(age, now + MESSAGE_INTERVAL_S, settled=False)
    return now, read(age, now + MESSAGE_INTERVAL_S)


@pytest.mark.parametrize(
    "play",
    [
        play_holder,
        play_holder_that_collects,
        play_follower,
        play_started,
        play_follower_ahead,
        play_oldest_confirmation,
        play_lost_history,
        play_slow_store,
        play_reset,
        play_holder_in_trouble,
    ],
)
def test_server_whose_entry_is_removed_is_dropped_within_the_drain_time(play):
    age = make_age()
    removed_at, now = play(age)
    missing_since = age.date_change(now)
    while (before := age.find_removed_before(DRAIN_S, now)) is None or missing_since > before:
        now += ROUND_TRIP_S
    assert now + SWEEP_S - removed_at < DRAIN_S


# --- Disturbances in which entries may lapse: each case returns when the store is back.


def play_rejections(age: EntryAge) -> float:
    """The store rejects calls, for less than a heartbeat."""
    age.record_failure(REJECTED, False, NOW + 0.2)
    return read(age, NOW + 0.5)


def play_outage(age: EntryAge) -> float:
    """The store answers nothing for more than a heartbeat."""
    age.record_failure(UNANSWERED, False, NOW + 0.9)
    age.record_failure(UNANSWERED, True, NOW + 1.8)
    return read(age, NOW + 2.0)


def play_broken_connections(age: EntryAge) -> float:
    """Two connections break in a row."""
    age.record_failure(BROKEN, False, NOW + 0.1)
    age.record_failure(BROKEN, True, NOW + 0.3)
    return read(age, NOW + 0.5)


def play_outage_beside_a_holder_in_touch(age: EntryAge) -> float:
    """The own calls are rejected, and the holder has seen nothing of it yet."""
    age.record_failure(REJECTED, False, NOW + 0.2)
    receive(age, NOW + 0.3)
    return read(age, NOW + 0.5)


def play_unknown_time(age: EntryAge) -> float:
    """Nothing was known of the store for as long as a heartbeat, as in a pause of the process."""
    return read(age, NOW + HEARTBEAT_S + ROUND_TRIP_S)


def play_unknown_time_before_a_message(age: EntryAge) -> float:
    """The first that is known after such a time is a message."""
    return receive(age, NOW + HEARTBEAT_S + ROUND_TRIP_S)


def play_silent_own_calls(age: EntryAge) -> float:
    """The holder is in trouble for a heartbeat, and no own call is answered in that time."""
    for number in range(6):
        receive(age, NOW + MESSAGE_INTERVAL_S * number, settled=False)
    return read(age, NOW + HEARTBEAT_S + ROUND_TRIP_S)


def play_restore(age: EntryAge) -> float:
    """The store came back from a copy that lacks entries."""
    age.record_restore(NOW + 0.5)
    return read(age, NOW + 0.5, is_full_read=True)


@pytest.mark.parametrize(
    "play",
    [
        play_rejections,
        play_outage,
        play_broken_connections,
        play_outage_beside_a_holder_in_touch,
        play_unknown_time,
        play_unknown_time_before_a_message,
        play_silent_own_calls,
        play_restore,
    ],
)
def test_server_whose_entry_may_have_lapsed_is_kept_until_it_can_be_back(play):
    age = make_age()
    back_at = play(age)
    assert age.may_have_lapsed(back_at)
    assert age.find_removed_before(DRAIN_S, back_at + 2.0) is None
    assert not age.may_have_lapsed(back_at + ENTRY_RECOVERY_S)
    assert age.date_change(back_at) <= age.find_removed_before(DRAIN_S, back_at + ENTRY_RECOVERY_S)


def test_entries_are_kept_while_the_store_is_lost():
    age = make_age()
    age.record_failure(BROKEN, False, NOW)
    for after_s in (0.0, 10.0):
        assert age.find_removed_before(DRAIN_S, NOW + after_s) is None
        assert not age.is_settled(NOW + after_s)


def test_longer_drain_time_keeps_servers_for_longer():
    age = make_age()
    kept_s = [NOW - age.find_removed_before(drain_s, NOW) for drain_s in (0.5, 2.0, 4.0)]
    assert kept_s == pytest.approx([0.2, 1.0, 3.0])


def test_holder_states_that_it_is_settled_only_once_its_own_feed_has_gone_on():
    age = make_age()
    assert age.is_settled(NOW)
    age.suspend()
    assert not age.is_settled(NOW) and not age.is_current(NOW)
    read(age, NOW)
    assert age.is_settled(NOW + 0.1) and age.is_current(NOW + 0.1)
    assert age.find_announced_since(DRAIN_S, NOW + 0.5) == pytest.approx(NOW + ROUND_TRIP_S)
