"""Measure the policy of the request path against baselines, on a small fleet and seeded load.

Times are scaled down: an answer takes 2.4 s, a burst comes within a second, and a case lasts 10 to
14 s. The lags of reports are as shipped, so they weigh about three times as much as at full scale.
All policies of a case get the same requests at the same times.
"""

import asyncio
import os
import random
import signal
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import typer
from attrs import field, frozen

from tools.fleet import GIB, Fleet, ask, post
from tools.load import find_percentile
from tools.policy_instance import LEAST_CONNECTIONS, POLICY_VARIABLE, ROUND_ROBIN
from tools.policy_load import Outcome, Planned, run_plan
from tools.policy_oracle import Batch, count_in_target
from tools.processes import Process, wait_until

POLICIES = ("rhubarbshed", ROUND_ROBIN, LEAST_CONNECTIONS)
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
ENGINES = 5
REPLICAS = 3
BATCH = Batch(slots=16, knee=12, token_gap_s=0.040, prefill_tokens_per_s=8000.0)
READY_TIMEOUT_S = 30.0
SETTLE_S = 1.5
SETTINGS = """
[log]
level = warning
[placement]
interval_s = 0.5
[routing]
first_byte_timeout_s = 4.0
gap_timeout_s = 1.0
[weight_store]
loads_per_s = 50
[shutdown]
announce_s = 0.1
drain_s = 2.0
"""
MODELS = ("sermon-summary", "drafting")
TICKET = {
    "number": 1,
    "objects": [
        *(
            {
                "kind": "model",
                "name": name,
                "version": "1",
                "memory_bytes": 8 * GIB,
                "replicas_min": ENGINES,
            }
            for name in MODELS
        ),
        {
            "kind": "service",
            "name": "records",
            "backend_servers": [f"records-{number}" for number in range(REPLICAS)],
            "answer_target_s": 0.5,
        },
    ],
}
WORDS = ("sermon", "psalm", "index", "homily", "ledger", "return", "barley", "litre", "draft")
PREAMBLES = 24
PREAMBLE_WORDS = 64
QUESTION_WORDS = 16
POISON = "unheard-of-word"
STALL_DURATION_S = 5.0

Deed = tuple[float, Callable[[], object]]


@frozen
class Case:
    """Describe one case: the requests of a seed, and what befalls the fleet."""

    name: str
    make_plan: Callable[[random.Random], list[Planned]]
    make_deeds: Callable[[Fleet], list[Deed]] = field(default=lambda fleet: [])
    has_oracle: bool = False


def make_prompt(randomness: random.Random) -> str:
    """Return a prompt of one of a few conversations, with a question of its own."""
    shared = random.Random(randomness.randrange(PREAMBLES))
    words = [shared.choice(WORDS) for _ in range(PREAMBLE_WORDS)]
    words += [
        f"{randomness.choice(WORDS)}{randomness.randrange(1000)}" for _ in range(QUESTION_WORDS)
    ]
    return " ".join(words)


def draw_arrivals(randomness: random.Random, steps: tuple[tuple[float, float], ...]) -> list[float]:
    """Return random times of arrivals; each step holds its length in seconds and its rate."""
    times = []
    begun = 0.0
    for length_s, per_s in steps:
        at = begun + randomness.expovariate(per_s)
        while at < begun + length_s:
            times.append(at)
            at += randomness.expovariate(per_s)
        begun += length_s
    return times


def plan_model(
    randomness: random.Random,
    group: str,
    steps: tuple[tuple[float, float], ...],
    model: str = MODELS[0],
    **fields: object,
) -> list[Planned]:
    """Return requests to a model."""
    return [
        Planned(
            name=f"{group}-{number}",
            at=at,
            caller=f"caller-{randomness.randrange(40)}",
            model=model,
            prompt=make_prompt(randomness),
            group=group,
            **fields,
        )
        for number, at in enumerate(draw_arrivals(randomness, steps))
    ]


def plan_burst(randomness: random.Random) -> list[Planned]:
    """Plan Sunday: tenfold demand of one model, with batch behind it."""
    steps = ((3.0, 5.0), (1.0, 25.0), (8.0, 50.0), (2.0, 5.0))
    batch = {"priority": 2, "target_s": 12.0, "patience_s": 10.0, "tokens": 100}
    return [
        *plan_model(randomness, "sunday", steps),
        *plan_model(randomness, "batch", ((14.0, 2.0),), MODELS[1], **batch),
    ]


def plan_deadline(randomness: random.Random) -> list[Planned]:
    """Plan a tax deadline: filings of many small callers, and drafting besides."""
    steps = ((2.0, 15.0), (4.0, 60.0), (4.0, 130.0))
    filings = [
        Planned(
            name=f"filing-{randomness.getrandbits(64):016x}",
            at=at,
            caller=f"brewery-{randomness.randrange(300)}",
            service="records",
            group="filing",
            target_s=0.5,
        )
        for at in draw_arrivals(randomness, steps)
    ]
    return [*filings, *plan_model(randomness, "draft", ((10.0, 10.0),), MODELS[1], priority=1)]


