"""Measure the processor time of one decision on waiting requests.

python -m tools.turn_speed
"""

import random
import time

from rhubarbshed.coordination.serving.turns import Need, Ticket, Turns

COUNTS = (1, 10, 100, 1_000)
NEEDS = 200
RUNS = 21
NOW = 1_000.0


def main() -> None:
    """Print the median times of a pick, with and without a free slot, and of a position."""
    print("waiting  pick_us  pick_none_us  position_us")
    for count in COUNTS:
        rng = random.Random(1)
        tickets = [make_ticket(rng) for _ in range(count)]
        turns = Turns()
        for ticket in tickets:
            turns.count_request(ticket, NOW)
            turns.count_turn(ticket, NOW)
            turns.wait(ticket, NOW)
        picks, vain, positions = [], [], []
        for _ in range(RUNS):
            begun_at = time.process_time()
            picked = turns.pick(lambda _: True, NOW)
            picks.append(time.process_time() - begun_at)
            for ticket in picked:
                turns.wait(ticket, NOW)
            begun_at = time.process_time()
            turns.pick(lambda _: False, NOW)
            vain.append(time.process_time() - begun_at)
            ticket = make_ticket(rng)
            begun_at = time.process_time()
            turns.find_position(ticket, NOW)
            positions.append(time.process_time() - begun_at)
        medians = (sorted(found)[RUNS // 2] * 1e6 for found in (picks, vain, positions))
        print(f"{count:7} " + " ".join(f"{median:10.0f}" for median in medians))


def make_ticket(rng: random.Random) -> Ticket:
    """Return a request of one of 16 accounts and 5 routes, for one of many models."""
    target_s = rng.choice((0.3, 0.3, 0.3, 6.0))
    return Ticket(
        Need("engines", f"m{rng.randrange(NEEDS)}"),
        f"route{rng.randrange(5)}",
        f"account{rng.randrange(16)}",
        (rng.randrange(3), rng.randrange(3)),
        NOW + 0.1 * rng.random(),
        NOW + target_s,
        NOW + 0.5 * target_s,
        0.5,
    )


if __name__ == "__main__":
    main()
