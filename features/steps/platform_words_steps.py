"""Steps about decoding the platform's data, without processes."""

import ast
import json
import os
import pathlib
import struct
import tempfile
import tomllib
from unittest import mock

import attrs
from behave import then
from hypothesis import strategies
from result import Err

from features.helper import JSON, fuzz
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.catalog import Repeatability
from lavenderspoke.direct.dialect import RequestHead
from lavenderspoke.direct.inforce import CatalogInForce
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.policies import Policies
from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.platform import configuration, settings, settingsfile, store
from lavenderspoke.platform.registry import RECOVERY_GRACE_S, Registry
from lavenderspoke.platform.wire import PlatformDialect
from standins.platformdeployment import SETTINGS, configuration as example, route


def check_never_raises(strategy, decode) -> None:
    """Check that decoding never raises for generated values."""

    def check(value) -> None:
        decode(value)

    fuzz(strategy, check)


ROOT = pathlib.Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "lavenderspoke"
# The platform's names, which must not occur in modules outside the adapter.
PLATFORM_NAMES = (
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Token-Usage",
    "X-Length-Hint",
    "X-Expect-Instance",
    "X-Not-Executed",
    "X-Response-Signature",
    "X-Tenant",
    "X-Kv-Retention",
    "Server-Limit",
    "Server-Leaving",
    "hold-take",
    "path-prefix",
    "api-keys",
    "keyed.",
    "log-read",
    "node-name",
    "LAVENDERSPOKE_CONFIG",
)
# Decision modules of direct dispatch, and what they must not import.
DECISION_MODULES = (
    "catalog",
    "decoderate",
    "health",
    "pool",
    "prefillrate",
    "quota",
    "rankrates",
    "scheduler",
    "sharing",
    "usage",
)
FORBIDDEN_IMPORTS = {
    "socket",
    "threading",
    "time",
    "urllib3",
    "cheroot",
    "pynng",
    "http",
}


def settings_text(**changes) -> str:
    values = dict(
        name="edge-1",
        callers=80,
        readiness=81,
        peers=7600,
        grace_s=8,
        revoke_ms=5000,
        store="10.0.0.1:8225",
    )
    return SETTINGS.format(**(values | changes))


@then("the settings file is parsed with its addresses and units")
def step_settings(context):
    read = settings.parse(settings_text()).unwrap()
    assert read.direct.name == "edge-1"
    assert (read.direct.callers.host, read.direct.callers.port) == ("127.0.0.1", 80)
    assert read.direct.bounds.revoke_s == 5.0
    assert read.store.port == 8225


@then("all errors in a settings file are reported together")
def step_mistakes(context):
    text = settings_text(callers="x", store="nowhere").replace("zone=here", "zone=")
    mistakes = settings.parse(text).unwrap_err().mistakes
    assert len(mistakes) == 3, mistakes
    assert any(each.startswith("zone: missing") for each in mistakes)


@then("the settings file and a variable can name policies to disable")
def step_disable_policies(context):
    assert settings.parse(settings_text()).unwrap().direct.policies == Policies()
    text = settings_text() + "\ndisabled-policies=spillover, customer-shares\n"
    policies = settings.parse(text).unwrap().direct.policies
    assert policies == Policies(spillover=False, customer_shares=False)
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write(settings_text())
        file.flush()
        variable = {settingsfile.DISABLED_POLICIES_VARIABLE: "retry-bookings"}
        with mock.patch.dict(os.environ, variable):
            policies = settingsfile.read_settings(file.name).direct.policies
    assert policies == Policies(retry_bookings=False)


@then("an unknown policy is reported as an error")
def step_unknown_policy(context):
    text = settings_text() + "\ndisabled-policies=spill-over\n"
    mistakes = settings.parse(text).unwrap_err().mistakes
    assert mistakes == ("disabled-policies: unknown policy 'spill-over'",), mistakes


def encoded(content: dict) -> bytes:
    return json.dumps(content).encode()


