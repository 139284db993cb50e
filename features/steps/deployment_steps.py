"""Steps that act on a deployment of real processes."""

import json

from behave import given, then, when

from standins.deployment import Deployment, Sending, Sent, document
from standins.processes import post_json, wait_until

WAIT_S = 30.0
HOUR_S = 3600.0


def deploy(context, *, proxied: bool = False, **settings) -> Deployment:
    """Start an empty deployment that ends with the scenario."""
    context.deployment = Deployment(settings=settings, proxied=proxied)
    context.stage = context.deployment.stage
    context.sending = Sending()
    context.sends = []
    return context.deployment


def start_payments(context, slots: int, proxied: bool) -> None:
    deployment = deploy(context, proxied=proxied)
    deployment.publish(document("ticketing", "plain"))
    deployment.entry("entry-1")
    deployment.entry("entry-2")
    plain = deployment.stage.plain("plain-1")
    deployment.agent("agent-p", "ticketing", plain, slots_max=slots)
    deployment.wait_ready()


def start_models(
    context,
    engines: dict[str, list[str]],
    proxied: bool = False,
    upstream: dict[str, str] | None = None,
) -> None:
    """Start two entries before these engines; `upstream` are settings of its agents."""
    deployment = deploy(context, proxied=proxied)
    deployment.publish(document("narrative", "model"))
    deployment.entry("entry-1")
    deployment.entry("entry-2")
    for number, (name, options) in enumerate(engines.items(), start=1):
        engine = deployment.stage.engine(name, *options)
        deployment.agent(f"agent-{number}", "narrative", engine, upstream=upstream)
    deployment.wait_ready()


@given("two entries before a payment service with {slots:d} slot")
@given("two entries before a payment service with {slots:d} slots")
def step_payments(context, slots):
    start_payments(context, slots, proxied=False)


@given("two proxied entries before a payment service with {slots:d} slots")
def step_proxied_payments(context, slots):
    start_payments(context, slots, proxied=True)


@given("two entries, of which entry-2 reads the log once, before a payment service")
def step_slow_reader(context):
    deployment = deploy(context)
    deployment.publish(document("ticketing", "plain"))
    deployment.entry("entry-1")
    plain = deployment.stage.plain("plain-1")
    deployment.agent("agent-p", "ticketing", plain)
    deployment.wait_ready()
    deployment.entry("entry-2", poll_s=HOUR_S)
    deployment.wait_ready()


@given("each payment takes {seconds:g} s")
def step_slow_payments(context, seconds):
    for upstream in context.deployment.upstreams.values():
        upstream.set_faults(delay_s=seconds)


def send_payment(context, order, entry, **headers) -> None:
    label = f"{order} #{len(context.sends)}"
    context.sends.append(label)
    pay = context.deployment.pay
    context.sending.begin(label, pay, entry, order, **headers)


@when('payment "{order}" is sent through {entry} with key "{key}"')
def step_pay(context, order, entry, key):
    first = {"Idempotency_Key": key, "Lavenderspoke_Sending": "first"}
    send_payment(context, order, entry, **first)


@when('payment "{order}" is sent again through {entry} with key "{key}"')
def step_pay_again(context, order, entry, key):
    again = {"Idempotency_Key": key, "Lavenderspoke_Sending": "resend"}
    send_payment(context, order, entry, **again)


def payment_runs(context, order: str) -> int:
    counts = [each.counts() for each in context.deployment.upstreams.values()]
    return merged(counts, "bodies").get(json.dumps({"order": order}), 0)


@when('payment "{order}" has begun to run')
def step_begun(context, order):
    wait_until(lambda: payment_runs(context, order), WAIT_S, f"{order} runs")


@when("process {entry} holds {count:d} waiting payment")
def step_holds(context, entry, count):
    def waiting() -> int:
        return sum(context.deployment.status(entry)["waiting"]["ticketing"].values())

    wait_until(lambda: waiting() == count, WAIT_S, f"{count} wait in {entry}")


@when("process {name} is killed")
def step_kill(context, name):
    context.deployment.process(name).kill()


@when("process {name} is paused")
def step_pause(context, name):
    context.deployment.process(name).pause()


@when("process {name} is resumed")
def step_resume(context, name):
    context.deployment.process(name).resume()


@when("process {name} is started again")
def step_start_again(context, name):
    deployment = context.deployment
    if name in deployment.upstreams:
        deployment.stage.restart(deployment.upstreams[name])
    else:
        deployment.restart(name)


@when("the way to {name} is delayed by {delay:d} ms")
def step_delay(context, name, delay):
    context.deployment.set_link(name, to_target={"delay_ms": delay})


