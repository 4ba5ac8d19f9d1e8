"""Mutations of the code, at least one per guarantee, which show that the soak can fail."""

import shutil
import tempfile
from pathlib import Path

from attrs import frozen

ROOT = Path(__file__).parents[2]
SERVING = "rhubarbshed/coordination/serving"
EDGE = "rhubarbshed/transport/edge"
ENTRY_AGE = "rhubarbshed/state/membership/entry_age.py"


@frozen
class Mutation:
    """Replacement of `old` by `new` in a file; `promise` is the check that should fail."""

    promise: str
    path: str
    old: str
    new: str


ROWS = (
    (
        "once",
        f"{SERVING}/retry_budget.py",
        "if tries.run > 0 and not route.repeatable:\n        return False\n"
        "    if tries.run >= route.attempts_max:",
        "if tries.run >= 3:",
    ),
    (
        "not_run",
        f"{EDGE}/final_answers.py",
        "if progress.tries.run > 0:\n        return",
        "if 0:\n        return",
    ),
    (
        "not_run",
        f"{EDGE}/pools.py",
        "elif not request_id or not channel.has_carried(request_id):",
        "else:",
    ),
    (
        "not_run",
        f"{EDGE}/attempts.py",
        "self.in_step = False\n            if not head.request_id:\n"
        "                self.check_unnamed(head)\n",
        "if not head.request_id:\n",
    ),
    (
        "answers",
        f"{EDGE}/attempts.py",
        'caller_response.splitter.last_id if route.resumable else ""',
        '""',
    ),
    (
        "answers",
        "rhubarbshed/platform/headers.py",
        "if not (after and pair[0].lower() == LAST_EVENT_ID)",
        "if pair[0].lower() != LAST_EVENT_ID",
    ),
    ("versions", "standin/replica.py", '"Version": self.version,', '"Version": "v1",'),
    (
        "resumes",
        "rhubarbshed/platform/headers.py",
        "caller_timeout_s=None if patience_ms is None else",
        "caller_timeout_s=0.001 if LAST_EVENT_ID in values else",
    ),
    (
        "room",
        "rhubarbshed/state/placement/engine_states.py",
        "return len(set(self.adapters) | set(self.pending) | unconfirmed)",
        "return 0",
    ),
    (
        "holders",
        f"{EDGE}/lease.py",
        "return LEASE_PREFIX + self.data_centre",
        "return LEASE_PREFIX + self.data_centre + self.name",
    ),
    ("leaving", f"{EDGE}/follower.py", "elif record.missing_since is None:", "elif not server_id:"),
    ("leaving", f"{EDGE}/store.py", "era = read_era(answer.headers)", "era = None"),
    (
        "leaving",
        ENTRY_AGE,
        "        self._record_service(now, now, heartbeat_s)\n        if not misses_nothing",
        "        if not misses_nothing",
    ),
    ("leaving", ENTRY_AGE, "return min(now, self.changed_since)", "return now"),
    ("leaving", ENTRY_AGE, "heartbeat_s <= unknown_s", "0.1 <= unknown_s"),
    (
        "leaving",
        ENTRY_AGE,
        "now - measure_kept(drain_s)\n\n    def find_a",
        "now - drain_s\n\n    def find_a",
    ),
    (
        "recovery",
        ENTRY_AGE,
        "        if self.is_outage:\n            self._exp",
        "        if 0:\n            self._exp",
    ),
    (
        "holders",
        f"{EDGE}/lease.py",
        "is_latest = row.era == self.lease_state.era",
        "is_latest = True",
    ),
    (
        "configuration",
        f"{EDGE}/follower.py",
        "if known is not None and read.unwrap().version <= known.version:",
        "if known is not None:",
    ),
    ("final", f"{SERVING}/final_refusals.py", "return age_s <= apply_s", "return True"),
    (
        "stops",
        "rhubarbshed/coordination/requests/drain.py",
        "if pending == 0 or self.is_over(now):",
        "if passed_s:",
    ),
    (
        "stops",
        f"{EDGE}/view.py",
        "drain_s = max(0.0, settings.grace_s - ANNOUNCE_S - CLOSE_MARGIN_S)",
        "drain_s = 0.5",
    ),
    ("stops", "rhubarbshed/front.py", "noted = note_signals()", "noted = {}"),
    (
        "gone",
        f"{EDGE}/caller_connections.py",
        "            self.task.cancel()\n",
        "            pass\n",
    ),
    (
        "refusals",
        f"{SERVING}/refusals.py",
        "retryable=True, retry_after_s=after_s",
        "retryable=True",
    ),
    (
        "deadly",
        "rhubarbshed/coordination/requests/crash_quarantine.py",
        "        if not new:\n",
        "        if new is not None:\n",
    ),
    (
        "limits",
        f"{EDGE}/server_selection.py",
        "if record.limit_per_s is None:\n        return True",
        "if record:\n            return True",
    ),
    (
        "accounts",
        ENTRY_AGE,
        "return self.measure_configuration_age(now) < limit_s - margin_s",
        "return True",
    ),
    (
        "accounts",
        "rhubarbshed/platform/headers.py",
        "        KEY,\n        ACCOUNT,\n",
        "",
    ),
    ("own_ends", f"{EDGE}/node.py", "ticks += 1\n", "ticks += 1\n            assert ticks < 60\n"),
    (
        "recovery",
        f"{EDGE}/follower.py",
        "pause_s = min(PAUSE_LONGEST_S, pause_s * 2)",
        "pause_s = 3600.0",
    ),
)
MUTATIONS = tuple(Mutation(*row) for row in ROWS)


def apply_mutation(mutation: Mutation) -> Path:
    """Return a folder with a mutated copy of the programs."""
    folder = Path(tempfile.mkdtemp(prefix=f"mutated-{mutation.promise}-"))
    for name in ("rhubarbshed", "standin"):
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / mutation.path
    text = path.read_text(encoding="utf-8")
    if mutation.old not in text:
        raise ValueError(f"{mutation.path} has no {mutation.old!r}")
    path.write_text(text.replace(mutation.old, mutation.new, 1), encoding="utf-8")
    return folder
