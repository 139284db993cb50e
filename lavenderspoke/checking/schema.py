"""Checks YAML text against attrs classes and builds them.

The classes are the schema: a field's type says what it holds, a field without
a default is required, and the metadata made by the helpers below narrows the
values. Settings and service documents share this one checker. It goes on after
a mistake, so that the writer sees all of them at once, each with its line.

    @attrs.frozen(kw_only=True)
    class Tier:
        name: str = attrs.field(metadata=matching(NAME, "a name") | UNIQUE)
        rank: int = attrs.field(metadata=between(0, 1000) | UNIQUE)
"""

import re
import types
import typing

import attrs
import yaml
from result import Err, Ok, Result

from lavenderspoke.checking.scalars import MISSING, allowed_for, read_scalar
from lavenderspoke.checking.yamlnodes import TAG, describe, key_of
from lavenderspoke.util import Mistake


def read(node: yaml.Node, cls: type, path: str = "") -> Result[typing.Any, list]:
    """Build `cls` from the node, or return every mistake in it, by line.

    `path` is put before the fields' names in the mistakes.
    """
    reader = _Reader(root=cls, prefix=path)
    value = reader.read_value(node, cls, {}, path)
    reader.check_across()
    if reader.mistakes:
        return Err(sorted(reader.mistakes, key=lambda each: (each.file, each.line)))
    return Ok(value)


@attrs.frozen(kw_only=True)
class _Leaf:
    """A value that was read, kept for the checks across fields."""

    value: typing.Any
    node: yaml.Node
    metadata: typing.Mapping
    found: str


@attrs.define(kw_only=True)
class _Reader:
    """Reads one tree of nodes and gathers its mistakes."""

    root: type
    prefix: str
    mistakes: list[Mistake] = attrs.field(factory=list)
    leaves: dict[str, _Leaf] = attrs.field(factory=dict)

    def add(self, node: yaml.Node, path: str, found: str, allowed: str) -> None:
        mark = node.start_mark
        self.mistakes.append(
            Mistake(
                file=str(mark.name),
                line=mark.line + 1,
                field=path or "(file)",
                found=found,
                allowed=allowed,
            )
        )

    def read_value(self, node, kind, metadata, path):
        if typing.get_origin(kind) in (types.UnionType, typing.Union):
            if node.tag == TAG + "null":
                return None
            kind = next(
                each for each in typing.get_args(kind) if each is not types.NoneType
            )
        if attrs.has(kind):
            return self.read_mapping(node, kind, path)
        if typing.get_origin(kind) is tuple:
            return self.read_list(node, typing.get_args(kind)[0], metadata, path)
        return self.read_scalar(node, kind, metadata, path)

    def read_mapping(self, node, cls, path):
        if not isinstance(node, yaml.MappingNode):
            self.add(node, path, describe(node), "a mapping of fields")
            return MISSING
        fields = {field.name: field for field in attrs.fields(cls)}
        values = {}
        for key, value in node.value:
            label = key_of(key)
            inner = f"{path}.{label}" if path else label
            if label not in fields:
                allowed = ", ".join(fields)
                self.add(key, inner, "an unknown field", f"one of {allowed}")
            elif label in values:
                self.add(key, inner, "the field twice", "once")
            else:
                field = fields[label]
                values[label] = self.read_value(
                    value, field.type, field.metadata, inner
                )
        return self.build(node, cls, fields, values, path)

    def build(self, node, cls, fields, values, path):
        for label, field in fields.items():
            inner = f"{path}.{label}" if path else label
            if label in values:
                continue
            if field.default is attrs.NOTHING:
                self.add(
                    node, inner, "nothing", allowed_for(field.type, field.metadata)
                )
                values[label] = MISSING
            else:
                self.add_default(node, field, inner)
        if any(value is MISSING for value in values.values()):
            return MISSING
        return cls(**values)

    def add_default(self, node, field, path) -> None:
        """Keep a default for the checks across fields.

        A default may clash with what is given: were it left out, a document
        with a long deadline and no word of keys would pass with too short a
        lifetime for them.
        """
        default = field.default
        value = default.factory() if isinstance(default, attrs.Factory) else default
        if attrs.has(type(value)):
            for inner in attrs.fields(type(value)):
                self.add_default(node, inner, f"{path}.{inner.name}")
        elif isinstance(value, int | float):
            self.leaves[path] = _Leaf(
                value=value,
                node=node,
                metadata=field.metadata,
                found=f"{value:,}, the default",
            )

    def read_list(self, node, kind, metadata, path):
        if not isinstance(node, yaml.SequenceNode):
            self.add(node, path, describe(node), "a list")
            return MISSING
        if metadata.get("not_empty") and not node.value:
            self.add(node, path, "an empty list", "at least one")
        values = [
            self.read_value(each, kind, metadata, f"{path}[{index}]")
            for index, each in enumerate(node.value)
        ]
        return MISSING if MISSING in values else tuple(values)

    def read_scalar(self, node, kind, metadata, path):
        value = read_scalar(node, kind)
        test = metadata.get("test")
        if value is MISSING or (test is not None and not test(value)):
            self.add(node, path, describe(node), allowed_for(kind, metadata))
            return MISSING
        self.leaves[path] = _Leaf(
            value=value, node=node, metadata=metadata, found=describe(node)
        )
        return value

    def check_across(self) -> None:
        """Check the fields whose values depend on other fields."""
        groups = {}
        for path, leaf in self.leaves.items():
            groups.setdefault(re.sub(r"\[\d+\]", "[]", path), []).append(leaf.value)
        seen = {}
        for path, leaf in self.leaves.items():
            self.check_unique(path, leaf, seen)
            self.check_reference(path, leaf, groups)
            self.check_not_above(path, leaf)
            self.check_not_below(path, leaf)

    def check_unique(self, path, leaf, seen) -> None:
        if not leaf.metadata.get("unique"):
            return
        # Only the last index is left out: names are unique within one list.
        group = re.sub(r"\[\d+\](?!.*\[)", "[]", path)
        line = leaf.node.start_mark.line + 1
        first_path, first_line = seen.setdefault((group, leaf.value), (path, line))
        if first_path != path:
            found = f"{leaf.found}, which line {first_line} has already"
            self.add(leaf.node, path, found, "each value once")

    def check_reference(self, path, leaf, groups) -> None:
        pattern = leaf.metadata.get("refers_to")
        if pattern is None:
            return
        known = groups.get(pattern, [])
        if known and leaf.value not in known:
            allowed = "one of " + ", ".join(dict.fromkeys(map(str, known)))
            self.add(leaf.node, path, leaf.found, allowed)

    def check_not_above(self, path, leaf) -> None:
        field = leaf.metadata.get("not_above")
        limit = self.top_level(field)
        if limit is not None and leaf.value > limit:
            allowed = f"at most {field}, which is {limit:,}"
            self.add(leaf.node, path, leaf.found, allowed)

    def check_not_below(self, path, leaf) -> None:
        field, times = leaf.metadata.get("not_below", (None, 1))
        limit = self.top_level(field)
        if limit is not None and leaf.value < limit * times:
            many = f"{times} times " if times > 1 else ""
            allowed = f"at least {many}{field}, which is {limit:,}"
            self.add(leaf.node, path, leaf.found, allowed)

    def top_level(self, field: str | None):
        """Return the value of a top-level field, None where it isn't known."""
        leaf = self.leaves.get(f"{self.prefix}.{field}" if self.prefix else field)
        return None if leaf is None else leaf.value
