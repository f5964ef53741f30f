# SPDX-License-Identifier: BSD-3-Clause
"""The resources that operators write: workspaces, budgets, pools, endpoints and so on."""

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
    """A customer's space: its key, its budget and its usual priority class.

    Attributes
    ----------
    key_sha256 : str
        SHA-256 in hexadecimal of the bearer key.
    retry_share : float
        Retries allowed per success.
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
    """A call of a plain service, by method and path prefix."""

    method: str
    path: str
    repeatable: bool
    priority_class: str = ""


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A set of like endpoints; a pool of kind ``service`` is reached by its name."""

    name: str
    kind: Literal["engine", "service"]
    model: str = ""
    tokens_per_call: int = 0
    calls: tuple[ServiceCall, ...] = ()


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One back end of a pool.

    Attributes
    ----------
    drained : bool
        Operators want no new work on it.
    """

    name: str
    pool: str
    url: str
    zone: str
    slots: int = 8
    drained: bool = False


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A model that callers name."""

    name: str
    default_output_tokens: int = 256
    output_limit_tokens: int = 4_096


class PriorityClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How urgent a request is; a lower ``rank`` goes first.

    Attributes
    ----------
    max_wait_s : float
        A request that would wait longer is refused at once.
    floor_share : float
        Share of the slots that higher ranks leave to this class.
    """

    name: str
    rank: int
    max_wait_s: float
    floor_share: float = 0.0
    queue_limit: int = 200


Resource = Workspace | Budget | Pool | Endpoint | Model | PriorityClass

#: Resource types by the plural name used in files, addresses and the command line.
KINDS: dict[str, type] = {
    "workspaces": Workspace,
    "budgets": Budget,
    "pools": Pool,
    "endpoints": Endpoint,
    "models": Model,
    "priority_classes": PriorityClass,
}