@when("the way to {name} swallows everything")
def step_swallow(context, name):
    context.deployment.set_link(name, to_target={"half_open": True})


@when("the way to {name} is healed")
def step_heal(context, name):
    context.deployment.set_link(name, heal=True)


@when("process {name} has asked again {count:d} times")
def step_asked(context, name, count):
    def asked() -> int:
        counters = context.deployment.status(name)["counters"].get("retries", {})
        return counters.get("revoke", 0) + counters.get("attach", 0)

    wait_until(lambda: asked() >= count, WAIT_S, f"{name} asks {count} times")


@when("the entries can't reach the log")
def step_log_unreachable(context):
    context.deployment.set_link("log", refuse=True, cut=True)


@when("{agent} starts with a payment service of its own")
def step_starts(context, agent):
    deployment = context.deployment
    plain = deployment.stage.plain(f"plain-of-{agent}")
    deployment.agent(agent, "ticketing", plain, slots_max=4)
    wait_until(lambda: deployment.status(agent)["upstream_up"], WAIT_S, "it serves")


@when("{agent} has joined with a payment service of its own")
def step_has_joined(context, agent):
    step_starts(context, agent)
    deployment = context.deployment
    wait_until(
        lambda: deployment.status(agent)["join_offset"] >= 0, WAIT_S, f"{agent} joins"
    )


@when("{agent} joins with a payment service of its own")
def step_joins(context, agent):
    step_has_joined(context, agent)
    for entry in ("entry-1", "entry-2"):
        wait_until(lambda: sees(context, entry, agent), WAIT_S, f"{entry} sees it")


def sees(context, entry: str, name: str) -> bool:
    members = context.deployment.status(entry)["members"]
    return any(member["name"] == name for member in members)


@when("{count:d} payments are sent through {entry}")
def step_pay_many(context, count, entry):
    for number in range(count):
        step_pay(context, f"order {number}", entry, f"key-{number}")


@then("{agent} has refused some grants for their stamps")
def step_refused_stamps(context, agent):
    assert context.deployment.counter(agent, "grants_refused", "stale_stamp")


@then("{agent} has refused some grants because it has not joined")
def step_refused_not_joined(context, agent):
    assert context.deployment.counter(agent, "grants_refused", "not_joined")


@when("the log goes down")
def step_log_down(context):
    context.deployment.log.set_faults(mode="down")


@when("the log comes back")
def step_log_back(context):
    context.deployment.log.set_faults(mode="up")


@when("the member list is emptied")
def step_empty_list(context):
    port = context.deployment.members.port
    post_json(port, "/control/members", {"members": []})


@when("the member list names every daemon")
def step_full_list(context):
    context.deployment.list_members()


def result(context, label: str) -> Sent | Exception:
    results = context.sending.results
    wait_until(lambda: label in results, WAIT_S, f"{label} has its end")
    return results[label]


def assert_whole(context, label: str) -> None:
    sent = result(context, label)
    assert isinstance(sent, Sent), sent
    assert (sent.status, sent.whole) == (200, True), sent


@then("the last payment is answered whole")
def step_last_whole(context):
    assert_whole(context, context.sends[-1])


@then("every payment is answered whole")
def step_every_whole(context):
    for label in context.sends:
        assert_whole(context, label)


@then("the last payment is told that its outcome is unknown")
def step_unknown(context):
    sent = result(context, context.sends[-1])
    assert isinstance(sent, Sent) and sent.reason == "outcome_unknown", sent
    assert sent.problem["ran"] == "unknown", sent


@then('payment "{order}" ran once')
def step_ran_once(context, order):
    runs = payment_runs(context, order)
    assert runs == 1, f"{order} ran {runs} times"


@then('the payment service was given the key "{key}"')
def step_given_key(context, key):
    assert context.deployment.upstreams["plain-1"].counts()["keys"] == {key: 1}


@then("no promise is broken")
def step_promises(context):
    """Check every answer against the upstreams' own counts of runs."""
    context.sending.wait()
    counts = [each.counts() for each in context.deployment.upstreams.values()]
    for kind in ("runs", "keys"):
        for name, count in merged(counts, kind).items():
            assert count <= 1, f"{kind} {name} ran {count} times"
    ran = merged(counts, "runs")
    for label, sent in context.sending.results.items():
        if isinstance(sent, Sent) and sent.reason and sent.problem["ran"] == "no":
            request_id = sent.headers["Lavenderspoke-Request-Id"]
            assert request_id not in ran, f"{label} was told that it did not run"


def merged(counts: list[dict], kind: str) -> dict[str, int]:
    """Return one count over all upstreams."""
    total: dict[str, int] = {}
    for count in counts:
        for name, number in count[kind].items():
            total[name] = total.get(name, 0) + number
    return total
