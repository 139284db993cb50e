import json

import msgpack
from behave import then
from hypothesis import strategies as some

from features.helper import fuzz
from lavenderspoke.codec import MESSAGE_BYTES_MAX, decode, encode
from lavenderspoke.messages import (
    CrashEvidence,
    Envelope,
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
ENVELOPES = some.builds(
    Envelope, message=some.one_of([some.builds(each) for each in Message.__args__])
)
VALUES = some.recursive(
    some.none() | some.booleans() | some.integers(-9, 9) | some.text() | some.binary(),
    lambda inner: some.lists(inner) | some.dictionaries(some.text(), inner),
    max_leaves=5,
)


def envelope(message):
    return Envelope(sender=ANYONE, recipient=ANYONE, message=message)


def packed(message) -> dict:
    return msgpack.unpackb(encode(envelope(message)), strict_map_key=False)


@then("every message that hypothesis builds decodes to itself")
def step_round_trip(context):
    def check(message):
        assert decode(encode(message)).unwrap() == message

    fuzz(ENVELOPES, check)


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
    assert decode(encode(sent)).unwrap() == sent


def decode_damaged(data):
    """Decode a message cut off, with a byte changed, and with a field replaced."""
    message = data.draw(ENVELOPES)
    good = bytearray(encode(message))
    place = data.draw(some.integers(0, len(good) - 1))
    decode(bytes(good[:place]))
    good[place] = data.draw(some.integers(0, 255))
    decode(bytes(good))
    fields = msgpack.unpackb(encode(message), strict_map_key=False)
    name = data.draw(some.sampled_from(sorted(fields["message"])))
    fields["message"][name] = data.draw(VALUES)
    decode(msgpack.packb(fields))


@then("bytes, changed messages and made-up maps decode without raising")
def step_fuzz(context):
    def check_junk(data):
        assert decode(data).is_err()

    fuzz(some.binary(), check_junk)
    fuzz(some.data(), decode_damaged)


@then("a Piece whose {field} is {value} is refused")
def step_wrong_type(context, field, value):
    fields = packed(Pieces(pieces=(Piece(request_id="r1", number=1),)))
    assert decode(msgpack.packb(fields)).is_ok()
    fields["message"]["pieces"][0][field] = json.loads(value)
    assert decode(msgpack.packb(fields)).is_err()


@then("a floor whose lease is not a finite number is refused")
def step_not_finite(context):
    fields = packed(Floor(service="s", tier=1, round=1, lease_s=1.0))
    for wrong in (float("nan"), float("inf"), "1", True):
        fields["message"]["lease_s"] = wrong
        assert decode(msgpack.packb(fields)).is_err(), wrong


@then("crash evidence whose fingerprints are one string is refused")
def step_string_for_list(context):
    evidence = CrashEvidence(
        service="s", upstream="u", crash_id="c", fingerprints=("ab",)
    )
    fields = packed(evidence)
    assert decode(msgpack.packb(fields)).is_ok()
    for wrong in ("ab", {"a": 1}):
        fields["message"]["fingerprints"] = wrong
        assert decode(msgpack.packb(fields)).is_err()


@then("bytes above the limit are refused unread")
def step_too_large(context):
    error = decode(b"\0" * (MESSAGE_BYTES_MAX + 1)).unwrap_err()
    assert "too large" in error.detail
