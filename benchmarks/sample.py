"""Sample configuration with work policies of three ranks, for runs and tests."""

import hashlib
from typing import Any

from benchmarks.deployment import BackendPlan, DeploymentPlan, document

CALLER_KEY = "caller-key-1"
OTHER_CALLER_KEY = "caller-key-2"
VERSIONS = ("v1", "v2")


def plan(**changes: Any) -> DeploymentPlan:
    """Returns a plan of two entries, two engines, an order and a lookup service.

    Args:
        **changes: Fields of the plan to replace.
    """
    backends = (
        BackendPlan("engine-1", "engine", "a", model="base-1"),
        BackendPlan("engine-2", "engine", "b", model="base-1", checks_fencing=False),
        BackendPlan(
            "orders-1", "service", "a", service="orders", labels={"work": "order"}
        ),
        BackendPlan(
            "stock-1", "service", "b", service="stock", labels={"work": "lookup"}
        ),
    )
    values: dict[str, Any] = {"zones": ("a", "b"), "backends": backends, **changes}
    return DeploymentPlan(**values)


def adapter(name: str, work: str, *, default: str = "v1") -> dict[str, Any]:
    """Returns the document of an adapter with two versions."""
    versions = [
        {"name": version, "source": f"{name}/{version}"} for version in VERSIONS
    ]
    spec = {"model": "base-1", "versions": versions, "defaultVersion": default}
    return document("Adapter", name, spec, labels={"work": work})


def caller(name: str, key: str) -> dict[str, Any]:
    """Returns the document of a caller with one bearer key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return document("Caller", name, {"keyDigests": [digest]}, labels={"team": name})


def policies() -> list[dict[str, Any]]:
    """Returns the work policies of the three ranks."""
    urgent = {
        "rank": 0,
        "targetSelector": "work=order",
        "idempotent": False,
        "targetMs": 500,
        "deadlineMs": 5_000,
        "floor": 0.25,
        "value": 100.0,
    }
    interactive = {
        "rank": 1,
        "targetSelector": "work in (lookup, question)",
        "targetMs": 1_000,
        "deadlineMs": 20_000,
        "floor": 0.25,
        "value": 10.0,
    }
    batch = {
        "rank": 2,
        "targetSelector": "work=draft",
        "targetMs": 30_000,
        "deadlineMs": 300_000,
        "floor": 0.125,
        "value": 1.0,
        "preemptible": True,
    }
    return [
        document("WorkPolicy", "urgent", urgent),
        document("WorkPolicy", "interactive", interactive),
        document("WorkPolicy", "batch", batch),
    ]


def common_documents(deployment_plan: DeploymentPlan) -> list[dict[str, Any]]:
    """Returns all documents of the configuration except the backend servers."""
    weight_store = {
        "loadsPerSecond": deployment_plan.loads_per_second,
        "maxInTransit": deployment_plan.max_in_transit,
    }
    placement = {"targetSelector": "work", "backendServerSelector": "type"}
    questions = [adapter(f"advisor-{n}", "question") for n in range(1, 7)]
    drafts = [adapter(f"writer-{n}", "draft", default="v2") for n in range(1, 5)]
    return [
        caller("team-1", CALLER_KEY),
        caller("team-2", OTHER_CALLER_KEY),
        *policies(),
        document("Placement", "anywhere", placement),
        document("WeightStore", "store", weight_store),
        *questions,
        *drafts,
    ]
