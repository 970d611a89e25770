"""Counters, gauges and latency histograms of one process, as JSON and as Prometheus text."""

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 3_600_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS_PER_S = 1_000_000
MAX_PENDING_DURATIONS = 4_096


class Metrics:
    """The metrics of one process; histograms record microseconds.

    Attributes:
        counters: Counts by (name, label); the label is empty when a name has none.
        gauges: Latest values by name.
        histograms: Histograms by name.
        pending_durations: Observed durations in seconds that are not in a histogram yet, by name;
            recording them in batches keeps `observe` cheap on the packet path.
    """

    __slots__ = ("counters", "gauges", "histograms", "pending_durations")

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, HdrHistogram] = {}
        self.pending_durations: dict[str, list[float]] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add an amount to the counter of a name and label."""
        self.counters[name, label] += amount

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        durations = self.pending_durations.setdefault(name, [])
        durations.append(seconds)
        if len(durations) >= MAX_PENDING_DURATIONS:
            self.flush_durations()

    def flush_durations(self) -> None:
        """Record the pending durations in the histograms."""
        if not self.pending_durations:
            return
        from hdrh.histogram import HdrHistogram  # Deferred: its import would delay start-up.

        for name, durations in self.pending_durations.items():
            histogram = self.histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS
                )
                self.histograms[name] = histogram
            for seconds in durations:
                histogram.record_value(max(HISTOGRAM_MIN_US, int(seconds * MICROSECONDS_PER_S)))
        self.pending_durations.clear()

    def percentiles(self) -> dict[str, dict[str, float]]:
        """Return the percentiles, in seconds, and the count of each histogram, by name."""
        self.flush_durations()
        return {
            name: {
                f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
                / MICROSECONDS_PER_S
                for percentile in PERCENTILES
            }
            | {"count": histogram.get_total_count()}
            for name, histogram in sorted(self.histograms.items())
        }

    def as_json(self) -> dict[str, object]:
        """Return all metrics as data that can be encoded as JSON."""
        counters = {
            f"{name}.{label}" if label else name: value
            for (name, label), value in sorted(self.counters.items())
        }
        return {
            "counters": counters,
            "gauges": dict(sorted(self.gauges.items())),
            "durations_s": self.percentiles(),
        }

    def collect(self) -> Iterator[object]:
        """Yield the metric families; `prometheus_client` calls this method by its name."""
        from prometheus_client.core import (  # Deferred: its import would delay start-up.
            CounterMetricFamily,
            GaugeMetricFamily,
            SummaryMetricFamily,
        )

        self.flush_durations()
        families: dict[str, CounterMetricFamily] = {}
        for (name, label), value in sorted(self.counters.items()):
            family = families.setdefault(
                name, CounterMetricFamily(f"godwitway_{name}", name, labels=["kind"])
            )
            family.add_metric([label], value)
        yield from families.values()
        for name, value in sorted(self.gauges.items()):
            yield GaugeMetricFamily(f"godwitway_{name}", name, value=value)
        for name, histogram in sorted(self.histograms.items()):
            yield SummaryMetricFamily(
                f"godwitway_{name}_seconds",
                name,
                count_value=histogram.get_total_count(),
                sum_value=histogram.get_mean_value()
                * histogram.get_total_count()
                / MICROSECONDS_PER_S,
            )

    def text_exposition(self) -> bytes:
        """Return the metrics in the Prometheus text exposition format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
