"""Tests of the rate limit on an instance's backlog of table writes."""

from rhubarbshed.state.agreement.backlog import BacklogRate
from rhubarbshed.util.settings import Settings

SETTINGS = Settings.from_text("[platform]\nbacklog_writes_per_s = 100").unwrap().platform


def drain(rate: BacklogRate, instances: int, seconds: float, step_s: float = 0.25) -> list[int]:
    """Spend all allowed writes at each step; return the writes of each step."""
    written = []
    for number in range(int(seconds / step_s)):
        allowed = rate.count_allowed(instances, number * step_s)
        rate.spend(allowed)
        written.append(allowed)
    return written


def test_instances_share_the_rate():
    for instances in (1, 10, 370):
        written = sum(drain(BacklogRate.from_config(SETTINGS), instances, 60.0))
        assert written * instances <= 100 * 60.0 + instances
        assert written * instances >= 100 * 60.0 * 0.9 - instances


def test_a_long_pause_earns_no_burst():
    rate = BacklogRate.from_config(SETTINGS)
    rate.count_allowed(10, 0.0)
    assert rate.count_allowed(10, 3600.0) == 10


def test_a_share_below_one_write_a_second_still_moves_on():
    rate = BacklogRate.from_config(SETTINGS)
    written = drain(rate, 400, 20.0)
    assert max(written) == 1
    assert 4 <= sum(written) <= 6


def test_one_instance_alone_is_bounded_each_second():
    written = drain(BacklogRate.from_config(SETTINGS), 1, 10.0)
    assert max(written) <= 100
    assert all(sum(written[at : at + 4]) <= 101 for at in range(len(written)))
