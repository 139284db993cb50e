"""The headers of one connection, which are not passed on to the next."""

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

Headers = tuple[tuple[str, str], ...]


def end_to_end(headers: Headers, dropped: frozenset[str] = frozenset()) -> Headers:
    """Return the headers that go on, without those `dropped` too (lower case).

    What a Connection header names belongs to the connection as well.

    >>> end_to_end((("Connection", "X-Hop"), ("X-Hop", "1"), ("X-End", "2")))
    (('X-End', '2'),)
    """
    named = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
    left_out = dropped | HOP_BY_HOP | named
    return tuple(each for each in headers if each[0].lower() not in left_out)
