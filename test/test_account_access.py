"""Accounts of a configuration, the decision on keys, and the age up to which they are trusted."""

import json
import math
from types import SimpleNamespace

import pytest
from attrs import define, field
from returns.result import Success

from rhubarbshed.coordination.serving.account_access import (
    OPEN,
    Access,
    Refusal,
    decide_access,
    rank_priority,
)
from rhubarbshed.platform.headers import make_forward_headers, make_headers, read_request
from rhubarbshed.platform.records import read_configuration
from rhubarbshed.protocol.accounts import Account, AccountLimit, Accounts, LimitUnit
from rhubarbshed.protocol.confirmation_messages import ConfirmationQuestion, ConfirmationReply
from rhubarbshed.protocol.messages import UnknownMessage, pack_message, unpack_message
from rhubarbshed.protocol.routes import Route, RouteKind
from rhubarbshed.state.membership.entry_age import EntryAge
from rhubarbshed.transport.edge.access_checks import may_trust_keys
from rhubarbshed.transport.edge.confirmations import Confirmations
from rhubarbshed.transport.edge.node import Node
from rhubarbshed.util.clocks import read_lease_clock
from test.helper_edge import HOST, make_configuration, make_route, make_settings
from test.helper_odd_values import ODD_JSON, PLACE, fill

NOW = 1000.0
LIMIT_S = 5.0
GOLD = Account("gold", 0)
KEYS = {"gold-1": GOLD, "gold-2": GOLD}
ACCOUNTS = Accounts(KEYS, {"odd-1": "odd"})


def make_tenant(name: object = "gold", keys: object = ("gold-1", "gold-2"), **fields: object):
    """Return an account in the operator's format."""
    return {"Name": name, "ApiKeys": keys, **fields}


def read_tenants(*tenants: object) -> Accounts:
    """Return the accounts of a configuration, whose routes have to be readable."""
    read = read_configuration(make_configuration(make_route(), Tenants=list(tenants)))
    assert isinstance(read, Success) and read.unwrap().find_route(HOST, "/p/x") is not None
    return read.unwrap().accounts


def make_plain_route(priority: int = 1, needs_key: bool = True) -> Route:
    """Return a route for decisions."""
    return Route(
        "r", HOST, "/", RouteKind.STREAMING, 4.0, 0.3, 0.0, priority, (), needs_key=needs_key
    )


def decide(
    key: str | None,
    accounts: Accounts | None = ACCOUNTS,
    trusted: bool = True,
    needs_key: bool = True,
    is_recent: bool = True,
):
    """Return the decision on a key."""
    route = make_plain_route(needs_key=needs_key)
    return decide_access(accounts, route, key, lambda now: trusted, lambda now: is_recent, NOW)


# --- Accounts as the operator writes them.


def test_accounts_are_read_with_their_limits_and_only_where_there_are_any():
    assert read_configuration(make_configuration(make_route())).unwrap().accounts is None
    limit = {"Unit": "tokens", "PlainTokens": 20, "RatePerS": 500, "Burst": 1000}
    accounts = read_tenants(make_tenant(Priority=2, **limit), make_tenant("free", ["free-1"]))
    gold = Account("gold", 2, AccountLimit(500.0, 1000.0, LimitUnit.TOKENS, 20.0))
    assert accounts == Accounts({"gold-1": gold, "gold-2": gold, "free-1": Account("free")})
    assert read_tenants() == Accounts()


@pytest.mark.parametrize("value, needs_key", [(True, False), (False, True), ("x", True), (1, True)])
def test_only_a_plain_true_opens_a_route(value, needs_key):
    read = read_configuration(make_configuration(make_route(NoAuth=value))).unwrap()
    assert read.find_route(HOST, "/p/x").needs_key is needs_key


@pytest.mark.parametrize(
    "fields",
    [
        {"Name": None},
        {"Name": ""},
        {"Name": "a\nb"},
        {"Name": "free"},
        {"Priority": -1},
        {"Priority": 1.5},
        {"Priority": "0"},
        {"Unit": "bytes"},
        {"Unit": []},
        {"RatePerS": -1},
        {"RatePerS": 1e300},
        {"Burst": float("nan")},
        {"PlainTokens": True},
    ],
)
def test_unreadable_account_takes_no_other_one_away_and_its_keys_are_not_unknown(fields):
    accounts = read_tenants(make_tenant("free", ["free-1"]), {**make_tenant(), **fields})
    assert list(accounts.by_key) == ["free-1"]
    assert set(accounts.unreadable_keys) == {"gold-1", "gold-2"}
    assert len(accounts.problems) == 1
    assert decide("gold-1", accounts).refusal is Refusal.ACCOUNT_UNREADABLE


