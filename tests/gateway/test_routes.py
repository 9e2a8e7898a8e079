from hawthornshelf.enginegroups import EngineLimits
from hawthornshelf.gateway.routes import (
    EngineProfile,
    RetryPolicy,
    Route,
    RouteIndex,
    RouteTable,
    ServiceSpec,
    Split,
    check_table,
    find_scaling,
)

SERVICES = (ServiceSpec("s"), ServiceSpec("t"))


def make(prefix: str, service: str = "s", host: str = "h", **changes: object) -> Route:
    route = Route(
        name=prefix,
        host=host,
        prefix=prefix,
        retry_policy=RetryPolicy.SAFE,
        timeout=1.0,
        target=0.2,
        priority=0,
        splits=(Split(service, 1),),
    )
    return route._replace(**changes)


def faults(*routes: Route) -> list[str]:
    return [str(f) for f in check_table(RouteTable(1, routes, SERVICES))]


def test_the_longest_prefix_of_the_host_wins() -> None:
    table = RouteTable(1, (make("/a/"), make("/a/b/"), make("/", host="g")), SERVICES)
    index = RouteIndex(table)
    assert index.find("h", "/a/b/c").prefix == "/a/b/"
    assert index.find("h", "/a/bc").prefix == "/a/"
    assert index.find("h", "/b/") is None
    assert index.find("g", "/anything").prefix == "/"
    assert index.find("unknown", "/a/") is None


def test_a_prefix_matches_whole_segments_only() -> None:
    index = RouteIndex(RouteTable(1, (make("/a/"),), SERVICES))
    assert index.find("h", "/a") is None
    assert index.find("h", "/ab/") is None
    assert index.find("h", "/a/").prefix == "/a/"


def test_a_valid_table_has_no_faults() -> None:
    assert faults(make("/a/"), make("/a/", host="g"), make("/b/", "t")) == []


def test_all_faults_are_reported_at_once() -> None:
    found = faults(
        make("/a/", "nowhere"),
        make("/a/"),
        make("/b/", timeout=0.0),
        make("/c/", splits=(Split("s", 0), Split("t", 0))),
        make("d"),
    )
    text = "\n".join(found)
    assert len(found) == 5
    assert "unknown service nowhere" in text
    assert "host and prefix are taken" in text
    assert "the timeout is 0" in text
    assert "the weights add up to 0" in text
    assert "begins and ends with a slash" in text


def test_engines_are_ordered_only_for_services_whose_load_is_measured() -> None:
    """Guards against a service without counted load that is scaled to its minimum."""
    limits = EngineLimits(0, 4)
    engine = EngineProfile(8, 1000)
    services = (
        ServiceSpec("llm", engine=engine, scaling=limits),
        ServiceSpec("plain", scaling=limits),
        ServiceSpec("unrouted", engine=engine, scaling=limits),
        ServiceSpec("fixed", engine=engine),
    )
    routes = (
        make("/a/", "llm", is_generation=True),
        make("/b/", "plain", is_generation=True),
        make("/c/", "unrouted"),
        make("/d/", "fixed", is_generation=True),
    )
    assert find_scaling(RouteTable(1, routes, services)) == {"llm": limits}
