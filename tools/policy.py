"""Compare the request routing policy with baselines on a small fleet under seeded load.

Times are scaled down: an answer takes 2.4 s, a burst builds up within a second, and a case lasts 10
to 14 s. Report intervals keep their defaults, so their effect is about three times that at full
scale. All policies of a case get the same requests at the same times.
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
from tools.policy_load import PlannedRequest, RequestOutcome, run_plan
from tools.policy_oracle import EngineSpeed, count_in_target
from tools.processes import Process, wait_until

POLICIES = ("rhubarbshed", ROUND_ROBIN, LEAST_CONNECTIONS)
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
ENGINES = 5
REPLICAS = 3
ENGINE_SPEED = EngineSpeed(slots=16, knee=12, token_gap_s=0.040, prefill_tokens_per_s=8000.0)
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
POISON_PROMPT = "unheard-of-word"
STALL_DURATION_S = 5.0

TimedAction = tuple[float, Callable[[], object]]


@frozen
class Case:
    """Test case: the requests for a seed, and the faults injected into the fleet."""

    name: str
    make_plan: Callable[[random.Random], list[PlannedRequest]]
    make_actions: Callable[[Fleet], list[TimedAction]] = field(default=lambda fleet: [])
    has_oracle: bool = False


def make_prompt(rng: random.Random) -> str:
    """Return a prompt with one of a few shared preambles and a unique question."""
    preamble_rng = random.Random(rng.randrange(PREAMBLES))
    words = [preamble_rng.choice(WORDS) for _ in range(PREAMBLE_WORDS)]
    words += [f"{rng.choice(WORDS)}{rng.randrange(1000)}" for _ in range(QUESTION_WORDS)]
    return " ".join(words)


def draw_arrivals(rng: random.Random, steps: tuple[tuple[float, float], ...]) -> list[float]:
    """Return Poisson arrival times; each step is a length in seconds and a rate per second."""
    times = []
    step_started_at = 0.0
    for length_s, per_s in steps:
        arrives_at = step_started_at + rng.expovariate(per_s)
        while arrives_at < step_started_at + length_s:
            times.append(arrives_at)
            arrives_at += rng.expovariate(per_s)
        step_started_at += length_s
    return times


def plan_model(
    rng: random.Random,
    group: str,
    steps: tuple[tuple[float, float], ...],
    model: str = MODELS[0],
    **fields: object,
) -> list[PlannedRequest]:
    """Return requests to a model with random arrivals."""
    return [
        PlannedRequest(
            name=f"{group}-{number}",
            arrives_at=arrives_at,
            caller=f"caller-{rng.randrange(40)}",
            model=model,
            prompt=make_prompt(rng),
            group=group,
            **fields,
        )
        for number, arrives_at in enumerate(draw_arrivals(rng, steps))
    ]


def plan_burst(rng: random.Random) -> list[PlannedRequest]:
    """Plan a Sunday burst: tenfold demand for one model, with batch requests in the background."""
    steps = ((3.0, 5.0), (1.0, 25.0), (8.0, 50.0), (2.0, 5.0))
    batch = {"priority": 2, "target_s": 12.0, "patience_s": 10.0, "tokens": 100}
    return [
        *plan_model(rng, "sunday", steps),
        *plan_model(rng, "batch", ((14.0, 2.0),), MODELS[1], **batch),
    ]


def plan_deadline(rng: random.Random) -> list[PlannedRequest]:
    """Plan a tax deadline: filings from many small callers, alongside drafting requests."""
    steps = ((2.0, 15.0), (4.0, 60.0), (4.0, 130.0))
    filings = [
        PlannedRequest(
            name=f"filing-{rng.getrandbits(64):016x}",
            arrives_at=arrives_at,
            caller=f"brewery-{rng.randrange(300)}",
            service="records",
            group="filing",
            target_s=0.5,
        )
        for arrives_at in draw_arrivals(rng, steps)
    ]
    return [*filings, *plan_model(rng, "draft", ((10.0, 10.0),), MODELS[1], priority=1)]


def plan_steady(rng: random.Random, per_s: float = 15.0) -> list[PlannedRequest]:
    """Plan a steady load that four of the engines could carry."""
    return plan_model(rng, "steady", ((10.0, per_s),))


def plan_poison(rng: random.Random) -> list[PlannedRequest]:
    """Plan a steady load with ten copies of a request that crashes any engine running it."""
    copies = [
        PlannedRequest(
            name=f"poison-{number}",
            arrives_at=2.0 + 0.4 * number,
            caller=f"caller-{number}",
            model=MODELS[0],
            prompt=POISON_PROMPT,
            group="poison",
        )
        for number in range(10)
    ]
    return [*plan_steady(rng, 10.0), *copies]


def kill_engine(fleet: Fleet) -> list[TimedAction]:
    """Kill an engine's process permanently during the load."""
    return [(3.0, fleet.backend_servers["engine-0"].kill)]


