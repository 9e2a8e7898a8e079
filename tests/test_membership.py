import random
from functools import partial

from hawthornshelf.membership import MembershipTable
from hawthornshelf.messages import MemberRow, MemberStatus


def row(name: str, incarnation: int = 1) -> MemberRow:
    alive = MemberStatus.ALIVE
    return MemberRow(
        name, incarnation, alive, f"p:{name}", f"c:{name}", "dc", True, False, True
    )


class Net:
    """Pass gossip between tables, without delay."""

    def __init__(self, count: int) -> None:
        rows = [row(f"n{n}") for n in range(count)]
        self.tables = {
            r.node: MembershipTable(r, rows, random.Random(n))
            for n, r in enumerate(rows)
        }
        self.down: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.now = 0.0
        self.messages = 0

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for name, table in self.tables.items():
                if name not in self.down:
                    self.deliver(name, table.tick(self.now))

    def deliver(self, sender: str, outgoing: list) -> None:
        for item in outgoing:
            target = item.member.node
            self.messages += 1
            if target in self.down or (sender, target) in self.cuts:
                continue
            replies = self.tables[target].receive(self.now, sender, item.message)
            self.deliver(target, replies)

    def statuses(self, of: str) -> set:
        others = {n: t for n, t in self.tables.items() if n not in (of, *self.down)}
        return {table.status(of) for table in others.values()}


def test_all_nodes_learn_of_each_other() -> None:
    net = Net(11)
    net.run(6)
    assert all(len(table.rows()) == 11 for table in net.tables.values())


def test_a_dead_node_is_found_dead_by_all() -> None:
    net = Net(11)
    net.run(10)
    net.down.add("n3")
    net.run(20)
    assert net.statuses("n3") == {MemberStatus.DEAD}


def test_a_node_that_two_can_not_reach_stays_alive() -> None:
    net = Net(5)
    net.run(6)
    net.cuts |= {("n0", "n1"), ("n1", "n0")}
    net.run(60)
    assert net.statuses("n1") == {MemberStatus.ALIVE}


def test_a_node_that_comes_back_refutes_its_death() -> None:
    net = Net(5)
    net.run(6)
    net.down.add("n2")
    net.run(20)
    net.down.clear()
    net.run(10)
    assert net.statuses("n2") == {MemberStatus.ALIVE}


def test_a_leaving_node_is_not_given_to_callers() -> None:
    net = Net(5)
    net.run(6)
    table = net.tables["n4"]
    table.update_own(net.now, table.own._replace(status=MemberStatus.LEAVING))
    net.run(3)
    for other in net.tables.values():
        assert "n4" not in [member.node for member in other.serving()]


def test_messages_do_not_grow_with_the_number_of_nodes() -> None:
    rates = []
    for count in (11, 44):
        net = Net(count)
        net.run(10)
        net.messages = 0
        net.run(20)
        rates.append(net.messages / count / 20)
    assert rates[1] <= rates[0] * 1.1


def test_every_node_estimates_all_conversations_from_those_it_hears_of() -> None:
    net = Net(11)
    for number, table in enumerate(net.tables.values()):
        table.count_streams = partial(int, number)
    net.run(20)
    estimates = [table.estimate_streams(net.now) for table in net.tables.values()]
    assert all(abs(estimate - 55) < 20 for estimate in estimates)
    for table in net.tables.values():
        table.count_streams = int
    net.run(10)
    assert all(t.estimate_streams(net.now) == 0 for t in net.tables.values())


def test_nodes_that_are_cut_off_still_count_where_a_budget_is_shared() -> None:
    net = Net(11)
    net.run(10)
    table = net.tables["n3"]
    for name in net.tables:
        net.cuts |= {("n3", name), (name, "n3")}
    net.run(20)
    assert table.live_entry_count() == 1
    assert table.known_entry_count() == 11