def test_key_of_two_accounts_belongs_to_neither_and_their_other_keys_are_valid():
    shared = (make_tenant("a", ["x", "a-1"]), make_tenant("b", ["b-1", "x"]))
    accounts = read_tenants(*shared)
    assert set(accounts.by_key) == {"a-1", "b-1"}
    assert accounts.unreadable_keys == {"x": "a,b"} and len(accounts.problems) == 1
    # An account that cannot be read may be the one that the key was given to.
    accounts = read_tenants(make_tenant("a", ["x"]), make_tenant("b", ["x"], Priority=-1))
    assert not accounts.by_key and set(accounts.unreadable_keys) == {"x"}


def test_odd_key_of_a_list_takes_no_other_one_away():
    accounts = read_tenants(make_tenant(keys=["gold-1", 3, "", " spaced ", "a\u0000", None]))
    assert set(accounts.by_key) == {"gold-1"}
    assert decide("spaced", accounts).refusal is Refusal.ACCOUNT_UNREADABLE


@pytest.mark.parametrize("raw", ["3", '"x"', "{}", "true", json.dumps(["x"] * 5_000)])
def test_no_key_counts_as_unknown_while_the_list_cannot_be_read(raw):
    plain = json.loads(fill(make_configuration(make_route(), Tenants=PLACE), raw))
    accounts = read_configuration(plain).unwrap().accounts
    assert decide("gold-1", accounts).refusal is Refusal.ACCOUNT_UNREADABLE
    assert decide(None, accounts).refusal is Refusal.NO_KEY


@pytest.mark.parametrize("name", ODD_JSON)
@pytest.mark.parametrize("place", ["Name", "ApiKeys", "Priority", "RatePerS", "Unit", "whole"])
def test_odd_value_in_an_account_leaves_the_others_valid(name, place):
    try:
        value = json.loads(ODD_JSON[name])
    except (ValueError, RecursionError):
        return
    odd = value if place == "whole" else {**make_tenant(), place: value}
    accounts = read_tenants(odd, make_tenant("free", ["free-1"]))
    assert accounts.by_key["free-1"].name == "free"


def test_no_repr_and_no_problem_names_a_key():
    keys = ["secret-1", "secret-2"]
    tenants = [make_tenant("a", keys, Unit="secret-1"), make_tenant("b", [*keys, " secret-3"])]
    read = read_configuration(make_configuration(make_route(), Tenants=tenants)).unwrap()
    request = read_request(b"GET", b"/p/x", [(b"rhubarbshed-key", b"secret-1")], NOW)
    assert request.key == "secret-1"
    assert "secret" not in repr((read, request, read.accounts, read.accounts.problems))


# --- The decision.


@pytest.mark.parametrize(
    "key, access",
    [
        ("gold-1", Access(GOLD, named="gold")),
        ("other", Access(refusal=Refusal.UNKNOWN_KEY)),
        ("odd-1", Access(refusal=Refusal.ACCOUNT_UNREADABLE, named="odd")),
        (None, Access(refusal=Refusal.NO_KEY)),
    ],
)
def test_key_decides_on_the_account(key, access):
    assert decide(key) == access
    assert decide(key, needs_key=False) == decide(key, None) == OPEN


@pytest.mark.parametrize("key", ["gold-1", "other", "odd-1"])
def test_no_key_is_trusted_and_none_is_unknown_while_the_configuration_is_unconfirmed(key):
    assert decide(key, trusted=False).refusal is Refusal.KEYS_UNCONFIRMED
    assert decide(key, trusted=False, needs_key=False) == OPEN


def test_priority_of_an_account_goes_before_that_of_its_route():
    ranks = [
        rank_priority(Account("a", account), make_plain_route(route))
        for account in (0, 1, 2, 7)
        for route in (0, 1, 2, 7)
    ]
    assert ranks == [0, 1, 2, 2, 3, 4, 5, 5, 6, 7, 8, 8, 6, 7, 8, 8]
    assert rank_priority(Account("a"), make_plain_route(1)) == 4
    assert [rank_priority(None, make_plain_route(each)) for each in (0, 2, 7, 12)] == [0, 2, 7, 9]


