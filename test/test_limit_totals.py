"""Customers' totals over a span while several owners grant.

A stand-in, a new owner and the owner of each side of a partition used to grant
a fixed part of each limit without knowing what was granted before, and refused
customers that were well within their limits.
"""

from __future__ import annotations

import pytest

from test import limit_simulation


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("name", limit_simulation.SCENARIOS)
def test_customers_at_half_of_their_limit_are_not_refused(
    name: str, seed: int
) -> None:
    phases = limit_simulation.SCENARIOS[name]
    assert limit_simulation.Simulation(phases, seed).run().wrong == 0


@pytest.mark.parametrize("demand", limit_simulation.DEMANDS[1:])
@pytest.mark.parametrize("name", limit_simulation.SCENARIOS)
def test_no_span_exceeds_the_total(
    name: str, demand: tuple[float, float]
) -> None:
    phases = limit_simulation.SCENARIOS[name]
    result = limit_simulation.Simulation(phases, 1, *demand).run()
    assert max(result.highest.values()) <= 1.0
