"""Tests of the clock, the timeline and its log lines."""

import logging
import random

from rhubarbshed.protocol.events import Event, Stamp
from rhubarbshed.state.clock import DRIFT_MAX_MS, HybridClock
from rhubarbshed.state.timeline import (
    Timeline,
    format_event,
    merge_timelines,
    parse_event,
)
from rhubarbshed.util.logs import PairFormatter, parse_pairs
from rhubarbshed.util.settings import Settings

SKEWS_MS = {"a": 0, "b": -30_000, "c": 20_000, "d": 4}


def make_timeline(name: str, read_wall) -> Timeline:
    settings = Settings.from_text(f"[instance]\nname = {name}\n[timeline]\nevents_max = 100")
    return Timeline.from_settings(settings.unwrap(), read_wall)


def test_cause_comes_before_effect_with_skewed_clocks():
    """Random messages between instances: the receipt of each one sorts after its sending."""
    for seed in range(20):
        rng = random.Random(seed)
        true_ms = [1_000_000]
        lines = {
            name: make_timeline(name, lambda skew=skew, at=true_ms: at[0] + skew)
            for name, skew in SKEWS_MS.items()
        }
        for word in range(40):
            sender, receiver = rng.sample(sorted(lines), 2)
            true_ms[0] += rng.choice((0, 0, 1, 5))
            sent = lines[sender].record("sent", request=word)
            lines[receiver].clock.merge(sent.stamp, lines[receiver].read_wall())
            lines[receiver].record("received", request=word)
        merged = merge_timelines(line.events for line in lines.values())
        order = {(event.name, dict(event.fields)["request"]): n for n, event in enumerate(merged)}
        assert len(order) == 80
        assert all(order["sent", str(n)] < order["received", str(n)] for n in range(40))


def test_stamp_too_far_ahead_is_not_adopted():
    clock = HybridClock("a")
    before = clock.tick(1000)
    after = clock.merge(Stamp(1001 + DRIFT_MAX_MS, 5, "b"), 1000)
    assert (after.wall_ms, after > before, clock.stamps_too_far) == (1000, True, 1)
    assert clock.merge(Stamp(1000 + DRIFT_MAX_MS, 5, "b"), 1000).counter == 6


def test_wall_clock_set_back_does_not_turn_order():
    clock = HybridClock("a")
    stamps = [clock.tick(wall_ms) for wall_ms in (1000, 1000, 10, 999, 1001)]
    assert stamps == sorted(set(stamps))


def test_ring_is_bounded_and_sought_by_field():
    line = make_timeline("a", lambda: 1000)
    for number in range(300):
        line.record("dispatched", request=number, model=f"m{number % 2}", backend_server="s1")
    assert len(line.events) == 100
    assert len(line.list_events(model="m1")) == 50
    assert len(line.list_events(model="m1", request="299")) == 1
    assert len(line.list_events(backend_server="s1", limit=7)) == 7
    assert line.list_events(since=1001) == ()


def test_same_event_from_ring_and_log_is_merged_once():
    line = make_timeline("a.1", lambda: 1000)
    event = line.record("ticket_refused", ticket=7, reason='two "words"\nand = more')
    assert parse_event(format_event(event)) == event
    assert merge_timelines([[event], [parse_event(format_event(event))]]) == (event,)


def test_line_without_stamp_or_with_a_bad_one_is_no_event():
    for text in ("", "event=x", "stamp=1.2.a", "event=x stamp=1.b.c", 'event="x stamp=1.2.a'):
        assert parse_event(text) is None


def test_formatter_quotes_and_keeps_one_line():
    record = logging.LogRecord("here", logging.INFO, "", 0, "lease lost", (), None)
    record.pairs = {"reason": 'a "b"\nc', "epoch": 7, "empty": ""}
    text = PairFormatter().format(record)
    assert "\n" not in text
    pairs = dict(parse_pairs(text))
    assert (pairs["event"], pairs["reason"]) == ("lease lost", 'a "b"\nc')
    assert (pairs["epoch"], pairs["empty"]) == ("7", "")


def test_formatter_stamps_an_event_line_that_can_be_parsed():
    event = Event(Stamp(1, 2, "a"), "moved", (("model", "m 1"),))
    record = logging.LogRecord("here", logging.INFO, "", 0, format_event(event), (), None)
    assert parse_event(PairFormatter().format(record)) == event
