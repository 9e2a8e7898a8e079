import random

from hawthornshelf.gateway.budget import RetryBudget, RetryLimits

LIMITS = RetryLimits(ratio=0.2, slack=60.0, window=10.0)
NODES = 10


def test_all_nodes_together_stay_within_the_bound_of_any_window() -> None:
    """Every request fails and needs one extra send."""
    rng = random.Random(1)
    budgets = [RetryBudget(LIMITS) for _ in range(NODES)]
    requests: list[float] = []
    extra: list[float] = []
    for step in range(6000):
        now = step / 100
        budget = rng.choice(budgets)
        budget.record_request(now, "s")
        requests.append(now)
        if budget.may_spend(now, "s", NODES):
            budget.spend(now, "s")
            extra.append(now)
    for start in range(50):
        sent = sum(start <= at < start + 10 for at in extra)
        asked = sum(start <= at < start + 10 for at in requests)
        assert 0 < sent <= LIMITS.ratio * asked + LIMITS.slack


def test_the_bound_holds_with_half_of_the_nodes_unknown() -> None:
    budgets = [RetryBudget(LIMITS) for _ in range(NODES)]
    spent = 0
    for budget in budgets:
        while budget.may_spend(0.0, "s", int(NODES * 0.6)):
            budget.spend(0.0, "s")
            spent += 1
    assert spent <= LIMITS.slack


def test_a_window_that_has_passed_is_forgotten() -> None:
    budget = RetryBudget(LIMITS)
    while budget.may_spend(0.0, "s", 1):
        budget.spend(0.0, "s")
    assert not budget.may_spend(9.9, "s", 1)
    assert budget.may_spend(10.1, "s", 1)


def test_services_have_budgets_of_their_own() -> None:
    budget = RetryBudget(LIMITS)
    while budget.may_spend(0.0, "s", 1):
        budget.spend(0.0, "s")
    assert budget.may_spend(0.0, "t", 1)


def test_nodes_that_all_start_at_once_do_not_each_take_the_whole_slack() -> None:
    """After a restart of all nodes none knows the others, and all requests fail."""
    spent = 0
    for budget in [RetryBudget(LIMITS) for _ in range(NODES)]:
        while budget.may_spend(0.0, "s", 0):
            budget.spend(0.0, "s")
            spent += 1
    assert spent == NODES