# --- Headers.


def test_caller_sets_neither_account_nor_key_of_what_is_sent_on():
    given = [
        (b"Rhubarbshed-Key", b"gold-1"),
        (b"RHUBARBSHED-TENANT", b"admin"),
        (b"Connection", b"rhubarbshed-key"),
        (b"X-Other", b"x"),
    ]
    request = read_request(b"GET", b"/p/x", given, NOW)
    sent = dict(make_headers(request, "b1", 1.0, None, "", "gold"))
    assert sent[b"rhubarbshed-tenant"] == b"gold" and b"rhubarbshed-key" not in sent
    names = [name.lower() for name, _ in make_headers(request, "b1", 1.0, None, "")]
    assert b"rhubarbshed-tenant" not in names and b"rhubarbshed-key" not in names
    forwarded = [
        (name.lower(), value) for name, value in make_forward_headers(request, 1, "", 1, 1)
    ]
    assert (b"rhubarbshed-key", b"gold-1") in forwarded
    assert b"rhubarbshed-tenant" not in dict(forwarded)


def test_key_that_is_no_utf_8_reaches_the_other_instance_as_it_came():
    request = read_request(b"GET", b"/p/x", [(b"rhubarbshed-key", b"\xff\xfe")], NOW)
    assert (b"rhubarbshed-key", b"\xff\xfe") in make_forward_headers(request, 1.0, "", 1, 1.0)
    assert decide(request.key).refusal is Refusal.UNKNOWN_KEY


# --- The age of the configuration.


def test_keys_are_trusted_for_less_than_the_bound_from_when_the_confirmation_was_asked_for():
    age = EntryAge()
    assert not age.is_configuration_trusted(LIMIT_S, NOW)
    age.confirm_configuration(NOW, NOW + 2.0)
    assert age.is_configuration_trusted(LIMIT_S, NOW + 4.7)
    assert not age.is_configuration_trusted(LIMIT_S, NOW + 4.8)
    assert age.measure_configuration_age(NOW + 4.8) == pytest.approx(4.8)


def test_answer_that_a_frozen_process_reads_late_confirms_nothing():
    """It is the first thing read after the process goes on."""
    age = EntryAge()
    age.confirm_configuration(NOW, NOW)
    woken_at = NOW + 60.0
    age.confirm_configuration(NOW + 0.5, woken_at)
    assert not age.is_configuration_trusted(LIMIT_S, woken_at)


def test_late_answer_to_an_earlier_question_does_not_age_the_configuration():
    age = EntryAge()
    age.confirm_configuration(NOW + 1.0, NOW + 1.1)
    age.confirm_configuration(NOW, NOW + 1.2)
    assert age.configuration_asked_at == NOW + 1.0


def test_confirmation_of_the_future_counts_as_one_of_now():
    age = EntryAge()
    age.confirm_configuration(math.inf, NOW)
    assert not age.is_configuration_trusted(LIMIT_S, NOW + LIMIT_S)


# --- Confirmation by other instances.

HOLDER = ("127.0.0.2", 7000)
STRANGER = ("127.0.0.9", 7000)
VERSION = 7


@define(eq=False)
class Asker:
    """Instance without sockets that asks an order holder; its clock stands at `now`."""

    node: Node = field(init=False)
    sent: list[tuple] = field(factory=list)
    now: float = NOW

    def __attrs_post_init__(self) -> None:
        """Let the instance know a configuration with accounts."""
        settings = make_settings(("127.0.0.1", 1), strict_revocation=True, revocation_s=LIMIT_S)
        self.node = Node.from_settings(settings, "")
        plain = make_configuration(make_route(), version=VERSION, Tenants=[make_tenant()])
        self.node.view.configuration = read_configuration(plain).unwrap()
        self.node.lease.holder_address = HOLDER
        self.confirmations.send = lambda message, *addresses: self.sent.append((message, addresses))
        self.confirmations.read_clock = lambda: self.now

    @property
    def confirmations(self) -> Confirmations:
        """Return the part that asks and replies."""
        return self.node.confirmations

    def ask(self) -> ConfirmationQuestion:
        """Ask the holder and return the question."""
        self.confirmations.ask(self.now)
        message, addresses = self.sent.pop()
        assert addresses == (HOLDER,)
        return message

    def receive(self, question: ConfirmationQuestion, address=HOLDER, **changes: int) -> bool:
        """Receive a reply; return whether keys are trusted then."""
        values = {"asked_ms": question.asked_ms, "version": VERSION, "age_ms": 1_000, **changes}
        self.confirmations.handle_message(ConfirmationReply(**values), address)
        return may_trust_keys(self.node.view, self.now)


