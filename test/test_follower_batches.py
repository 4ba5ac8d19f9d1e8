"""How long an instance collects changes of servers before it queries the store again."""

import pytest

from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.view import View
from test.helper_edge import make_settings


@pytest.mark.parametrize(
    ("drain_s", "is_holder", "expected_s"),
    [(2.0, False, 0.5), (3.0, False, 0.75), (4.0, False, 1.0), (9.0, False, 1.0), (4.0, True, 0.5)],
)
def test_instance_without_a_holder_queries_less_often_where_servers_leave_slowly(
    drain_s, is_holder, expected_s
):
    """195 instances that started together made five queries each in their first two seconds."""
    view = View.from_settings(make_settings(("127.0.0.1", 1), drain_s=drain_s))
    follower = Follower(None, view, is_holder=lambda: is_holder)
    assert follower.measure_batch_s() == expected_s