def plan_steady(randomness: random.Random, per_s: float = 15.0) -> list[Planned]:
    """Plan a steady load that four of the engines could carry."""
    return plan_model(randomness, "steady", ((10.0, per_s),))


def plan_poison(randomness: random.Random) -> list[Planned]:
    """Plan a steady load, and ten copies of a request that crashes each engine that runs it."""
    copies = [
        Planned(
            name=f"poison-{number}",
            at=2.0 + 0.4 * number,
            caller=f"caller-{number}",
            model=MODELS[0],
            prompt=POISON,
            group="poison",
        )
        for number in range(10)
    ]
    return [*plan_steady(randomness, 10.0), *copies]


def kill_engine(fleet: Fleet) -> list[Deed]:
    """End an engine's process for good in the midst of the load."""
    return [(3.0, fleet.backend_servers["engine-0"].kill)]


def silence_engine(fleet: Fleet) -> list[Deed]:
    """Let the open connections of an engine go silent for good."""
    url = fleet.backend_servers["engine-0"].url + "/fault"
    return [(at, partial(post, url, {"kind": "silent"})) for at in (3.0, 6.0)]


def stall_engine(fleet: Fleet) -> list[Deed]:
    """Stop an engine's process for a while: its port takes connections, and nothing is answered."""
    process = fleet.backend_servers["engine-0"].popen
    return [
        (3.0, partial(process.send_signal, signal.SIGSTOP)),
        (3.0 + STALL_DURATION_S, partial(process.send_signal, signal.SIGCONT)),
    ]


def set_poison(fleet: Fleet) -> list[Deed]:
    """Make a text crash all engines."""

    def act() -> None:
        for name, process in fleet.backend_servers.items():
            if name.startswith("engine"):
                post(process.url + "/fault", {"kind": "crash_on", "text": POISON})

    return [(0.0, act)]


CASES = (
    Case("burst", plan_burst, has_oracle=True),
    Case("deadline", plan_deadline),
    Case("death", plan_steady, kill_engine),
    Case("silence", plan_steady, silence_engine),
    Case("stall", plan_steady, stall_engine),
    Case("poison", plan_poison, set_poison),
)


def start_fleet(policy: str) -> Fleet:
    """Start a fleet whose instances follow a policy, with all models in all engines."""
    fleet = Fleet.from_options(SETTINGS, list_lag_s=0.1)
    fleet.module = "tools.policy_instance"
    fleet.environment = {POLICY_VARIABLE: policy}
    options = (
        *("--slots", str(BATCH.slots), "--knee", str(BATCH.knee)),
        *("--token-gap-ms", str(BATCH.token_gap_s * 1000), "--load-s", "0.05"),
        *("--prefill-tokens-per-s", str(BATCH.prefill_tokens_per_s), "--restart-s", "0.5"),
        *("--cache-bytes", "40000000"),
    )
    service = ("--slots", "4", "--service-ms", "60")
    with ThreadPoolExecutor(ENGINES + REPLICAS) as pool:
        work = [
            pool.submit(fleet.add_engine, f"engine-{n}", DATA_CENTRES[n % 3], *options)
            for n in range(ENGINES)
        ]
        work += [
            pool.submit(fleet.add_service, f"records-{n}", DATA_CENTRES[n % 3], *service)
            for n in range(REPLICAS)
        ]
        for each in work:
            each.result()
        names = [("a", "dc-1"), ("b", "dc-2"), ("c", "dc-3")]
        list(pool.map(lambda pair: fleet.add_instance(*pair), names))
    fill(fleet)
    return fleet


def fill(fleet: Fleet) -> None:
    """Apply the ticket and wait until every instance knows all copies."""

    def is_filled() -> bool:
        pages = [fleet.ask_operator(name, "GET", "/models")[1] for name in fleet.instances]
        rows = [row for page in pages for row in page]
        return len(rows) == len(MODELS) * len(pages) and all(
            row["copies"] == ENGINES for row in rows
        )

    status, receipt = fleet.ask_operator("a", "POST", "/tickets", TICKET)
    if status != 200 or not wait_until(is_filled, READY_TIMEOUT_S):
        raise RuntimeError(f"the fleet was not filled: {status} {receipt}")
    time.sleep(SETTLE_S)


def read_counters(process: Process) -> dict:
    """Return a stand-in's counters, none where it has been killed."""
    if process.popen.poll() is not None:
        return {}
    return ask("GET", process.url + "/counters")[1]


