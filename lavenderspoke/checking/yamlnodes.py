"""YAML text as a tree of nodes that know the file and line they stand at."""

import io

import yaml
from result import Err, Ok, Result

from lavenderspoke.util import Mistake

TEXT_CHARS_MAX = 1024 * 1024
FOUND_CHARS_MAX = 60
TAG = "tag:yaml.org,2002:"


def compose(text: str, file_name: str) -> Result[yaml.Node, list[Mistake]]:
    """Return the text's root node, whose marks carry the file's name."""
    if len(text) > TEXT_CHARS_MAX:
        found = f"{len(text):,} characters"
        return Err([_whole_file(file_name, 1, found, f"up to {TEXT_CHARS_MAX:,}")])
    stream = io.StringIO(text)
    stream.name = file_name
    try:
        node = yaml.compose(stream, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or "a character that YAML bars"
        found = f"a YAML error ({problem})"
        return Err([_whole_file(file_name, line, found, "well-formed YAML")])
    except RecursionError:
        # Deep nesting exhausts the parser's stack; no file that a person writes
        # comes near, and the process must live on whatever the log holds.
        return Err([_whole_file(file_name, 1, "deep nesting", "a few levels")])
    if node is None:
        return Err([_whole_file(file_name, 1, "nothing", "a mapping of fields")])
    return Ok(node)


def _whole_file(file_name: str, line: int, found: str, allowed: str) -> Mistake:
    return Mistake(
        file=file_name, line=line, field="(file)", found=found, allowed=allowed
    )


def overlay(node: yaml.Node, defaults: yaml.Node) -> yaml.Node:
    """Return `node` with what it leaves out taken from `defaults`.

    Mappings are merged, anything else is replaced whole. Marks are kept, so a
    mistake still names the file and line where the value was written.
    """
    if not (
        isinstance(node, yaml.MappingNode) and isinstance(defaults, yaml.MappingNode)
    ):
        return node
    default_values = {key.value: value for key, value in defaults.value}
    pairs = []
    for key, value in node.value:
        default = default_values.get(key_of(key))
        pairs.append((key, value if default is None else overlay(value, default)))
    given = {key_of(key) for key, _ in node.value}
    for key, value in defaults.value:
        if key.value not in given:
            pairs.append((key, _moved(value, node)))
    return yaml.MappingNode(node.tag, pairs, node.start_mark, node.end_mark)


def _moved(default: yaml.Node, node: yaml.Node) -> yaml.Node:
    """Return a default as if it stood in the node that lacks it.

    What a default lacks, or clashes with, is for the writer of that file to mend.
    """
    marks = (node.start_mark, node.end_mark)
    if isinstance(default, yaml.MappingNode):
        return overlay(yaml.MappingNode(default.tag, [], *marks), default)
    return type(default)(default.tag, default.value, *marks)


def key_of(node: yaml.Node) -> str:
    """Return a mapping's key as text, also where it is no scalar."""
    return node.value if isinstance(node, yaml.ScalarNode) else describe(node)


def describe(node: yaml.Node) -> str:
    """Return what was found, short enough for one line."""
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    if node.tag == TAG + "null":
        return "nothing"
    value = node.value
    if len(value) > FOUND_CHARS_MAX:
        value = value[:FOUND_CHARS_MAX] + "..."
    return repr(value)
