"""Client accounts of a configuration: their keys, priorities and limits."""

import enum
from collections.abc import Mapping

from attrs import field, frozen

from rhubarbshed.protocol.exchanges import CallerRequest


class LimitUnit(enum.Enum):
    """What an account's limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@frozen
class AccountLimit:
    """Limit of an account over all instances: `rate_per_s` and `burst` in its unit.

    In tokens, a request that states none counts as `plain_tokens`.
    """

    rate_per_s: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    plain_tokens: float = 1.0

    def measure_cost(self, request: CallerRequest) -> float:
        """Return what a request takes of the limit, in its unit."""
        if self.unit is LimitUnit.REQUESTS:
            return 1.0
        if not request.states_tokens:
            return self.plain_tokens
        return float(request.prompt_tokens + request.output_tokens_max)


@frozen
class Account:
    """Client account; `priority` 0 goes first, None if the route's decides.

    Its keys are not part of it, so that they get into no log line.
    """

    name: str
    priority: int | None = None
    limit: AccountLimit | None = None


@frozen
class AccountProblem:
    """What could not be read of an account, and what holds for its keys because of that."""

    name: str
    reason: str
    effect: str


@frozen
class Accounts:
    """All accounts of a configuration by key.

    Requests with one of `unreadable_keys`, each with the name of its account, are refused for as
    long as the problem lasts. `is_readable` is False if the keys are not known at all.
    """

    by_key: Mapping[str, Account] = field(factory=dict, repr=False)
    unreadable_keys: Mapping[str, str] = field(factory=dict, repr=False)
    problems: tuple[AccountProblem, ...] = ()
    is_readable: bool = True

    def list_accounts(self) -> list[Account]:
        """List the accounts that have a key, each once."""
        return list({account.name: account for account in self.by_key.values()}.values())
