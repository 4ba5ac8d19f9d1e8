"""Work that the bytes of one server make, however they are divided."""

import pytest

from rhubarbshed.transport.edge.streams import EVENT_BYTES_MAX, EventSplitter


class CountedBytes(bytearray):
    """Buffer that counts the bytes it is searched for."""

    searched = 0

    def rfind(self, mark, start=0):
        self.searched += len(self) - start
        return super().rfind(mark, start)


@pytest.mark.parametrize("event", [b"data: ", b"\n:", b"\r\n:"])
def test_event_in_single_bytes_is_searched_once(event):
    """All that was held was joined and searched again for each byte."""
    held = CountedBytes()
    splitter = EventSplitter(held=held)
    fed = 20_000
    for number in range(fed):
        splitter.feed(event[number % len(event) :][:1])
    assert len(held) == fed
    assert held.searched < 16 * fed


@pytest.mark.parametrize("size", [1, 3, 700])
@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_events_are_found_wherever_their_bytes_are_divided(size, end):
    events = [b"id: %d" % number + end + b"\n" * (number % 3) for number in range(200)]
    stream = b"".join(events) + b"data: rest"
    splitter = EventSplitter()
    fed = [splitter.feed(stream[at : at + size]) for at in range(0, len(stream), size)]
    assert b"".join(fed) + splitter.flush() == stream
    assert (splitter.last_id, splitter.events, splitter.counts_up) == ("199", 200, True)
    assert all(isinstance(each, bytes) for each in fed)


def test_event_beyond_the_limit_is_passed_on_in_parts():
    splitter = EventSplitter()
    piece = b"x" * 65_536
    passed = [splitter.feed(piece) for _ in range(EVENT_BYTES_MAX // len(piece) + 1)]
    assert [len(each) for each in passed if each] == [EVENT_BYTES_MAX + len(piece)]
