"""Tests of the commands that read the logs of many processes."""

import pytest

from rhubarbshed.protocol.errors import UserError
from rhubarbshed.ui.logs import explain, list_around, read_lines, show_timeline
from rhubarbshed.util.logs import format_pairs, parse_pairs

HEAD = "at=2026-03-01T10:00:{second} level=info logger=x event="


def write(path, *lines: str) -> str:
    path.write_text("\n".join(lines) + "\n")
    return str(path)


def line(second: str, words: str) -> str:
    return HEAD.format(second=second) + words


def test_request_is_explained_with_the_orders_for_its_model(tmp_path, capsys):
    write(
        tmp_path / "i1.log",
        line("01.000", "server_came server=b1 revision=4"),
        line("02.000", "server_came server=b2 revision=5"),
        line(
            "05.000",
            "request_ended request=q1 outcome=model_absent status=503 model=m1 servers=b1",
        ),
        "not a line of ours",
    )
    write(
        tmp_path / "i2.log",
        line("03.000", 'order kind=load server=b1 model=m1 adapter="" end=conflict'),
        line("03.500", 'order kind=load server=b1 model=m2 adapter="" end=accepted'),
    )
    explain("q1", [str(tmp_path)])
    text = capsys.readouterr().out
    assert "no backend server held the model" in text
    assert "end=conflict" in text and "model=m2" not in text
    assert "server=b1 revision=4" in text and "server=b2" not in text


def test_unknown_request_is_a_users_error(tmp_path):
    with pytest.raises(UserError):
        explain("q9", [write(tmp_path / "i1.log", line("01.000", "started instance=i1"))])
    with pytest.raises(UserError):
        explain("q9", [str(tmp_path / "nowhere")])


def test_clock_that_jumps_back_keeps_a_processes_own_order(tmp_path):
    path = write(
        tmp_path / "i1.log",
        line("09.000", "started instance=i1"),
        line("02.000", "configuration version=1"),
        line("03.000", "lease_taken token=1"),
    )
    events = [each.get("event") for each in read_lines([path])]
    assert events == ["started", "configuration", "lease_taken"]


def test_names_before_the_line_are_instances(tmp_path, capsys):
    path = write(
        tmp_path / "all.txt",
        "  1.5 front-a-1 " + line("01.500", "started instance=front-a-1"),
        "  2.5 front-b-1 " + line("02.500", "lease_taken token=3"),
        "  2.6 front-b-1 " + line("02.600", "request_ended request=q1 outcome=answered status=200"),
    )
    assert [each.instance for each in read_lines([path])] == ["front-a-1", "front-b-1", "front-b-1"]
    show_timeline([path])
    text = capsys.readouterr().out
    assert "lease_taken" in text and "request_ended" not in text
    lines = read_lines([path])
    assert [each.get("event") for each in list_around(lines, lines[2:])] == ["lease_taken"]


@pytest.mark.parametrize(
    "text", ["a\x7fb", "\x9b31m", "\ud800", "a\u2028b", "\u202eb", "a\r\n\x00", "e\u00e9", ""]
)
def test_value_of_another_writer_changes_no_other_line(text):
    """Control characters of a caller's id went raw into the log, and a surrogate was lost there."""
    written = format_pairs([("event", "x"), ("key", text), ("last", 1)])
    assert written.isprintable() and written.encode()
    assert parse_pairs(written) == (("event", "x"), ("key", text), ("last", "1"))