@then("a configuration becomes routes, services, customers and limits")
def step_configuration(context):
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    content = example(3)
    content["routes"].append(
        route("split", "streaming", "", **{"traffic-split": split})
    )
    catalog = configuration.decode(encoded(content)).unwrap()
    assert catalog.version == 3
    once = catalog.route_for("tours.example", "/pay/1")
    assert once.repeatability is Repeatability.ONCE and not once.retryable
    stream = catalog.route_for("TOURS.example", "/stream/1")
    assert stream.retryable and stream.timeout_s == 5.0 and stream.patience_s == 3.2
    shares = catalog.route_for("tours.example", "/split/").traffic_split
    assert [(each.service, each.weight) for each in shares] == [
        ("a", 90.0),
        ("b", 10.0),
    ]
    assert catalog.customer_for("key-of-tours").name == "tours"
    assert catalog.customer_for("other") is None
    assert catalog.limits.idle_timeout_s == 15.0


@then("the longest path prefix matches, among {count:d} routes")
def step_prefixes(context, count):
    routes = [route(f"r{n}/{n}", "idempotent", "s") for n in range(count)]
    routes += [route("r7", "idempotent", "s"), route("r7/7/7", "idempotent", "s")]
    catalog = configuration.decode(encoded(example(1, routes=routes))).unwrap()
    names = {
        "/r7/7/7/x": "r7/7/7",
        "/r7/7/x": "r7/7",
        "/r7/x": "r7",
        "/r499/499/": "r499/499",
    }
    for path, name in names.items():
        assert catalog.route_for("tours.example", path).name == name
    assert catalog.route_for("tours.example", "/r7") is None
    assert catalog.route_for("other.example", "/r7/") is None


@then("decoding a configuration never raises")
def step_fuzz_configuration(context):
    fields = strategies.sampled_from(
        ["version", "routes", "services", "tenants", "limits", "kind", "name"]
    )
    shaped = strategies.dictionaries(fields, JSON, max_size=6)
    check_never_raises(shaped, lambda value: configuration.decode(encoded(value)))
    check_never_raises(strategies.binary(max_size=60), configuration.decode)
    for text in (b'{"version": Infinity}', b'{"version": 1, "routes": [[]]}', b"[]"):
        assert isinstance(configuration.decode(text), Err), text


def wire_record(key: str, value: bytes) -> bytes:
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


@then("records and deleted keys are decoded, and malformed ones are skipped")
def step_records(context):
    malformed = struct.pack(">I", 3) + b"\xff\x00\x00"
    data = struct.pack(">QQ", 9, 0) + wire_record("a", b"1") + malformed
    data += wire_record("b", b"")
    read = store.decode_records(data, 4).unwrap()
    assert read.records == (
        KeyedRecord(key="a", value=b"1", offset=4),
        KeyedRecord(key="b", value=None, offset=6),
    )
    assert (read.next_offset, read.skipped) == (7, 1)
    assert isinstance(store.decode_records(data[:-2], 4), Err)


@then("decoding a store response never raises")
def step_fuzz_store(context):
    check_never_raises(
        strategies.binary(max_size=80), lambda data: store.decode_records(data, 0)
    )
    check_never_raises(strategies.binary(max_size=80), store.decode_page)
    check_never_raises(strategies.binary(max_size=80), store.decode_offset_expired)
    check_never_raises(
        strategies.lists(JSON, max_size=3),
        lambda items: store.decode_newest(items, 0),
    )


def upstream_value(state: str = "ready") -> bytes:
    return encoded(
        {
            "service": "s",
            "address": "10.0.0.9:80",
            "zone": "z",
            "slots": 4,
            "state": state,
        }
    )


def record(key: str, offset: int, value: bytes | None) -> KeyedRecord:
    return KeyedRecord(key=key, value=value, offset=offset)


def names(registry: Registry, now_s: float) -> list[str]:
    return sorted(each.upstream_id for each in registry.upstreams(now_s))