def hang_engine_connections(fleet: Fleet) -> list[TimedAction]:
    """Make the open connections of an engine hang permanently."""
    url = fleet.backend_servers["engine-0"].url + "/fault"
    return [(at, partial(post, url, {"kind": "silent"})) for at in (3.0, 6.0)]


def stall_engine(fleet: Fleet) -> list[TimedAction]:
    """Suspend an engine's process: its port accepts connections but nothing is answered."""
    process = fleet.backend_servers["engine-0"].popen
    return [
        (3.0, partial(process.send_signal, signal.SIGSTOP)),
        (3.0 + STALL_DURATION_S, partial(process.send_signal, signal.SIGCONT)),
    ]


def set_poison(fleet: Fleet) -> list[TimedAction]:
    """Make all engines crash on a given prompt."""

    def set_faults() -> None:
        for name, process in fleet.backend_servers.items():
            if name.startswith("engine"):
                post(process.url + "/fault", {"kind": "crash_on", "text": POISON_PROMPT})

    return [(0.0, set_faults)]


CASES = (
    Case("burst", plan_burst, has_oracle=True),
    Case("deadline", plan_deadline),
    Case("death", plan_steady, kill_engine),
    Case("silence", plan_steady, hang_engine_connections),
    Case("stall", plan_steady, stall_engine),
    Case("poison", plan_poison, set_poison),
)


def start_fleet(policy: str) -> Fleet:
    """Start a fleet whose instances use a policy, with all models loaded on all engines."""
    fleet = Fleet.from_options(SETTINGS, list_lag_s=0.1)
    fleet.module = "tools.policy_instance"
    fleet.environment = {POLICY_VARIABLE: policy}
    options = (
        *("--slots", str(ENGINE_SPEED.slots), "--knee", str(ENGINE_SPEED.knee)),
        *("--token-gap-ms", str(ENGINE_SPEED.token_gap_s * 1000), "--load-s", "0.05"),
        *("--prefill-tokens-per-s", str(ENGINE_SPEED.prefill_tokens_per_s), "--restart-s", "0.5"),
        *("--cache-bytes", "40000000"),
    )
    service = ("--slots", "4", "--service-ms", "60")
    with ThreadPoolExecutor(ENGINES + REPLICAS) as pool:
        starting = [
            pool.submit(fleet.add_engine, f"engine-{n}", DATA_CENTRES[n % 3], *options)
            for n in range(ENGINES)
        ]
        starting += [
            pool.submit(fleet.add_service, f"records-{n}", DATA_CENTRES[n % 3], *service)
            for n in range(REPLICAS)
        ]
        for each in starting:
            each.result()
        names = [("a", "dc-1"), ("b", "dc-2"), ("c", "dc-3")]
        list(pool.map(lambda pair: fleet.add_instance(*pair), names))
    load_models(fleet)
    return fleet