def test_reply_confirms_from_when_the_replier_had_confirmed():
    asker = Asker()
    question = asker.ask()
    asker.now += 0.5
    assert asker.receive(question)
    assert asker.node.view.versions.entry_age.measure_configuration_age(asker.now) == 1.5


def test_reply_that_a_frozen_instance_reads_first_confirms_nothing():
    asker = Asker()
    question = asker.ask()
    asker.now += 3600.0
    assert not asker.receive(question, age_ms=0)
    assert asker.receive(asker.ask())


def test_reply_of_a_holder_that_was_frozen_states_the_age_of_what_it_knows():
    asker, holder = Asker(), Asker()
    holder.confirmations.handle_message(asker.ask(), STRANGER)
    assert not holder.sent
    holder.node.view.versions.entry_age.confirm_configuration(NOW, NOW)
    holder.now += 3600.0
    holder.confirmations.handle_message(asker.ask(), STRANGER)
    ((reply, addresses),) = holder.sent
    assert addresses == (STRANGER,) and reply.age_ms == 3_600_000 and reply.version == VERSION
    asker.confirmations.handle_message(reply, HOLDER)
    assert not may_trust_keys(asker.node.view, asker.now)


@pytest.mark.parametrize(
    "changes",
    [{"asked_ms": int(NOW * 1000) + 1}, {"address": STRANGER}, {"version": VERSION - 1}],
    ids=["not asked", "stranger", "earlier version"],
)
def test_reply_that_does_not_fit_the_question_or_the_known_configuration_confirms_nothing(changes):
    asker = Asker()
    assert not asker.receive(asker.ask(), **changes)


def test_later_version_at_the_holder_is_read_from_the_store_and_confirms_nothing():
    asker, fired = Asker(), []
    asker.node.follower.new_configuration = SimpleNamespace(fire=lambda: fired.append(asker.now))
    for _ in range(4):
        assert not asker.receive(asker.ask(), version=VERSION + 1)
        asker.now += 0.5
    # Each makes a call to the store.
    assert fired == [NOW, NOW + 1.0]


def test_duplicated_reply_makes_the_configuration_no_younger():
    asker = Asker()
    question = asker.ask()
    assert asker.receive(question)
    asker.now += LIMIT_S
    assert not asker.receive(question)


def test_questions_go_to_the_other_holders_once_the_local_one_confirms_nothing():
    asker = Asker()
    others = {"a": HOLDER, "b": ("127.0.0.3", 7000), "c": ("127.0.0.4", 7000)}
    asker.confirmations.list_holders = lambda: others
    asker.node.lease.lease_state.last_received_at = read_lease_clock()
    age = asker.node.view.versions.entry_age
    age.confirm_configuration(NOW, NOW)
    assert asker.confirmations.choose_holders(NOW + 1.0) == [HOLDER]
    assert asker.confirmations.choose_holders(NOW + 3.0) == list(others.values())
    asker.node.lease.lease_state.last_received_at = read_lease_clock() - 0.7
    assert asker.confirmations.choose_holders(NOW + 1.0) == list(others.values())
    asker.node.lease.lease_state.held = True
    assert asker.confirmations.choose_holders(NOW + 1.0) == []


@pytest.mark.parametrize("changes", [{"strict_revocation": False}, {}])
def test_nobody_is_asked_without_accounts_or_strict_revocation(changes):
    asker = Asker()
    if changes:
        asker.node.view.settings = make_settings(("127.0.0.1", 1), **changes)
    else:
        plain = make_configuration(make_route(), version=VERSION)
        asker.node.view.configuration = read_configuration(plain).unwrap()
    asker.confirmations.ask(NOW)
    assert not asker.sent and not asker.node.follower.must_confirm


@pytest.mark.parametrize("message", [ConfirmationQuestion(5), ConfirmationReply(5, 6, 7)])
def test_confirmation_messages_are_read_as_they_were_sent(message):
    assert unpack_message(pack_message(message)) == Success(message)
    later = pack_message(message).replace(b"confirmation_", b"configurated_")
    assert isinstance(unpack_message(later).unwrap(), UnknownMessage)
