import json

import msgpack
from behave import then
from hypothesis import strategies as some

from features.helper import fuzz
from lavenderspoke.codec import MESSAGE_BYTES_MAX, Codec
from lavenderspoke.direct.messages import DirectMessage
from lavenderspoke.envelope import Envelope
from lavenderspoke.messagecodec import CODEC
from lavenderspoke.messages import (
    CrashEvidence,
    Floor,
    KeyRecord,
    LedgerHandover,
    Message,
    Piece,
    Pieces,
)
from lavenderspoke.model import Head, InstanceId, Standing

ANYONE = InstanceId(name="entry-1", incarnation="a1")
some.register_type_strategy(float, some.floats(allow_nan=False, allow_infinity=False))
some.register_type_strategy(int, some.integers(-(2**63), 2**63 - 1))
FAMILIES = {Message: CODEC, DirectMessage: Codec(messages=DirectMessage)}
VALUES = some.recursive(
    some.none() | some.booleans() | some.integers(-9, 9) | some.text() | some.binary(),
    lambda inner: some.lists(inner) | some.dictionaries(some.text(), inner),
    max_leaves=5,
)


def envelopes(family):
    """Return a strategy for envelopes with every class of a family of messages."""
    messages = some.one_of([some.builds(each) for each in family.__args__])
    return some.builds(Envelope, message=messages)


def envelope(message):
    return Envelope(sender=ANYONE, recipient=ANYONE, message=message)


def packed(message) -> dict:
    return msgpack.unpackb(CODEC.encode(envelope(message)), strict_map_key=False)


@then("every message that hypothesis builds decodes to itself")
def step_round_trip(context):
    for family, codec in FAMILIES.items():
        fuzz(envelopes(family), round_trip(codec))


def round_trip(codec: Codec):
    def check(sent):
        assert codec.decode(codec.encode(sent)).unwrap() == sent

    return check


@then("a handed-over key with its answer decodes to itself")
def step_handover(context):
    piece = Piece(request_id="r1", number=0, head=Head(status=200))
    record = KeyRecord(
        key="k1",
        request_id="r1",
        standing=Standing.FINISHED,
        expires_in_s=9.5,
        pieces=(piece, Piece(request_id="r1", number=1, count=2)),
    )
    sent = envelope(LedgerHandover(part=0, parts=1, keys=(record,)))
    assert CODEC.decode(CODEC.encode(sent)).unwrap() == sent


def decode_damaged(data):
    """Decode a message cut off, with a byte changed, and with a field replaced."""
    message = data.draw(envelopes(Message))
    good = bytearray(CODEC.encode(message))
    place = data.draw(some.integers(0, len(good) - 1))
    CODEC.decode(bytes(good[:place]))
    good[place] = data.draw(some.integers(0, 255))
    CODEC.decode(bytes(good))
    fields = msgpack.unpackb(CODEC.encode(message), strict_map_key=False)
    name = data.draw(some.sampled_from(sorted(fields["message"])))
    fields["message"][name] = data.draw(VALUES)
    CODEC.decode(msgpack.packb(fields))


@then("bytes, changed messages and made-up maps decode without raising")
def step_fuzz(context):
    def check_junk(data):
        assert CODEC.decode(data).is_err()

    fuzz(some.binary(), check_junk)
    fuzz(some.data(), decode_damaged)


@then("a Piece whose {field} is {value} is refused")
def step_wrong_type(context, field, value):
    fields = packed(Pieces(pieces=(Piece(request_id="r1", number=1),)))
    assert CODEC.decode(msgpack.packb(fields)).is_ok()
    fields["message"]["pieces"][0][field] = json.loads(value)
    assert CODEC.decode(msgpack.packb(fields)).is_err()


@then("a floor whose lease is not a finite number is refused")
def step_not_finite(context):
    fields = packed(Floor(service="s", tier=1, round=1, lease_s=1.0))
    for wrong in (float("nan"), float("inf"), "1", True):
        fields["message"]["lease_s"] = wrong
        assert CODEC.decode(msgpack.packb(fields)).is_err(), wrong


@then("crash evidence whose fingerprints are one string is refused")
def step_string_for_list(context):
    evidence = CrashEvidence(
        service="s", upstream="u", crash_id="c", fingerprints=("ab",)
    )
    fields = packed(evidence)
    assert CODEC.decode(msgpack.packb(fields)).is_ok()
    for wrong in ("ab", {"a": 1}):
        fields["message"]["fingerprints"] = wrong
        assert CODEC.decode(msgpack.packb(fields)).is_err()


@then("bytes above the limit are refused unread")
def step_too_large(context):
    error = CODEC.decode(b"\0" * (MESSAGE_BYTES_MAX + 1)).unwrap_err()
    assert "too large" in error.detail
