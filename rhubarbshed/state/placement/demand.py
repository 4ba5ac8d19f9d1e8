"""Demand for each model, averaged over a fast and a slow window."""

import math

from attrs import Factory, define

from rhubarbshed.protocol.peers import DemandEntry, DemandUpdate
from rhubarbshed.protocol.placement import DemandReport, ModelDemand
from rhubarbshed.util.settings import PlacementSettings

SLOW_WINDOW_RATIO = 10.0
"""Length of the slow window, in fast windows."""

REPORT_AGE_WINDOWS = 2.0
"""Age at which a remote instance's report is dropped, in fast windows."""

RATE_MIN_PER_S = 1e-4
"""Rate in events per second below which a model is no longer listed."""

REPORTED_MODELS_MAX = 50
"""Most models in a report, the busiest ones."""

CHANGES_MAX = 5
"""Most changes in one update; the others wait for the next one."""

FULL_UPDATE_WINDOWS = 2.0
"""Time between two full updates, in fast windows."""

UPDATE_GAP_MAX_WINDOWS = 0.5
"""Longest time without an update, in fast windows; well below the age at which reports are
dropped."""

CHANGE_SHARE = 0.25
"""Least change of a rate that is reported, as a fraction of the rate reported before."""

CHANGE_EVENTS_MIN = 1.5
"""Least change of a rate that is reported, in events per fast window."""

RISE_DEVIATIONS = 1.0
FALL_DEVIATIONS = 2.0
"""Least rise and fall of a rate that are reported, in standard deviations of a count of random
events in a fast window."""

LEVEL_STEP = 1.1
"""Ratio of the rates of two successive levels."""

LEVEL_MAX = 255
"""Highest level, whose rate is above a million events per second."""

DATA_CENTRE_PREFIX = "data-centre/"
"""Prefix of the instance name in reports that hold the sum over a data centre."""


