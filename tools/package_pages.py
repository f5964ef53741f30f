# SPDX-License-Identifier: BSD-3-Clause
"""Generates the API section of docs/packages/NAME.md from the docstrings.

The text above the marker is written by hand and kept; everything below the marker
is replaced.
"""

import ast
import sys
from pathlib import Path

__all__ = ["PAGES", "main", "packages", "render"]

PAGES = Path("docs/packages")
MARKER = "<!-- API, made by tools/package_pages.py -->"


def packages() -> list[Path]:
    """Return the folders of turnward's subpackages."""
    return sorted(path.parent for path in Path("turnward").glob("*/__init__.py"))


def render(package: Path, page: str) -> str:
    """Return the page with its API section regenerated."""
    narrative = page.partition(MARKER)[0].rstrip()
    parts = [narrative, "", MARKER, "", "## API"]
    for path in sorted(package.glob("*.py")):
        if path.name != "__init__.py":
            parts.extend(_module(path))
    return "\n".join(parts) + "\n"


def _module(path: Path) -> list[str]:
    tree = ast.parse(path.read_text())
    module_name = ".".join(path.with_suffix("").parts)
    lines = ["", f"### {module_name}", "", _summary(tree), ""]
    public = _public_names(tree)
    for node in tree.body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef) and node.name in public:
            lines.append(f"- `{node.name}`: {_summary(node)}")
    return lines


def _public_names(tree: ast.Module) -> set[str]:
    for node in tree.body:
        if isinstance(node, ast.Assign) and node.targets[0].id == "__all__":
            return set(ast.literal_eval(node.value))
    return set()


def _summary(node) -> str:
    return (ast.get_docstring(node) or "").partition("\n\n")[0].replace("\n", " ")


def main() -> int:
    """Update every page; return 1 if a package has no page."""
    status = 0
    for package in packages():
        page = PAGES / f"{package.name}.md"
        if not page.exists():
            print(f"no page for {package}", file=sys.stderr)
            status = 1
            continue
        page.write_text(render(package, page.read_text()))
    return status


if __name__ == "__main__":
    sys.exit(main())
