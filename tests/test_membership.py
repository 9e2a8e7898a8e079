import random
from functools import partial

from hawthornshelf.membership import MembershipTable
from hawthornshelf.messages import MemberRow, MemberStatus


def row(name: str, incarnation: int = 1) -> MemberRow:
    alive = MemberStatus.ALIVE
    return MemberRow(
        name, incarnation, alive, f"p:{name}", f"c:{name}", "dc", True, False, True
    )


class GossipNetwork:
    """Deliver gossip between tables without delay."""

    def __init__(self, count: int) -> None:
        rows = [row(f"n{n}") for n in range(count)]
        self.tables = {
            r.node: MembershipTable(r, rows, random.Random(n))
            for n, r in enumerate(rows)
        }
        self.down: set[str] = set()
        self.blocked_links: set[tuple[str, str]] = set()
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
            if target in self.down or (sender, target) in self.blocked_links:
                continue
            replies = self.tables[target].receive(self.now, sender, item.message)
            self.deliver(target, replies)

    def statuses(self, of: str) -> set:
        others = {n: t for n, t in self.tables.items() if n not in (of, *self.down)}
        return {table.status(of) for table in others.values()}


def test_all_nodes_learn_of_each_other() -> None:
    network = GossipNetwork(11)
    network.run(6)
    assert all(len(table.rows()) == 11 for table in network.tables.values())


def test_all_nodes_detect_a_dead_node() -> None:
    network = GossipNetwork(11)
    network.run(10)
    network.down.add("n3")
    network.run(20)
    assert network.statuses("n3") == {MemberStatus.DEAD}


def test_a_node_that_one_node_cannot_reach_stays_alive() -> None:
    network = GossipNetwork(5)
    network.run(6)
    network.blocked_links |= {("n0", "n1"), ("n1", "n0")}
    network.run(60)
    assert network.statuses("n1") == {MemberStatus.ALIVE}


def test_a_node_that_resumes_refutes_its_dead_status() -> None:
    network = GossipNetwork(5)
    network.run(6)
    network.down.add("n2")
    network.run(20)
    network.down.clear()
    network.run(10)
    assert network.statuses("n2") == {MemberStatus.ALIVE}


def test_a_node_cut_off_for_long_is_back_within_the_contact_time() -> None:
    """Each side takes the other for dead, so neither would probe the other again."""
    network = GossipNetwork(11)
    network.run(10)
    others = [name for name in network.tables if name != "n3"]
    links = {(a, b) for o in others for a, b in (("n3", o), (o, "n3"))}
    network.blocked_links = links
    network.run(20)
    assert network.statuses("n3") == {MemberStatus.DEAD}
    network.blocked_links = set()
    network.run(3.0)
    assert network.statuses("n3") == {MemberStatus.ALIVE}
    lone = network.tables["n3"]
    assert {lone.status(name) for name in others} == {MemberStatus.ALIVE}


def test_a_leaving_node_is_not_offered_to_callers() -> None:
    network = GossipNetwork(5)
    network.run(6)
    table = network.tables["n4"]
    table.update_own(network.now, table.own._replace(status=MemberStatus.LEAVING))
    network.run(3)
    for other in network.tables.values():
        assert "n4" not in [member.node for member in other.serving()]


def test_the_message_rate_per_node_is_independent_of_the_number_of_nodes() -> None:
    rates = []
    for count in (11, 44):
        network = GossipNetwork(count)
        network.run(10)
        network.messages = 0
        network.run(20)
        rates.append(network.messages / count / 20)
    assert rates[1] <= rates[0] * 1.1


def test_every_node_estimates_the_interactive_requests_of_all_nodes() -> None:
    network = GossipNetwork(11)
    for number, table in enumerate(network.tables.values()):
        table.count_streams = partial(int, number)
    network.run(20)
    estimates = [
        table.estimate_streams(network.now) for table in network.tables.values()
    ]
    assert all(abs(estimate - 55) < 20 for estimate in estimates)
    for table in network.tables.values():
        table.count_streams = int
    network.run(10)
    assert all(t.estimate_streams(network.now) == 0 for t in network.tables.values())


def test_unreachable_nodes_stay_in_the_known_entry_count() -> None:
    network = GossipNetwork(11)
    network.run(10)
    table = network.tables["n3"]
    for name in network.tables:
        network.blocked_links |= {("n3", name), (name, "n3")}
    network.run(20)
    assert table.live_entry_count() == 1
    assert table.known_entry_count() == 11
