"""Tests of the settings."""

from returns.result import Failure, Success

from rhubarbshed.util.settings import Settings


def test_defaults_are_valid():
    assert isinstance(Settings.from_file(None), Success)


def test_all_errors_are_listed_at_once():
    text = "[instance]\ncaller_port = 0\n[log]\nlevel = loud\n[peers]\ndelegates = some\n"
    result = Settings.from_text(text, "a.ini")
    assert isinstance(result, Failure)
    lines = [str(error) for error in result.failure()]
    assert len(lines) == 3
    assert "a.ini: [instance] caller_port is '0'" in lines[0]


def test_unknown_key_is_an_error():
    errors = Settings.from_text("[log]\nlevl = info\n").failure()
    assert errors[0].key == "levl"


def test_secret_comes_from_environment_and_is_not_printed():
    settings = Settings.from_text("", environment={"RHUBARBSHED_PEER_TOKEN": "s3cret"}).unwrap()
    assert settings.secrets.peer_token == "s3cret"
    assert "s3cret" not in repr(settings)