def run_case(case: Case, policy: str, seed: int) -> dict[str, object]:
    """Run a case under a policy and return its figures."""
    plan = case.make_plan(random.Random(f"{case.name}-{seed}"))
    fleet = start_fleet(policy)
    try:
        ports = tuple(instance.ports[0] for instance in fleet.instances.values())
        before = {name: read_counters(each) for name, each in fleet.backend_servers.items()}
        outcomes = asyncio.run(run_plan(ports, plan, case.make_deeds(fleet)))
        after = {name: read_counters(each) for name, each in fleet.backend_servers.items()}
    finally:
        fleet.stop()
    return {
        "case": case.name,
        "policy": policy,
        **summarize(outcomes),
        **summarize_servers(before, after, outcomes),
    }


def summarize(outcomes: list[Outcome]) -> dict[str, object]:
    """Return the figures of callers; a request counts once, from its first try."""
    innocent = [each for each in outcomes if each.planned.group != "poison"]
    in_target = sum(each.in_target for each in innocent)
    first = [each.first_token_s for each in innocent if each.end == "whole"]
    ends = [each.end for each in innocent]
    groups = sorted({each.planned.group for each in innocent})
    return {
        "requests": len(innocent),
        "per_accel": round(in_target / ENGINES, 1),
        "in_target": round(in_target / len(innocent), 3),
        **{f"in_{name}": share_in_target(innocent, name) for name in groups[:2] if groups[1:]},
        "whole": round(ends.count("whole") / len(ends), 3),
        "refused": sum(each.refusals for each in innocent),
        "not_run": ends.count("not_run"),
        "failed": ends.count("failed"),
        "unknown": ends.count("unknown"),
        "not_final": sum(end in ("cut", "no_answer", "wrong") for end in ends),
        "p50_ms": round(find_percentile(first, 50) * 1000),
        "p95_ms": round(find_percentile(first, 95) * 1000),
        "codes": describe_codes(innocent),
    }


def share_in_target(outcomes: list[Outcome], group: str) -> float:
    """Return the share of a group's requests within their target."""
    found = [each.in_target for each in outcomes if each.planned.group == group]
    return round(sum(found) / len(found), 3)


def summarize_servers(before: dict, after: dict, outcomes: list[Outcome]) -> dict[str, object]:
    """Return the figures of backend servers: moves, crashes, cached prompts, doubled runs."""

    def grow(key: str) -> float:
        return sum(after[n].get(key, 0) - before[n].get(key, 0) for n in after if after[n])

    runs: dict[str, int] = {}
    for counters in after.values():
        for key, number in counters.get("runs_by_key", {}).items():
            runs[key] = runs.get(key, 0) + number
    false_not_run = sum(
        each.end == "not_run" and each.planned.name in runs
        for each in outcomes
        if each.planned.service
    )
    return {
        "moves": int(grow("loads") + grow("unloads")),
        "crashes": int(grow("crashes")),
        "cached": round(grow("prompt_tokens_cached") / max(1.0, grow("prompt_tokens")), 2),
        "doubled": sum(number > 1 for number in runs.values()),
        "false_not_run": false_not_run,
    }


def describe_codes(outcomes: list[Outcome]) -> str:
    """Return how often each code ended a request."""
    codes: dict[str, int] = {}
    for each in outcomes:
        if each.end != "whole":
            codes[each.code or each.end] = codes.get(each.code or each.end, 0) + 1
    return ",".join(f"{code}:{number}" for code, number in sorted(codes.items()))


def run_oracle(case: Case, seed: int) -> dict[str, object]:
    """Return the bound of a case: one queue over all engines with exact knowledge."""
    plan = case.make_plan(random.Random(f"{case.name}-{seed}"))
    in_target = count_in_target(plan, ENGINES, BATCH)
    total = sum(in_target.values())
    return {
        "case": case.name,
        "policy": "oracle",
        "requests": len(plan),
        "per_accel": round(total / ENGINES, 1),
        "in_target": round(total / len(plan), 3),
        **{
            f"in_{name}": round(number / sum(each.group == name for each in plan), 3)
            for name, number in sorted(in_target.items())
        },
    }


def print_row(figures: dict[str, object]) -> None:
    """Print one line of a measurement."""
    print(" ".join(f"{name}={value}" for name, value in figures.items()), flush=True)


def main(seed: int = 1, only: str = "", policy: str = "") -> None:
    """Run all cases under all policies, or `only` one case, or one `policy`."""
    load = " ".join(f"{each:.1f}" for each in os.getloadavg())
    print_row({"event": "policy", "seed": seed, "load_average": load.replace(" ", "/")})
    for case in CASES:
        if only and case.name != only:
            continue
        for name in POLICIES:
            if not policy or name == policy:
                print_row(run_case(case, name, seed))
        if case.has_oracle:
            print_row(run_oracle(case, seed))


if __name__ == "__main__":
    typer.run(main)
