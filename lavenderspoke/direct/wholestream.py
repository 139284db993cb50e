"""Holds a stream until its end, for callers who can't tell where it breaks off."""

from lavenderspoke.direct.dispatcher import FullResponse, StreamResponse
from lavenderspoke.direct.exchange import IncompleteResponse
from lavenderspoke.resources.clientmemory import Holding
from lavenderspoke.resources.heldbody import HeldBody

# Length up to which a stream is held until its end, in bytes.
STREAM_BYTES_MAX = 32 * 1024 * 1024


def gather(stream: StreamResponse, *, wait_s: float) -> FullResponse:
    """Return a stream as a full response; raises IncompleteResponse.

    While the entry has no room for its bytes, it waits up to `wait_s` for each of them.
    """
    with HeldBody(kind=Holding.ANSWERS, bytes_max=STREAM_BYTES_MAX) as body:
        for events in stream.chunks:
            if not body.append(events, wait_s=wait_s):
                raise IncompleteResponse("too long to be held until its end")
        return FullResponse(
            status=stream.status, headers=stream.headers, body=body.value()
        )
