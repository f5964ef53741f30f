# SPDX-License-Identifier: BSD-3-Clause
"""Types of the resources that operators configure, such as workspaces and endpoints."""

from typing import Literal

import msgspec

__all__ = [
    "Budget",
    "Endpoint",
    "KINDS",
    "Model",
    "Pool",
    "PriorityClass",
    "Resource",
    "ServiceCall",
    "Workspace",
]


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A customer's account with its key, budget and default priority class.

    Attributes
    ----------
    key_sha256 : str
        SHA-256 of the bearer key in hexadecimal.
    retry_share : float
        Retries allowed per successful request.
    """

    name: str
    key_sha256: str
    budget: str
    priority_class: str
    retry_share: float = 0.2


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A prepaid limit in tokens."""

    name: str
    limit_tokens: int


class ServiceCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of call of a plain service, matched by method and path prefix.

    Attributes
    ----------
    repeatable : bool
        The call may be retried even if it may have been run.
    """

    method: str
    path: str
    repeatable: bool
    priority_class: str = ""


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A set of equivalent endpoints; callers address a pool of kind ``service`` by name."""

    name: str
    kind: Literal["engine", "service"]
    model: str = ""
    tokens_per_call: int = 0
    calls: tuple[ServiceCall, ...] = ()


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A back end that serves requests of a pool.

    Attributes
    ----------
    drained : bool
        Set by operators; the endpoint gets no new work.
    """

    name: str
    pool: str
    url: str
    zone: str
    slots: int = 8
    drained: bool = False


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A model that callers may request by name."""

    name: str
    default_output_tokens: int = 256
    output_limit_tokens: int = 4_096


class PriorityClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Urgency of a request; a class with a lower ``rank`` is served first.

    Attributes
    ----------
    max_wait_s : float
        Longest wait; a request expected to wait longer is rejected at once.
    floor_share : float
        Share of the slots that more urgent classes leave to this one.
    """

    name: str
    rank: int
    max_wait_s: float
    floor_share: float = 0.0
    queue_limit: int = 200


Resource = Workspace | Budget | Pool | Endpoint | Model | PriorityClass

#: Resource types by the plural names used in files, URLs and the command line.
KINDS: dict[str, type] = {
    "workspaces": Workspace,
    "budgets": Budget,
    "pools": Pool,
    "endpoints": Endpoint,
    "models": Model,
    "priority_classes": PriorityClass,
}
