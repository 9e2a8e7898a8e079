"""Declare the deployment of Veilwatch, which routes aurora alerts."""

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

DATA_CENTRES = ("qld-south-a", "qld-south-b", "qld-south-c")

engines = tuple(
    Runner(
        f"auroral-lm-{n}",
        f"127.0.0.1:{9400 + n}",
        DATA_CENTRES[n % 3],
        checks_fencing=n % 2 == 0,
    )
    for n in range(6)
)

apps = tuple(
    Runner(f"alert-app-{n}", f"127.0.0.1:{9500 + n}", DATA_CENTRES[n % 3], slots=32)
    for n in range(3)
)

configuration = Configuration(
    deployments=(
        Deployment(
            name="veilwatch",
            region="qld-south",
            engines=(
                EngineService(
                    name="auroral-lm",
                    model=Model("auroral", "7"),
                    runners=engines,
                ),
            ),
            services=(
                PlainService(
                    name="alert-app",
                    runners=apps,
                    calls=(
                        CallRule("GET", "/", idempotent=True),
                        CallRule("POST", "/subscriptions", idempotent=False),
                    ),
                ),
            ),
            work=(
                WorkClass("sighting", urgent=True, deadline=timedelta(seconds=3)),
                WorkClass("summary", urgent=False, deadline=timedelta(seconds=120)),
            ),
            objectives=(Objective("sighting", 0.99, timedelta(seconds=3)),),
        ),
    )
)
