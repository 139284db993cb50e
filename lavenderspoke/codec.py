"""Bytes for the messages between daemons, by msgpack and cattrs.

A message travels as a msgpack map whose `type` names its class; fields at
their defaults are left out. Unknown fields are ignored, so that daemons of two
neighbouring releases understand each other. `decode` takes bytes from outside:
it checks every type and never raises.
"""

import types
import typing
from collections.abc import Callable

import attrs
import msgpack
from cattrs.preconf.msgpack import MsgpackConverter, make_converter
from cattrs.strategies import configure_tagged_union
from result import Err, Ok, Result

from lavenderspoke.envelope import Envelope
from lavenderspoke.model import InstanceId
from lavenderspoke.strict import strict

MESSAGE_BYTES_MAX = 8 * 1024 * 1024
"""No message is larger; both ends refuse it."""


@attrs.frozen(kw_only=True)
class CodecError:
    """Bytes that are not a message; `detail` is for the log."""

    detail: str


def _is_tuple(annotation) -> bool:
    return typing.get_origin(annotation) is tuple


def _tuple_hook(annotation, converter: MsgpackConverter) -> Callable:
    """Return a hook for tuples that takes only lists.

    Any iterable would do for cattrs, so the string "ab" would pass as the
    tuple ("a", "b").
    """
    arguments = typing.get_args(annotation)
    if arguments[-1] is Ellipsis:
        element, _ = arguments
        # Looked up on first use: a tuple may hold the class that holds it.
        hooks = []

        def structure_many(value, _):
            if type(value) is not list:
                raise TypeError("a list belongs here")
            if not hooks:
                hooks.append(converter.get_structure_hook(element))
            hook = hooks[0]
            return tuple([hook(each, element) for each in value])

        return structure_many
    pairs = [(each, converter.get_structure_hook(each)) for each in arguments]

    def structure_fixed(value, _):
        if type(value) is not list or len(value) != len(pairs):
            raise TypeError(f"a list of {len(pairs)} belongs here")
        return tuple(hook(each, kind) for each, (kind, hook) in zip(value, pairs))

    return structure_fixed


class Codec:
    """Bytes for one family of messages, the ones in the union `messages`.

    A daemon builds the codec of the family that it speaks: building one takes about
    a millisecond for each class, which counts while a daemon starts.
    """

    def __init__(self, *, messages: types.UnionType):
        # Its hooks are generated once, not for each message.
        converter = strict(
            make_converter(omit_if_default=True, detailed_validation=False)
        )
        converter.register_structure_hook_factory(_is_tuple)(_tuple_hook)
        configure_tagged_union(messages, converter, tag_name="type")
        self._messages = messages
        self._structure = converter.get_structure_hook(messages)
        self._unstructure = converter.get_unstructure_hook(messages)
        self._structure_instance = converter.get_structure_hook(InstanceId)
        self._unstructure_instance = converter.get_unstructure_hook(InstanceId)
        self._packed_last: tuple[object, bytes] = (None, b"")

    def encode(self, envelope: Envelope) -> bytes:
        """Return the envelope as bytes.

        One message often goes to many recipients in a row, and is packed once.
        """
        packer = msgpack.Packer(autoreset=False)
        packer.pack_map_header(3)
        packer.pack("sender")
        packer.pack(self._unstructure_instance(envelope.sender))
        packer.pack("recipient")
        packer.pack(self._unstructure_instance(envelope.recipient))
        packer.pack("message")
        return packer.bytes() + self._packed(envelope.message)

    def _packed(self, message: object) -> bytes:
        # Read and replaced as one, since several threads send.
        last, packed = self._packed_last
        if message is not last:
            packed = msgpack.packb(self._unstructure(message))
            self._packed_last = (message, packed)
        return packed

    def decode(self, data: bytes) -> Result[Envelope, CodecError]:
        """Return the envelope in these bytes, or what is wrong with them."""
        if len(data) > MESSAGE_BYTES_MAX:
            return Err(CodecError(detail=f"{len(data)} bytes is too large"))
        try:
            content = msgpack.unpackb(data, strict_map_key=False)
            return Ok(
                Envelope(
                    sender=self._structure_instance(content["sender"], InstanceId),
                    recipient=self._structure_instance(
                        content["recipient"], InstanceId
                    ),
                    message=self._structure(content["message"], self._messages),
                )
            )
        except Exception as error:
            # Bytes from outside reach msgpack, cattrs and the generated hooks, and
            # each fails in its own way. A broken message must cost its sender the
            # message and not this daemon its receiving thread.
            return Err(CodecError(detail=f"{type(error).__name__}: {error}"[:200]))
