# SPDX-License-Identifier: BSD-3-Clause
"""Checks of single resources and of the references between them."""

import re

from turnward.resources.types import KINDS, Resource
from turnward.settings import SettingsError, convert_checked, read_toml

__all__ = ["ResourceSet", "load_resources", "parse_resources"]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_URL = re.compile(r"http://[0-9.]+:\d{1,5}")

#: References between resources: kind, field, and the kind that the field refers to.
_REFERENCES = (
    ("workspaces", "budget", "budgets"),
    ("workspaces", "priority_class", "priority_classes"),
    ("endpoints", "pool", "pools"),
    ("pools", "model", "models"),
)


class ResourceSet:
    """Resources by kind and name."""

    __slots__ = ("by_kind",)

    def __init__(self, by_kind: dict[str, dict[str, Resource]] | None = None):
        self.by_kind = by_kind or {kind: {} for kind in KINDS}

    def get(self, kind: str, name: str):
        """Return a resource or None."""
        return self.by_kind[kind].get(name)

    def put(self, kind: str, resource: Resource) -> None:
        """Add or replace a resource."""
        self.by_kind[kind][resource.name] = resource

    def remove(self, kind: str, name: str) -> None:
        """Remove a resource if it exists."""
        self.by_kind[kind].pop(name, None)

    def copy(self) -> "ResourceSet":
        """Return a copy that can be changed independently."""
        return ResourceSet({kind: dict(by_name) for kind, by_name in self.by_kind.items()})

    def faults(self) -> list[str]:
        """Return the errors of single resources and of references between them."""
        found = []
        for kind, by_name in self.by_kind.items():
            for resource in by_name.values():
                found.extend(
                    f"{kind}.{resource.name}.{fault}" for fault in _resource_faults(resource)
                )
        for kind, field, target in _REFERENCES:
            found.extend(self._reference_faults(kind, field, target))
        return found + self._duplicate_key_faults()

    def _duplicate_key_faults(self) -> list[str]:
        owners: dict[str, str] = {}
        found = []
        for workspace in self.by_kind["workspaces"].values():
            owner = owners.setdefault(workspace.key_sha256, workspace.name)
            if owner != workspace.name:
                found.append(
                    f"workspaces.{workspace.name}.key_sha256: expected a key of its own, "
                    f"found the key of {owner}"
                )
        return found

    def _reference_faults(self, kind: str, field: str, target: str) -> list[str]:
        return [
            f"{kind}.{resource.name}.{field}: expected one of {target}, "
            f"found {getattr(resource, field)!r}"
            for resource in self.by_kind[kind].values()
            if getattr(resource, field) and getattr(resource, field) not in self.by_kind[target]
        ]


def _resource_faults(resource: Resource) -> list[str]:
    found = []
    if not _NAME.fullmatch(resource.name):
        found.append(f"name: expected letters, digits, '.', '_' and '-', found {resource.name!r}")
    if hasattr(resource, "key_sha256") and not _SHA256.fullmatch(resource.key_sha256):
        found.append("key_sha256: expected 64 hexadecimal digits")
    if hasattr(resource, "url") and not _URL.fullmatch(resource.url):
        found.append(f"url: expected http://IP:port, found {resource.url!r}")
    for field in resource.__struct_fields__:
        value = getattr(resource, field)
        if isinstance(value, int | float) and value < 0:
            found.append(f"{field}: expected 0 or more, found {value}")
    return found


def parse_resources(raw: dict, source: str) -> tuple[ResourceSet, list[str]]:
    """Convert the data of a resource file to typed resources and list its errors."""
    resources = ResourceSet()
    faults = []
    for kind, entries in raw.items():
        if kind not in KINDS:
            faults.append(f"{source}: {kind}: expected one of {', '.join(KINDS)}")
            continue
        if not isinstance(entries, list):
            faults.append(f"{source}: {kind}: expected a list of tables, found {entries!r}")
            continue
        for position, entry in enumerate(entries):
            resource, found = convert_checked(entry, KINDS[kind])
            name = entry.get("name", position) if isinstance(entry, dict) else position
            faults.extend(f"{source}: {kind}.{name}.{fault}" for fault in found)
            if resource is None:
                continue
            if resources.get(kind, resource.name) is not None:
                faults.append(f"{source}: {kind}.{name}: expected one entry, found more")
            resources.put(kind, resource)
    return resources, faults


def load_resources(path: str) -> ResourceSet:
    """Read a resource file, which may refer to resources that were applied before.

    Raises
    ------
    SettingsError
        The file has errors; lists all of them.
    """
    resources, faults = parse_resources(read_toml(path), path)
    if faults:
        raise SettingsError(faults)
    return resources
