"""Tests of the settings."""

from returns.result import Failure, Success

from rhubarbshed.util.settings import Address, Settings


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


def test_seeds_are_addresses_by_ip_number():
    text = "[peers]\nseeds = 10.0.0.1:8082, [::1]:9\n"
    settings = Settings.from_text(text).unwrap()
    assert settings.peers.list_seeds() == (Address("10.0.0.1", 8082), Address("::1", 9))
    assert [str(seed) for seed in settings.peers.list_seeds()] == ["10.0.0.1:8082", "[::1]:9"]


def test_each_malformed_seed_is_named():
    text = "[peers]\nseeds = host-1:8082, 10.0.0.1, 10.0.0.1:0, 10.0.0.1:70000, , 10.0.0.1:1\n"
    errors = Settings.from_text(text).failure()
    assert [error.met for error in errors] == [
        "host-1:8082",
        "10.0.0.1",
        "10.0.0.1:0",
        "10.0.0.1:70000",
        "",
    ]
    assert all(error.key == "seeds" for error in errors)
