"""Checks what an upstream sends as a stream of events."""

from lavenderspoke.direct.exchange import IncompleteResponse, UpstreamResponse
from lavenderspoke.http.eventstream import Events, EventSplitter, is_event_stream


def check_events(response: UpstreamResponse, events: Events) -> None:
    """Raise IncompleteResponse if bytes between two events are no event."""
    if events.malformed and _is_event_stream(response):
        raise IncompleteResponse("a part of the stream is no event")


def check_end(response: UpstreamResponse, splitter: EventSplitter) -> None:
    """Raise IncompleteResponse if a complete body isn't a whole event stream."""
    if not _is_event_stream(response):
        return
    if missing := splitter.missing(response.framing):
        raise IncompleteResponse(missing)


def _is_event_stream(response: UpstreamResponse) -> bool:
    content_type = response.header("Content-Type").strip()
    # Without a type it is what its route says, a stream.
    return not content_type or is_event_stream(content_type)
