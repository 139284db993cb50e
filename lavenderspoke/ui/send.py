"""The command that sends a request as a caller."""

import json
import pathlib
import sys
import time
from typing import Annotated
from urllib.parse import urlsplit

import typer

from lavenderspoke import sender
from lavenderspoke.config import read_text
from lavenderspoke.model import Ran
from lavenderspoke.sender import Answered, Outcome, OutgoingRequest, Refused, Sender
from lavenderspoke.ui.common import printable
from lavenderspoke.util import UserError

SEND_EXIT_CODES = (
    "Exit status: 0 the whole answer came; 1 it came with an error status of the "
    "upstream's; 2 wrong usage; 3 it may have run (outcome unknown, or the answer "
    "broke off); 4 it did not run (refused, or nobody was reached)."
)
EXIT_UPSTREAM_ERROR = 1
EXIT_UNKNOWN = 3
EXIT_NOT_RUN = 4
AUTO_KEY = "auto"
COMPLETIONS_PATH = "/v1/completions"


class NotAnswered(UserError):
    """No whole answer came."""

    def __init__(self, line: str, exit_status: int):
        super().__init__(line)
        self.exit_status = exit_status


def send(
    url: Annotated[
        str, typer.Argument(help="An entry's URL with the service and its path.")
    ],
    credential_file: Annotated[
        pathlib.Path, typer.Option(help="File that holds the customer's credential.")
    ],
    prompt: Annotated[
        str | None,
        typer.Option(help=f"Ask a model; {COMPLETIONS_PATH} is added to a bare URL."),
    ] = None,
    body: Annotated[
        str | None, typer.Option(help="The body, @FILE for a file's, @- for stdin's.")
    ] = None,
    method: Annotated[str, typer.Option(help="The HTTP method.")] = "POST",
    tier: Annotated[
        str | None, typer.Option(help="The tier; by default the customer's lowest.")
    ] = None,
    deadline_s: Annotated[
        float, typer.Option(min=0.001, help="Seconds after which it is worthless.")
    ] = 60.0,
    max_tokens: Annotated[
        int, typer.Option(min=1, help="The longest answer to --prompt.")
    ] = 256,
    stream: Annotated[
        bool, typer.Option(help="With --prompt, show the answer as it comes.")
    ] = False,
    key: Annotated[
        str | None,
        typer.Option(help=f"Idempotency key; {AUTO_KEY!r} makes a new one."),
    ] = None,
    idempotent: Annotated[
        bool, typer.Option(help="Whether running it twice does no harm.")
    ] = True,
    retries: Annotated[
        int, typer.Option(min=0, help="Send again up to so often, where it's safe.")
    ] = 0,
) -> None:
    """Send a request and print its answer as it comes.

    It is sent again only after the time that the refusal names, under the same
    key, and never where a second run could do harm.
    """
    request = OutgoingRequest(
        url=_full_url(url, prompt),
        method=method.upper(),
        body=_body(prompt, body, max_tokens, stream),
        credential=read_text(credential_file).strip(),
        tier=tier,
        deadline_s=deadline_s,
        key=sender.new_key() if key == AUTO_KEY else key,
        first_send=True if key == AUTO_KEY else None,
        idempotent=idempotent,
    )
    outcome = Sender(output=_write, wait=time.sleep, on_retry=_show_retry).send(
        request, retries=retries
    )
    _finish(outcome)


def _full_url(url: str, prompt: str | None) -> str:
    path = urlsplit(url).path.strip("/")
    if not path:
        raise typer.BadParameter("the URL must name a service, as in http://HOST/NAME")
    if prompt is not None and "/" not in path:
        return url.rstrip("/") + COMPLETIONS_PATH
    return url


def _body(prompt: str | None, body: str | None, max_tokens: int, stream: bool) -> bytes:
    if prompt is not None and body is not None:
        raise typer.BadParameter("give --prompt or --body, not both")
    if prompt is not None:
        fields = {"prompt": prompt, "max_tokens": max_tokens, "stream": stream}
        return json.dumps(fields).encode()
    if body == "@-":
        return sys.stdin.buffer.read()
    if body is not None and body.startswith("@"):
        return read_text(pathlib.Path(body[1:])).encode()
    return (body or "").encode()


def _write(data: bytes) -> None:
    sys.stdout.buffer.write(data)
    sys.stdout.buffer.flush()


def _show_retry(outcome: Outcome, delay_s: float) -> None:
    print(f"{_describe(outcome)}; again in {delay_s:g} s", file=sys.stderr)


def _describe(outcome: Outcome) -> str:
    if isinstance(outcome, Refused):
        detail = printable(outcome.detail)
        return (
            f"refused: {printable(outcome.reason)} (ran: {outcome.ran.value}) {detail}"
        )
    return printable(outcome.detail)


def _finish(outcome: Outcome) -> None:
    if isinstance(outcome, Answered):
        if outcome.status >= 400:
            line = f"the upstream answered with status {outcome.status}"
            raise NotAnswered(line, EXIT_UPSTREAM_ERROR)
        return
    did_not_run = isinstance(outcome, sender.Unreached) or (
        isinstance(outcome, Refused) and outcome.ran is Ran.NO
    )
    status = EXIT_NOT_RUN if did_not_run else EXIT_UNKNOWN
    raise NotAnswered(_describe(outcome), status)
