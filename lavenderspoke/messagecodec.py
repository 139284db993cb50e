"""The codec of the messages that entries and agents send each other."""

from lavenderspoke.codec import Codec
from lavenderspoke.messages import Message

CODEC = Codec(messages=Message)