@then("an older snapshot or record changes nothing")
def step_older(context):
    registry = Registry()
    registry.apply((record("a", 5, upstream_value("draining")),), 0.0)
    registry.replace((record("a", 3, upstream_value()),), 4, 0.0)
    assert registry.upstreams(0.0)[0].leaving
    registry.apply((record("a", 6, None),), 0.0)
    registry.apply((record("a", 5, upstream_value()),), 0.0)
    assert names(registry, 0.0) == []


@then("an upstream whose key is deleted is removed at once")
def step_dropped(context):
    registry = Registry()
    registry.apply((record("a", 1, upstream_value()), record("a", 2, None)), 0.0)
    assert names(registry, 0.0) == []


@then("after a gap, an upstream missing from the snapshot is removed")
def step_gap(context):
    registry = Registry()
    both = (record("a", 1, upstream_value()), record("b", 2, upstream_value()))
    registry.apply(both, 0.0)
    registry.replace((record("b", 2, upstream_value()),), 9, 0.0)
    assert names(registry, 0.0) == ["b"]


@then("a malformed record leaves the previous one in force")
def step_nonsense(context):
    registry = Registry()
    registry.apply((record("a", 1, upstream_value()), record("a", 2, b"[]")), 0.0)
    assert names(registry, 0.0) == ["a"]


@then("an upstream whose record expired during a store outage stays")
def step_lapsed(context):
    registry = context.registry = Registry()
    both = (record("a", 1, upstream_value()), record("b", 2, upstream_value()))
    registry.apply(both, 0.0)
    registry.on_store_failed()
    registry.apply((record("a", 3, None), record("b", 4, None)), 10.0)
    assert names(registry, 10.0) == ["a", "b"]


@then("it is gone {seconds:d} s after the recovery unless its record is renewed")
def step_gone(context, seconds):
    registry = context.registry
    registry.apply((record("a", 5, upstream_value()),), 11.0)
    assert RECOVERY_GRACE_S < seconds
    assert names(registry, 10.0 + seconds) == ["a"]


def in_force(clock: ManualClock) -> CatalogInForce:
    force = CatalogInForce(clock=clock, key_age_max_s=4.0)
    force.offer(configuration.decode(encoded(example(5))).unwrap())
    return force


def caller_head(**fields) -> RequestHead:
    return RequestHead(
        request_id="a1", method="POST", target="/", host="h", headers=(), **fields
    )


def reservation_request_for(**fields):
    upstream = Upstream(
        upstream_id="i-1@5",
        name="i-1",
        service="s",
        host="10.0.0.1",
        port=1,
        data_centre="here",
        slots=1,
    )
    head = caller_head(**fields)
    return PlatformDialect().reservation_request(head=head, upstream=upstream)


@then("the reservation request has the upstream's name and the total tokens")
def step_reservation_call(context):
    call = reservation_request_for(
        prompt_tokens=700, max_output_tokens=90, expected_output_tokens=30
    )
    assert (call.method, call.target) == ("POST", "/v1/hold-take"), call
    assert call.headers["X-Expect-Instance"] == "i-1", call
    assert json.loads(call.body) == {"token-count": 790, "ttl-ms": 500}, call


@then("no reservation is made for a request without token counts")
def step_no_reservation_call(context):
    assert PlatformDialect().supports_reservation(caller_head(prompt_tokens=700))
    assert not PlatformDialect().supports_reservation(caller_head())


@attrs.frozen(kw_only=True)
class Status:
    """The part of a response that `parse_reservation` uses."""

    status: int


@then("a response is a reservation only if it has a valid id")
def step_reservation(context):
    dialect = PlatformDialect()

    def reserved(status: int, body: bytes) -> str | None:
        return dialect.parse_reservation(Status(status=status), body)

    assert reserved(200, b'{"retention": "4029723f9713"}') == "4029723f9713"
    assert reserved(503, b"") is None
    assert reserved(503, b'{"retention": "4029723f9713"}') is None
    for body in (b"", b"{}", b'{"retention": 7}', b'{"retention": ""}'):
        assert reserved(200, body) is None, body
    assert reserved(200, b'{"retention": "a\\r\\nX-Tenant: b"}') is None
    check_never_raises(strategies.binary(), lambda body: reserved(200, body))


