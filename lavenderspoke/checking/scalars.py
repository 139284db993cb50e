"""Single values of YAML nodes, and what may stand in their place."""

import enum
import math
import types
import typing

import attrs
import yaml

from lavenderspoke.checking.yamlnodes import TAG

MISSING = object()


def read_scalar(node: yaml.Node, kind: type):
    """Return the node's value, or MISSING where it isn't of that kind."""
    if not isinstance(node, yaml.ScalarNode):
        return MISSING
    tag = node.tag.removeprefix(TAG)
    if kind is str:
        return node.value if tag == "str" else MISSING
    if issubclass(kind, enum.Enum):
        found = [each for each in kind if each.value == node.value]
        return found[0] if found else MISSING
    if tag != kind.__name__ and (tag, kind) != ("int", float):
        return MISSING
    try:
        value = kind(yaml.SafeLoader("").construct_object(node))
        return value if math.isfinite(value) else MISSING
    except (ValueError, OverflowError):
        return MISSING


def allowed_for(kind: type, metadata: typing.Mapping) -> str:
    """Return in words what a field may hold."""
    if typing.get_origin(kind) in (types.UnionType, typing.Union):
        inner = next(
            each for each in typing.get_args(kind) if each is not types.NoneType
        )
        return f"{allowed_for(inner, metadata)}, or nothing"
    if attrs.has(kind):
        return "a mapping of fields"
    if typing.get_origin(kind) is tuple:
        return "a list"
    if issubclass(kind, enum.Enum):
        return "one of " + ", ".join(str(each.value) for each in kind)
    noun = {
        str: "text (in quotes if it looks like a number)",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
    }[kind]
    allowed = metadata.get("allowed")
    if allowed is None:
        return noun
    return allowed if kind is str else f"{noun} {allowed}"
