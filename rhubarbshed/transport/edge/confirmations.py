"""Questions to order holders whether the known configuration is in force, and replies to others.

They go only where revoked keys must lose their validity in time (`strict_revocation`), and only
while the configuration has client accounts.
"""

import asyncio
import math
import random
from collections.abc import Callable

from attrs import define, field

from rhubarbshed.protocol.confirmation_messages import ConfirmationQuestion, ConfirmationReply
from rhubarbshed.protocol.messages import ConfirmationNews, Message
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.lease import LeaseClient
from rhubarbshed.util.clocks import read_lease_clock

QUESTION_INTERVAL_S = 0.5
"""Time between two questions: with the age of the holder's knowledge, an instance's own one stays
below half of the usual bound of 5 s."""

IDLE_INTERVAL_S = 1.0
"""Time between two checks whether keys have to be confirmed."""

QUESTION_SPREAD = 0.2
"""Random part of that time, so that instances that started together do not ask together."""

HOLDER_TIMEOUT_S = 0.6
"""Time without a message of the local holder after which the other holders are asked as well."""

OTHERS_AGE_FRACTION = 0.5
"""Fraction of the bound on revoked keys at whose age the other holders are asked as well: the local
one may have lost the store."""

QUESTIONS_KEPT = 16
"""Questions to which a reply is taken: those of the last eight seconds. A process that was started
again at the same address takes no reply to the one before it."""

READ_INTERVAL_S = 1.0
"""Shortest time between two reads of the store for a later version that holders name."""

Address = tuple[str, int]


@define(eq=False)
class Confirmations:
    """Confirmation of the known configuration by other instances; times are of the lease clock.

    `asked` are the addresses that each of the last questions went to, by its time in milliseconds.
    """

    follower: Follower
    lease: LeaseClient
    list_holders: Callable[[], dict[str, Address]]
    send: Callable[..., None]
    asked: dict[int, frozenset[Address]] = field(factory=dict)
    read_at: float = -math.inf
    rng: random.Random = field(factory=random.Random)
    read_clock: Callable[[], float] = read_lease_clock

    async def ask_repeatedly(self) -> None:
        """Ask order holders forever, while keys have to be confirmed."""
        while True:
            spread = 1.0 + QUESTION_SPREAD * (self.rng.random() - 0.5)
            interval_s = QUESTION_INTERVAL_S if self.follower.must_confirm else IDLE_INTERVAL_S
            await asyncio.sleep(interval_s * spread)
            self.ask(self.read_clock())

    def ask(self, now: float) -> None:
        """Ask the order holders that should know whether the configuration is in force."""
        if not self.follower.must_confirm:
            return
        addresses = self.choose_holders(now)
        if not addresses:
            return
        asked_ms = int(now * 1000.0)
        self.asked[asked_ms] = frozenset(addresses)
        while len(self.asked) > QUESTIONS_KEPT:
            del self.asked[next(iter(self.asked))]
        self.send(ConfirmationQuestion(asked_ms), *addresses)

    def choose_holders(self, now: float) -> list[Address]:
        """List the holders to ask: the local one, and the others if that may not be enough."""
        view = self.follower.view
        age_s = view.versions.entry_age.measure_configuration_age(now)
        is_old = age_s > OTHERS_AGE_FRACTION * view.settings.revocation_s
        if self.follower.is_holder() and not is_old:
            return []
        own = self.lease.holder_address
        others_due = is_old or self.lease.measure_silence() > HOLDER_TIMEOUT_S
        known = [] if own is None else [own]
        known += self.list_holders().values() if others_due else ()
        return [each for each in dict.fromkeys(known) if each != self.lease.address]

    def handle_message(self, message: ConfirmationNews, address: Address) -> None:
        """Answer a question of another instance, or take its reply."""
        now = self.read_clock()
        if isinstance(message, ConfirmationQuestion):
            reply = self.make_reply(message, now)
            if reply is not None:
                self.send(reply, address)
            return
        if address[:2] in self.asked.get(message.asked_ms, ()):
            self.apply_reply(message, now)

    def make_reply(self, question: ConfirmationQuestion, now: float) -> Message | None:
        """Return the reply to a question, None while nothing is confirmed here."""
        view = self.follower.view
        age_s = view.versions.entry_age.measure_configuration_age(now)
        if view.configuration is None or age_s == math.inf:
            return None
        return ConfirmationReply(
            question.asked_ms, view.configuration.version, math.ceil(age_s * 1000.0)
        )

    def apply_reply(self, reply: ConfirmationReply, now: float) -> None:
        """Confirm the known configuration, or have a later one read."""
        view = self.follower.view
        known = view.configuration.version if view.configuration is not None else 0
        if reply.version == known:
            asked_at = (reply.asked_ms - reply.age_ms) / 1000.0
            view.versions.entry_age.confirm_configuration(asked_at, now)
        elif reply.version > known and now - self.read_at >= READ_INTERVAL_S:
            self.read_at = now
            self.follower.new_configuration.fire()
