"""Steps that give decoders anything that may come from outside."""

import json
import struct

import attrs
import msgpack
from behave import then
from hypothesis import strategies

from features.helper import fuzz
from lavenderspoke import jsoncodec
from lavenderspoke.codec import Codec
from lavenderspoke.direct.crashrecords import RecordedCrash
from lavenderspoke.direct.messages import DirectMessage
from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.direct.versionrecords import RecordedVersion
from lavenderspoke.membership.memberlist import Member
from lavenderspoke.platform import configuration, registry, settings, store
from lavenderspoke.platform.burstcredits import read_credits
from lavenderspoke.platform.crashrecords import read_crashes
from lavenderspoke.platform.decoding import parse_as
from lavenderspoke.platform.feeds import EntryRecord
from lavenderspoke.platform.quarantines import read_quarantines
from lavenderspoke.platform.rollouts import Status, decode_order
from lavenderspoke.platform.streamrecords import decode_batch
from lavenderspoke.platform.versionrecords import read_versions
from lavenderspoke.platform.wire import ReservationReply
from standins.oddrecords import UPSTREAM, odd_values
from standins.platformdeployment import SETTINGS, configuration as sound_configuration

EXAMPLES = 300
CODEC = Codec(messages=DirectMessage)
ADDRESS = "127.0.0.1:9000"
FIELDS = {
    "an upstream's record": UPSTREAM,
    "an entry's record": {"address": ADDRESS, "data_centre": "here", "version": 1},
    "a version's record": {"service": "model", "version": "v1", "copy": 1},
    "a crash's record": {"service": "model", "contents": ["0123"]},
    "a configuration": sound_configuration(1),
    "a roll-out order": {"service": "desk", "target": "v2", "duration-s": 9},
    "a roll-out's status": {
        "service": "desk",
        "target": "v2",
        "state": "completed",
        "order": 1,
        "ordered-unix-s": 1.0,
    },
    "a page of newest records": {
        "items": [{"key": "a", "value": "e30=", "offset": 1}],
        "end-offset": 2,
        "has-more": True,
    },
    "an expired offset": {"first-offset": 3},
    "a reservation": {"retention": "abc"},
}
ODD_SCALARS = strategies.sampled_from(
    [10**400, -(10**400), 2**64, float("nan"), float("inf"), "\ud800", "\x00", "", True]
)
ODD_JSON = strategies.recursive(
    ODD_SCALARS | strategies.none() | strategies.integers() | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=6), inner, max_size=3),
    max_leaves=8,
)


def _record(value: bytes, key: str = "rollout/desk") -> KeyedRecord:
    return KeyedRecord(key=key, value=value, offset=3)


def _page(data: bytes) -> object:
    page = store.decode_page(data)
    return page.and_then(lambda each: store.decode_newest(each.items, each.end_offset))


DECODERS = {
    "an upstream's record": lambda data: registry.decode("odd", data),
    "an entry's record": lambda data: parse_as(data, EntryRecord),
    "a version's record": lambda data: (
        parse_as(data, RecordedVersion),
        [
            each.key
            for each in read_versions([_record(data, "versions/a")]).present.values()
        ],
    ),
    "a crash's record": lambda data: (
        parse_as(data, RecordedCrash),
        read_crashes([_record(data, "crash/i-1/e")]),
    ),
    "a quarantine's record": lambda data: read_quarantines(
        [_record(data, "quarantine/0123456789abcdef01234567")]
    ),
    "a burst credit's record": lambda data: read_credits(
        [_record(data, "burst-credit/tours")]
    ),
    "a batch of streams": lambda data: decode_batch(_record(data)),
    "a configuration": configuration.decode,
    "a roll-out order": lambda data: decode_order(_record(data)),
    "a roll-out's status": lambda data: parse_as(data, Status),
    "a page of newest records": _page,
    "a read of records": lambda data: store.decode_records(data, 0),
    "an expired offset": store.decode_offset_expired,
    "a reservation": lambda data: parse_as(data, ReservationReply),
    "a message of an entry": CODEC.decode,
    "a document of the log": lambda data: jsoncodec.decode(data, Member),
    "a settings file": lambda data: settings.parse(data.decode("latin-1")),
}


def _changed(draw, fields: dict) -> bytes:
    """Return a sound value in which one part, at any depth, is something else."""
    value = json.loads(json.dumps(fields))
    at = value
    while True:
        key = draw(strategies.sampled_from(_places(at)))
        inner = at[key]
        if (
            not isinstance(inner, (dict, list))
            or not inner
            or draw(strategies.booleans())
        ):
            at[key] = draw(ODD_JSON)
            return json.dumps(value).encode()
        at = inner


def _places(at: dict | list) -> list:
    return list(at) if isinstance(at, dict) else list(range(len(at)))


@strategies.composite
def _inputs(draw, name: str) -> bytes:
    kind = draw(strategies.integers(0, 4))
    if kind == 0:
        return draw(strategies.binary(max_size=200))
    if kind == 1:
        return json.dumps(draw(ODD_JSON)).encode()
    if kind == 2:
        records = draw(strategies.lists(strategies.binary(max_size=40), max_size=4))
        framed = b"".join(struct.pack(">I", len(each)) + each for each in records)
        return struct.pack(">QQ", 9, 0) + framed
    if kind == 3:
        return msgpack.packb(draw(strategies.binary(max_size=20) | strategies.text()))
    fields = FIELDS.get(name)
    return _changed(draw, fields) if fields else json.dumps(draw(ODD_JSON)).encode()


def _encodable(value: object) -> None:
    """Encode what was decoded, as logs, headers and messages must."""
    if isinstance(value, str):
        value.encode()
    elif isinstance(value, bool) or value is None:
        return
    elif isinstance(value, int):
        msgpack.packb(value)
    elif isinstance(value, dict):
        for each in (*value.keys(), *value.values()):
            _encodable(each)
    elif isinstance(value, (list, tuple, set, frozenset)):
        for each in value:
            _encodable(each)
    elif attrs.has(type(value)):
        for field in attrs.fields(type(value)):
            _encodable(getattr(value, field.name))
    elif hasattr(value, "ok_value"):
        _encodable(value.ok_value)


@then("a bound of {value} is refused in a settings file")
def step_bound(context, value):
    text = SETTINGS.format(
        name="entry-1",
        callers=1,
        readiness=2,
        peers=3,
        grace_s=8,
        revoke_ms=value,
        store=ADDRESS,
    )
    assert settings.parse(text).is_err()
    assert settings.parse(text.replace(f"={value}", "=5000")).is_ok()


@then("{decoder} returns or refuses any bytes, and what it returns can be encoded")
def step_never_raises(context, decoder):
    decode = DECODERS[decoder]

    def check(data: bytes) -> None:
        _encodable(decode(data))

    for _, value in odd_values(FIELDS.get(decoder, {})):
        check(value)
    fuzz(_inputs(decoder), check, examples=EXAMPLES)
