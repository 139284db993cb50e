"""Steps about which room imports which."""

import ast
import pathlib

from behave import then

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PACKAGE = "lavenderspoke"


def imported(path: pathlib.Path) -> set[str]:
    """Return the names right below the package that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module == PACKAGE:
            modules = [f"{PACKAGE}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            modules = [node.module or ""]
        else:
            continue
        parts = [module.split(".") for module in modules]
        names |= {each[1] for each in parts if each[0] == PACKAGE and len(each) > 1}
    return names


@then('"{room}" imports nothing of the project but "{below}"')
def step_below(context, room, below):
    allowed = set(below.split())
    wrong = {
        path.name: sorted(above)
        for path in sorted((ROOT / room).glob("*.py"))
        if (above := imported(path) - allowed)
    }
    assert not wrong, wrong


def imported_below(name: str) -> set[str]:
    """Return what a room or module right below the package imports of others."""
    room = ROOT / PACKAGE / name
    paths = room.glob("*.py") if room.is_dir() else [room.with_suffix(".py")]
    names = set().union(*(imported(path) for path in paths if path.exists()))
    return names - {name}


@then('nothing that "{room}" imports leads back to it')
def step_no_way_back(context, room):
    name = pathlib.PurePath(room).name
    assert any((ROOT / room).glob("*.py")), f"no room {room}"
    ways = {below: [below] for below in imported_below(name)}
    due = list(ways)
    while due:
        at = due.pop()
        assert at != name, " -> ".join([name, *ways[at]])
        for below in imported_below(at) - ways.keys():
            ways[below] = [*ways[at], below]
            due.append(below)


@then('no other room imports "{room}"')
def step_edge(context, room):
    importing = [
        str(path.relative_to(ROOT))
        for path in sorted((ROOT / PACKAGE).rglob("*.py"))
        if path.parent.name != room and room in imported(path)
    ]
    assert not importing, importing
