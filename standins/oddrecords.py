"""Records that another writer may leave in a topic, and that nobody can use.

Each is a key and a value, in bytes, by a name that tells what is odd about it.
"""

import json
from collections.abc import Iterator

HUGE = int("9" * 400)
NESTED_LEVELS = 100_000
UPSTREAM = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "here",
    "slots": 4,
    "version": "v1",
    "state": "ready",
    "warmup-left-ms": 0,
    "born": 1,
}
ENTRY = {"address": "tcp://127.0.0.1:9", "data_centre": "here", "version": 1}
NO_VALUES = (b"\x00\xff{", b"[" * NESTED_LEVELS, b"[]", b"7", b"9" * 5000)


def _value(fields: dict, **changes) -> bytes:
    return json.dumps(fields | changes).encode()


def odd_values(fields: dict) -> Iterator[tuple[str, bytes]]:
    """Yield values that resemble a sound record with these fields."""
    yield "no JSON", b"\x00\xff{"
    yield "nested deeply", b"[" * NESTED_LEVELS
    yield "nested deeply within an object", b'{"service":' + b"[" * NESTED_LEVELS
    yield "an unknown field nested deeply", (
        _value(fields)[:-1] + b', "x": ' + b"[" * 900 + b"]" * 900 + b"}"
    )
    yield "a list", b"[]"
    yield "a number", b"7"
    yield "a key twice", _value(fields)[:-1] + b', "service": 7}'
    for name, sound in fields.items():
        yield f"{name} missing", _value(
            {each: value for each, value in fields.items() if each != name}
        )
        for odd in (None, [], {}, True, -1, 1.5, HUGE, -HUGE):
            text = "huge" if odd in (HUGE, -HUGE) else repr(odd)
            yield f"{name} {text}", _value(fields, **{name: odd})
        for literal in (b"NaN", b"Infinity", b"-Infinity", b"1e400", b"9" * 5000):
            changed = _value(fields, **{name: "PLACE"})
            yield f"{name} {literal[:9].decode()}", changed.replace(b'"PLACE"', literal)
        if isinstance(sound, str):
            for odd in ("\ud800", "\udcff", "a\r\nb", "\x00", "é€", "x" * 100_000):
                yield f"{name} {odd[:4]!r}", _value(fields, **{name: odd})


def odd_upstreams(address: str) -> Iterator[tuple[str, bytes]]:
    """Yield values that resemble the record of an upstream at an address."""
    host = address.rpartition(":")[0]
    fields = UPSTREAM | {"address": address}
    yield from odd_values(fields)
    for port in ("0", "65536", "99999999999999999999", "-1", "", "²"):
        yield f"port {port}", _value(fields, address=f"{host}:{port}")


def odd_keys() -> Iterator[tuple[str, bytes]]:
    """Yield keys that no sound writer uses."""
    yield "not UTF-8", b"\xff\xfe"
    yield "line ends", b"a\r\nb"
    yield "not ASCII", "é€".encode()
    yield "255 bytes", b"k" * 255
    yield "a NUL", b"\x00"
    yield "spaces", b" a "


ODD_KEYS = tuple(key for _, key in odd_keys())


def _unusable(key: bytes, fields: dict, **changes: list) -> list[tuple[bytes, bytes]]:
    """Return records none of which is sound: each has one of the changes."""
    return [(key, each) for each in NO_VALUES] + [
        (key, _value(fields, **{name.replace("_", "-"): odd}))
        for name, odds in changes.items()
        for odd in odds
    ]


# Records by topic that each reader must refuse.
UNUSABLE = {
    "keyed.servers": _unusable(
        b"odd",
        UPSTREAM,
        warmup_left_ms=[HUGE, -HUGE, "0"],
        slots=[HUGE, 0, True],
        born=[HUGE, 1.5],
        version=["\ud800", 7, "a\r\nb"],
        address=["127.0.0.1:65536", "h:1", ""],
    ),
    "keyed.op": _unusable(b"rollout/odd", {"service": "odd"}, target=["v2", HUGE])
    + _unusable(b"odd", {}),
    "keyed.lavenderspoke-entries": _unusable(
        b"odd", ENTRY, version=[HUGE, "1"], address=["nowhere", 7]
    )
    + _unusable(b"versions/odd", {"service": "model"}, version=[HUGE, "\ud800"])
    + _unusable(b"crash/odd/entry-9", {"service": "model"}, contents=[HUGE, "x"])
    + _unusable(b"quarantine/odd", {})
    + [(b"burst-credit/odd", b"9" * 400)],
    "keyed.status": _unusable(b"rollout/model", {"service": "model"}, state=[HUGE]),
    "lavenderspoke-streams": _unusable(b"odd", {"rows": 1}),
}