@define
class Rate:
    """Average events per second over an exponential window of `window_s` seconds."""

    window_s: float
    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count events that happened now."""
        self.value = self.read(now) + amount / self.window_s
        self.updated_at = max(now, self.updated_at)

    def read(self, now: float) -> float:
        """Return the rate as of now, in events per second."""
        age_s = max(0.0, now - self.updated_at)
        return self.value * math.exp(-age_s / self.window_s)


@define
class PairedRate:
    """Higher of the rates over a fast and a slow window: it rises fast and decays slowly."""

    fast: Rate
    slow: Rate

    @classmethod
    def from_window(cls, window_s: float, now: float) -> "PairedRate":
        """Make a rate with a fast window of that many seconds."""
        return cls(Rate(window_s, 0.0, now), Rate(window_s * SLOW_WINDOW_RATIO, 0.0, now))

    def add(self, amount: float, now: float) -> None:
        """Count events that happened now."""
        self.fast.add(amount, now)
        self.slow.add(amount, now)

    def read(self, now: float) -> float:
        """Return the higher of the two averages, in events per second."""
        return max(self.fast.read(now), self.slow.read(now))


@define
class ModelRates:
    """Rates of one model."""

    arrivals: PairedRate
    tokens: PairedRate
    refusals: PairedRate

    @classmethod
    def from_window(cls, window_s: float, now: float) -> "ModelRates":
        """Make rates with a fast window of that many seconds."""
        return cls(*(PairedRate.from_window(window_s, now) for _ in range(3)))

    def summarize(self, model: str, now: float) -> ModelDemand:
        """Return the rates as of now."""
        return ModelDemand(
            model, self.arrivals.read(now), self.tokens.read(now), self.refusals.read(now)
        )


@define
class RemoteReport:
    """Last report of another instance and when it was received."""

    report: DemandReport
    received_at: float


@define
class Demand:
    """Demand counted by this instance, and the reports of other instances."""

    instance: str
    window_s: float
    own: dict[str, ModelRates] = Factory(dict)
    remote: dict[str, RemoteReport] = Factory(dict)

    @classmethod
    def from_config(cls, instance: str, settings: PlacementSettings) -> "Demand":
        """Make an empty demand with the window from the settings."""
        return cls(instance, settings.demand_window_s)

    def record_arrival(self, model: str, now: float, count: int = 1) -> None:
        """Count requests for a model."""
        self._rates(model, now).arrivals.add(count, now)

    def record_tokens(self, model: str, tokens: int, now: float) -> None:
        """Count output tokens of a model."""
        self._rates(model, now).tokens.add(tokens, now)

    def record_refusal(self, model: str, now: float, count: int = 1) -> None:
        """Count requests refused because there was no room."""
        self._rates(model, now).refusals.add(count, now)

    def report_busiest(self, now: float) -> DemandReport:
        """Return the report of the busiest models, for a digest of bounded size."""
        return _keep_busiest(self.report(now))

    def report_data_centre(self, data_centre: str, now: float) -> DemandReport:
        """Return the sum over the instances of the own data centre, for the other data centres."""
        name = DATA_CENTRE_PREFIX + data_centre
        return _keep_busiest(DemandReport(name, self._sum_reports(now, include_data_centres=False)))

    def report(self, now: float) -> DemandReport:
        """Return this instance's own demand, and drop idle models."""
        figures = [rates.summarize(name, now) for name, rates in sorted(self.own.items())]
        busy = [figure for figure in figures if _is_busy(figure)]
        self.own = {figure.model: self.own[figure.model] for figure in busy}
        return DemandReport(self.instance, tuple(busy))

    def merge(self, report: DemandReport, now: float) -> None:
        """Replace the report of another instance."""
        if report.instance != self.instance:
            self.remote[report.instance] = RemoteReport(report, now)

    def apply_update(self, update: DemandUpdate, now: float) -> None:
        """Apply an update of another instance; an incomplete one leaves other models unchanged."""
        known = self.remote.get(update.instance)
        if known is None or update.whole:
            models = {}
        else:
            models = {figure.model: figure for figure in known.report.models}
        for entry in update.entries:
            models[entry.model] = _decode_entry(entry)
        busy = tuple(figure for figure in models.values() if _is_busy(figure))
        self.merge(DemandReport(update.instance, busy), now)

    def summarize(self, now: float) -> tuple[ModelDemand, ...]:
        """Return the demand over all instances, by model name, after dropping old reports."""
        age_max_s = self.window_s * REPORT_AGE_WINDOWS
        self.remote = {
            name: remote
            for name, remote in self.remote.items()
            if now - remote.received_at <= age_max_s
        }
        return self._sum_reports(now, include_data_centres=True)

    def _sum_reports(self, now: float, include_data_centres: bool) -> tuple[ModelDemand, ...]:
        """Add up own and remote reports, sums of data centres only with `include_data_centres`."""
        reported = [remote.report for remote in self.remote.values()]
        kept = [
            each
            for each in reported
            if include_data_centres or not each.instance.startswith(DATA_CENTRE_PREFIX)
        ]
        total: dict[str, ModelDemand] = {}
        for report in sorted([self.report(now), *kept], key=lambda each: each.instance):
            for figure in report.models:
                total[figure.model] = _add(total.get(figure.model), figure)
        return tuple(total[name] for name in sorted(total))

    def _rates(self, model: str, now: float) -> ModelRates:
        if model not in self.own:
            self.own[model] = ModelRates.from_window(self.window_s, now)
        return self.own[model]


def _keep_busiest(report: DemandReport) -> DemandReport:
    return DemandReport(report.instance, tuple(_rank(report)[:REPORTED_MODELS_MAX]))


def _rank(report: DemandReport) -> list[ModelDemand]:
    return sorted(report.models, key=lambda figure: (-figure.arrivals_per_s, figure.model))


def _is_busy(figure: ModelDemand) -> bool:
    return max(figure.arrivals_per_s, figure.refusals_per_s) >= RATE_MIN_PER_S


def _add(one: ModelDemand | None, other: ModelDemand) -> ModelDemand:
    if one is None:
        return other
    return ModelDemand(
        one.model,
        one.arrivals_per_s + other.arrivals_per_s,
        one.tokens_per_s + other.tokens_per_s,
        one.refusals_per_s + other.refusals_per_s,
    )


