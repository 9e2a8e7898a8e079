"""Declare the deployment of Lantern Calls, a befriending phone line."""

from datetime import timedelta

from hawthornshelf.declarations import (
    CallRule,
    Configuration,
    Deployment,
    EngineService,
    Model,
    Objective,
    PlainService,
    Runner,
    WorkClass,
)

DATA_CENTRES = ("tt-north-a", "tt-north-b", "tt-north-c")

engines = tuple(
    Runner(f"lantern-llm-{n}", f"127.0.0.1:{9200 + n}", DATA_CENTRES[n % 3])
    for n in range(5)
)

apps = tuple(
    Runner(f"lantern-app-{n}", f"127.0.0.1:{9300 + n}", DATA_CENTRES[n % 3], slots=32)
    for n in range(3)
)

configuration = Configuration(
    deployments=(
        Deployment(
            name="lantern-calls",
            region="tt-north",
            engines=(
                EngineService(
                    name="lantern-llm",
                    model=Model("lantern-chat", "2026.11", ("care-history",)),
                    runners=engines,
                ),
            ),
            services=(
                PlainService(
                    name="lantern-app",
                    runners=apps,
                    calls=(
                        CallRule("GET", "/schedule", idempotent=True),
                        CallRule("POST", "/bookings", idempotent=False),
                    ),
                ),
            ),
            work=(
                WorkClass("next-line", urgent=True, deadline=timedelta(seconds=2)),
                WorkClass("call-today", urgent=False, deadline=timedelta(seconds=60)),
                WorkClass("visit", urgent=True, deadline=timedelta(seconds=10)),
            ),
            objectives=(
                Objective("next-line", 0.99, timedelta(seconds=2)),
                Objective("visit", 0.999, timedelta(seconds=5)),
            ),
        ),
    )
)
