"""Calls to upstreams, what is read of their answers, and a babbling upstream."""

import json
import socket
import threading

from lavenderspoke.model import Call
from standins.processes import HOST

TIMEOUT_S = 30.0
PROMPT = "tell the splits"
COMPLETIONS = "/v1/completions"


def model_call(request_id, prompt, tokens, stream=True):
    """Return a call for a completion."""
    body = {"prompt": prompt, "max_tokens": tokens, "stream": stream}
    return Call(
        request_id=request_id,
        service="narrative",
        method="POST",
        path=COMPLETIONS,
        headers=(("Content-Type", "application/json"),),
        body=json.dumps(body).encode(),
        customer="senderos",
        tier=1,
        stream=stream,
    )


def stream_text(bodies):
    """Return the text of the events, as a caller would put it together."""
    lines = b"".join(each.body for each in bodies).decode().splitlines()
    data = [line[6:] for line in lines if line.startswith("data: {")]
    return "".join(json.loads(each)["choices"][0]["text"] for each in data)


class Babbler:
    """Answers each connection with the bytes it was last given, and closes."""

    def __init__(self):
        self.answer = b""
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.url = f"http://{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            accepted, _ = self._listener.accept()
            with accepted:
                accepted.recv(65536)
                accepted.sendall(self.answer)