@define
class DemandOutbox:
    """Demand last reported to peers, so that only changes are sent.

    Regular full updates make up for updates that were lost.
    """

    window_s: float
    reported: dict[str, ModelDemand] = Factory(dict)
    reported_at: float = float("-inf")
    full_update_at: float = float("-inf")

    def collect(self, report: DemandReport, now: float) -> DemandUpdate | None:
        """Return the update that is due, or None."""
        if now - self.full_update_at >= self.window_s * FULL_UPDATE_WINDOWS:
            self.full_update_at = self.reported_at = now
            busiest = _keep_busiest(report)
            self.reported = {figure.model: figure for figure in busiest.models}
            return make_whole_update(busiest)
        changes = self._list_changes(report)
        if not changes and now - self.reported_at < self.window_s * UPDATE_GAP_MAX_WINDOWS:
            return None
        self.reported_at = now
        for figure in changes:
            self._record_reported(figure)
        return DemandUpdate(report.instance, tuple(_encode_entry(figure) for figure in changes))

    def _list_changes(self, report: DemandReport) -> tuple[ModelDemand, ...]:
        """List the largest changes among the busiest models and those reported before."""
        figures = {figure.model: figure for figure in report.models}
        names = {figure.model for figure in _keep_busiest(report).models} | set(self.reported)
        candidates = [figures.get(name, ModelDemand(name)) for name in sorted(names)]
        sizes = [(self._measure_change(figure), figure) for figure in candidates]
        changed = [(size, figure) for size, figure in sizes if size > 1.0]
        changed.sort(key=lambda pair: pair[0], reverse=True)
        return tuple(figure for _, figure in changed[:CHANGES_MAX])

    def _measure_change(self, figure: ModelDemand) -> float:
        """Return the change since the last report, as a multiple of the least reported change."""
        reported = self.reported.get(figure.model, ModelDemand(figure.model))
        return max(
            self._compare(reported.arrivals_per_s, figure.arrivals_per_s),
            self._compare(reported.refusals_per_s, figure.refusals_per_s),
        )

    def _compare(self, reported: float, rate: float) -> float:
        deviations = RISE_DEVIATIONS if rate > reported else FALL_DEVIATIONS
        noise = deviations * math.sqrt(reported / self.window_s)
        least = max(CHANGE_SHARE * reported, noise, CHANGE_EVENTS_MIN / self.window_s)
        return abs(rate - reported) / least

    def _record_reported(self, figure: ModelDemand) -> None:
        if _is_busy(figure):
            self.reported[figure.model] = figure
        else:
            self.reported.pop(figure.model, None)


def make_whole_update(report: DemandReport, remote: bool = False) -> DemandUpdate:
    """Make an update that replaces all earlier ones."""
    entries = tuple(_encode_entry(figure) for figure in report.models)
    return DemandUpdate(report.instance, entries, whole=True, remote=remote)


def encode_rate(rate: float) -> int:
    """Return the level nearest to a rate in events per second; level 0 stands for no rate."""
    if rate < RATE_MIN_PER_S:
        return 0
    return min(LEVEL_MAX, 1 + round(math.log(rate / RATE_MIN_PER_S, LEVEL_STEP)))


def decode_rate(level: int) -> float:
    """Return the rate of a level in events per second; a level out of bounds is clamped."""
    if level <= 0:
        return 0.0
    return RATE_MIN_PER_S * LEVEL_STEP ** (min(level, LEVEL_MAX) - 1)


def _encode_entry(figure: ModelDemand) -> DemandEntry:
    rates = (figure.arrivals_per_s, figure.tokens_per_s, figure.refusals_per_s)
    return DemandEntry(figure.model, *(encode_rate(rate) for rate in rates))


def _decode_entry(entry: DemandEntry) -> ModelDemand:
    levels = (entry.arrivals, entry.tokens, entry.refusals)
    return ModelDemand(entry.model, *(decode_rate(level) for level in levels))
