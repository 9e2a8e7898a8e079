"""Show what the node that orders engines knows of them as metrics."""

from collections.abc import Iterable, Iterator

from hawthornshelf.fleetorders import FleetGauge
from hawthornshelf.metrics import LabelledGauge

__all__ = ["make_fleet_gauges"]


def make_fleet_gauges(rows: Iterable[FleetGauge]) -> Iterator[LabelledGauge]:
    """Yield engines needed by service, and the rest by data centre and kind as well."""
    needed: dict[str, int] = {}
    for row in rows:
        needed[row.service] = row.needed
        labels = {
            "service": row.service,
            "data_centre": row.key.data_centre,
            "kind": "spot" if row.key.is_spot else "other",
        }
        yield LabelledGauge("engines_desired", labels, row.desired)
        yield LabelledGauge("engines_ordered", labels, row.ordered)
        yield LabelledGauge("engines_present", labels, row.present)
    for service, count in needed.items():
        yield LabelledGauge("engines_needed", {"service": service}, count)