@then("a read's age counts from when it was sent")
def step_sent(context):
    clock = ManualClock(start_s=10.0)
    force = in_force(clock)
    assert not force.is_fresh()
    force.confirm(7.0)
    assert force.is_fresh()
    clock.advance(1.5)
    assert not force.is_fresh()


@then("the time that the machine is suspended counts")
def step_suspension(context):
    clock = ManualClock()
    force = in_force(clock)
    force.confirm(0.0)
    clock.advance(30.0)
    assert not force.is_fresh()


@then("an older version never replaces a newer one")
def step_version(context):
    force = in_force(ManualClock())
    assert not force.offer(configuration.decode(encoded(example(4))).unwrap())
    assert force.catalog.version == 5


def head_with_counts(lengths: str, expected: str) -> RequestHead:
    headers = [("X-Attempt-Id", "a"), ("X-Token-Usage", lengths)]
    headers.append(("X-Length-Hint", expected))
    return PlatformDialect().parse_request("POST", "/a/", headers).unwrap()


@then("a request's token counts are parsed, with the expected output tokens")
def step_lengths(context):
    head = head_with_counts("6610,3840", "382")
    assert (head.prompt_tokens, head.max_output_tokens) == (6610, 3840)
    assert head.total_tokens == 10450 and head.answer_tokens == 382


@then("expected output tokens above the maximum count as the maximum")
def step_expected_beyond(context):
    assert head_with_counts("6610,3840", "9000").answer_tokens == 3840


@then("no token count header raises, and malformed ones are ignored")
def step_lengths_without_sense(context):
    for text in ("", "-1", "1.5", "\u00b2", "\u0663", "9" * 5000, "0x10", "many"):
        assert head_with_counts(f"{text},3840", text).answer_tokens == 0
        assert head_with_counts("6610,3840", text).answer_tokens == 3840


def last_event(text: str):
    headers = (("X-Attempt-Id", "a"), ("Last-Event-Id", text))
    return PlatformDialect().parse_request("GET", "/a/", headers)


@then("it is accepted if it is a valid event id, and rejected otherwise")
def step_last_event(context):
    for text in ("0", "17", "007", "9" * 18):
        assert last_event(text).unwrap().last_event_id == text, text
    for text in ("", "-1", "1.5", "\u00b2", "\u0663", "9" * 5000, "9" * 19, "many"):
        assert isinstance(last_event(text), Err), text
    for text in (" 17", "\u00a017", "17\u2003"):
        assert isinstance(last_event(text), Err), text


def imported_modules(path: pathlib.Path) -> list[str]:
    modules = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            modules.append(node.module)
    return modules


def modules_outside() -> list[pathlib.Path]:
    return [
        path
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
    ]


@then("no module outside the adapter contains the platform's names")
def step_words(context):
    for path in modules_outside():
        text = path.read_text()
        found = [word for word in PLATFORM_NAMES if word in text]
        assert not found, (path, found)
        roots = [each for each in imported_modules(path) if "platform" in each]
        assert not any(each.split(".")[1:2] == ["platform"] for each in roots), path


@then("no decision module imports sockets, threads or clocks")
def step_decisions(context):
    for name in DECISION_MODULES:
        imported = imported_modules(PACKAGE / "direct" / f"{name}.py")
        roots = {each.partition(".")[0] for each in imported}
        assert not roots & FORBIDDEN_IMPORTS, (name, roots)


@then("the deployed packages are dependencies of the project")
def step_packages(context):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    deployed = (ROOT / "deploy" / "requirements.txt").read_text().split("\n")
    assert set(filter(None, deployed)) <= set(project["dependencies"])