def load_models(fleet: Fleet) -> None:
    """Apply the ticket and wait until every instance sees all copies."""

    def is_filled() -> bool:
        pages = [fleet.ask_operator(name, "GET", "/models")[1] for name in fleet.instances]
        rows = [row for page in pages for row in page]
        return len(rows) == len(MODELS) * len(pages) and all(
            row["copies"] == ENGINES for row in rows
        )

    status, receipt = fleet.ask_operator("a", "POST", "/tickets", TICKET)
    if status != 200 or not wait_until(is_filled, READY_TIMEOUT_S):
        raise RuntimeError(f"models were not loaded on all engines: {status} {receipt}")
    time.sleep(SETTLE_S)


def read_counters(process: Process) -> dict:
    """Return a stand-in's counters, empty if its process has ended."""
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
        outcomes = asyncio.run(run_plan(ports, plan, case.make_actions(fleet)))
        after = {name: read_counters(each) for name, each in fleet.backend_servers.items()}
    finally:
        fleet.stop()
    return {
        "case": case.name,
        "policy": policy,
        **summarize(outcomes),
        **summarize_servers(before, after, outcomes),
    }


def summarize(outcomes: list[RequestOutcome]) -> dict[str, object]:
    """Return the figures as callers see them; a request counts once, from its first attempt."""
    measured = [each for each in outcomes if each.planned.group != "poison"]
    in_target = sum(each.in_target for each in measured)
    first = [each.first_token_s for each in measured if each.end == "whole"]
    ends = [each.end for each in measured]
    groups = sorted({each.planned.group for each in measured})
    return {
        "requests": len(measured),
        "per_accel": round(in_target / ENGINES, 1),
        "in_target": round(in_target / len(measured), 3),
        **{
            f"in_{name}": compute_fraction_in_target(measured, name)
            for name in groups[:2]
            if groups[1:]
        },
        "whole": round(ends.count("whole") / len(ends), 3),
        "refused": sum(each.refusals for each in measured),
        "not_run": ends.count("not_run"),
        "failed": ends.count("failed"),
        "unknown": ends.count("unknown"),
        "not_final": sum(end in ("cut", "no_answer", "wrong") for end in ends),
        "p50_ms": round(find_percentile(first, 50) * 1000),
        "p95_ms": round(find_percentile(first, 95) * 1000),
        "codes": describe_codes(measured),
    }


def compute_fraction_in_target(outcomes: list[RequestOutcome], group: str) -> float:
    """Return the fraction of a group's requests that met their target."""
    found = [each.in_target for each in outcomes if each.planned.group == group]
    return round(sum(found) / len(found), 3)


def summarize_servers(
    before: dict, after: dict, outcomes: list[RequestOutcome]
) -> dict[str, object]:
    """Return the figures of backend servers: moves, crashes, cached prompts, repeated runs."""

    def measure_growth(key: str) -> float:
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
        "moves": int(measure_growth("loads") + measure_growth("unloads")),
        "crashes": int(measure_growth("crashes")),
        "cached": round(
            measure_growth("prompt_tokens_cached") / max(1.0, measure_growth("prompt_tokens")), 2
        ),
        "doubled": sum(number > 1 for number in runs.values()),
        "false_not_run": false_not_run,
    }


def describe_codes(outcomes: list[RequestOutcome]) -> str:
    """Return the number of failed requests by error code."""
    codes: dict[str, int] = {}
    for each in outcomes:
        if each.end != "whole":
            codes[each.code or each.end] = codes.get(each.code or each.end, 0) + 1
    return ",".join(f"{code}:{number}" for code, number in sorted(codes.items()))


def run_oracle(case: Case, seed: int) -> dict[str, object]:
    """Return the upper bound of a case: one queue over all engines with exact state."""
    plan = case.make_plan(random.Random(f"{case.name}-{seed}"))
    in_target = count_in_target(plan, ENGINES, ENGINE_SPEED)
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
    """Print figures as one line of key=value pairs."""
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
