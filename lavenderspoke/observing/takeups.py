"""What the log line of a stream that its caller took up tells of its version."""

from collections.abc import Mapping

# What the decision rests on, by the source that the line names.
GROUNDS = {
    "known": "this entry knew the stream, from itself or from its neighbours",
    "only_one": "no other version is recorded in the store, or was listed lately",
    "recorded": "the store had the stream's record",
    "asked": "another entry knew the stream",
}
UNKNOWN = "unknown"


def take_up_text(fields: Mapping[str, object]) -> str:
    """Return a sentence on the version of a stream that was taken up, or nothing.

    >>> take_up_text({"taken_up": "v1, asked"})
    ' Its stream began at version v1: another entry knew the stream.'
    """
    taken_up = fields.get("taken_up")
    if not taken_up:
        return ""
    if taken_up == UNKNOWN:
        return (
            " The version that began its stream isn't known: no entry that answered, "
            "nor the store, had its attempt, and several versions may have begun it."
        )
    version, _, source = str(taken_up).rpartition(", ")
    grounds = GROUNDS.get(source, source)
    return f" Its stream began at version {version or '(none)'}: {grounds}."
