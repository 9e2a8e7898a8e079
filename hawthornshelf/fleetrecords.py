"""Store the orders of engines that the control group has decided on."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.commands import FinishFleetOrder, OrderFleet
from hawthornshelf.enginegroups import EngineKey

__all__ = ["FleetOrderRow", "FleetTable"]

MAX_ROWS = 1024
"""Rows kept; beyond it the oldest orders are forgotten.

Three data centres with two kinds each need six rows a service.
"""


class FleetOrderRow(NamedTuple):
    """Represent the newest order for a service's engines of one data centre and kind.

    `number` is the log index of the decision. `is_finished` means that the outcome of
    the call is known, `is_refused` that the platform had no engine to give.
    """

    service: str
    data_centre: str
    is_spot: bool
    desired: int
    reason: str
    number: int
    is_finished: bool = False
    is_refused: bool = False

    @property
    def key(self) -> EngineKey:
        """Return which engines of the service are ordered."""
        return EngineKey(self.data_centre, self.is_spot)


class FleetTable:
    """Store the newest order for each service, data centre and kind."""

    def __init__(self, rows: Iterable[FleetOrderRow] = ()) -> None:
        self._rows = {(row.service, row.key): row for row in rows}

    def record(self, index: int, command: OrderFleet) -> None:
        """Record an order, in place of an earlier one for the same engines."""
        row = FleetOrderRow(
            command.service,
            command.data_centre,
            command.is_spot,
            command.desired,
            command.reason,
            index,
        )
        key = (row.service, row.key)
        self._rows.pop(key, None)
        self._rows[key] = row
        while len(self._rows) > MAX_ROWS:
            del self._rows[next(iter(self._rows))]

    def finish(self, command: FinishFleetOrder) -> bool:
        """Record the outcome of an order; return whether it is still the newest."""
        key = (command.service, EngineKey(command.data_centre, command.is_spot))
        row = self._rows.get(key)
        if row is None or row.number != command.number:
            return False
        self._rows[key] = row._replace(is_finished=True, is_refused=command.is_refused)
        return True

    def find(self, service: str, key: EngineKey) -> FleetOrderRow | None:
        """Return the newest order for a service's engines, or None."""
        return self._rows.get((service, key))

    def of_service(self, service: str) -> list[FleetOrderRow]:
        """Return the orders for a service's engines."""
        return [row for row in self._rows.values() if row.service == service]

    def rows(self) -> tuple[FleetOrderRow, ...]:
        """Return all rows, the oldest order first."""
        return tuple(self._rows.values())
