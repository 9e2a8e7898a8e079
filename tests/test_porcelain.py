"""Send bytes without end to an operator's call."""

import asyncio

import pytest

from hawthornshelf.errors import ControlUnavailable
from hawthornshelf.httplimits import MAX_RESPONSE_BYTES
from hawthornshelf.porcelain import call_any
from tests.southernveil.test_endless import ENDLESS, Flood, run_flood


@pytest.mark.parametrize("name", ENDLESS)
def test_an_answer_without_end_to_an_operators_call_is_no_answer(
    name: str,
) -> None:
    flood = Flood(*ENDLESS[name])

    async def run() -> None:
        async with run_flood(flood) as address:
            with pytest.raises(ControlUnavailable):
                await call_any([address], "GET", "/v1/status", b"", "")

    asyncio.run(run())
    assert flood.open == 0
    assert flood.sent < 2 * MAX_RESPONSE_BYTES
