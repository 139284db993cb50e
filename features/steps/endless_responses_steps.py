"""Steps about upstreams whose answers never end."""

import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
import urllib3
from behave import given, then, when

from features.platformstage import deploy, set_all, start_upstreams
from features.rawhttp import request_bytes
from standins.platformdeployment import (
    HOST_HEADER,
    KEY,
    Answer,
    configuration,
    route,
)
from standins.processes import HOST, wait_until

ENTRIES = ("entry-1", "entry-2")
KINDS = {"look": "GET", "pay": "POST", "stream": "POST", "stream-once": "POST"}
PACES_S = {"in drops": 0.1, "in a flood": 0.0}
# How much longer than its bound an answer is waited for, in seconds.
GIVE_UP_S = 2.0
# Time in which the requests of callers that leave have reached an upstream, in seconds.
UNDER_WAY_S = 0.6
MB = 1024 * 1024
CALLERS_PAUSE_S = 0.05


@attrs.frozen(kw_only=True)
class Asked:
    """One request of a crowd, and whether it was served."""

    sent_s: float
    served: bool


@given("two entries before upstreams, with routes that time out after {timeout_s:d} s")
def step_entries(context, timeout_s):
    platform = deploy(context)
    content = configuration(2)
    for each in content["routes"]:
        each["timeout-ms"] = timeout_s * 1000
    platform.configure(content)
    start_upstreams(platform)
    for name in ENTRIES:
        platform.entry(name)


def send_without_end(context, prefix: str, place: str, pace: str) -> None:
    set_all(context, prefix, endless=place, endless_gap_s=PACES_S[pace])


@given('every upstream sends "{place}" without end, {pace}')
def step_endless(context, place, pace):
    send_without_end(context, "", place, pace)


@when("every upstream is sound again")
def step_sound(context):
    set_all(context, "", endless="")
    context.sound_s = time.monotonic()


def ask(context, entry: str, kind: str) -> Answer | None:
    """Return what comes for a request, None if nothing or only a cut does."""
    try:
        return context.platform.send(entry, f"/{kind}/1", method=KINDS[kind])
    except urllib3.exceptions.HTTPError:
        return None


def ask_all(context, kinds, limit_s: float) -> None:
    """Send these through each entry at once; `took_s` has when each was over.

    Those that aren't answered in time are left behind.
    """
    answers, took_s = {}, {}
    context.answers, context.took_s = answers, took_s

    def run(entry: str, kind: str) -> None:
        began_s = time.monotonic()
        answers[entry, kind] = ask(context, entry, kind)
        took_s[entry, kind] = time.monotonic() - began_s

    threads = [
        threading.Thread(target=run, args=(entry, kind), daemon=True)
        for entry in ENTRIES
        for kind in kinds
    ]
    for thread in threads:
        thread.start()
    give_up_s = time.monotonic() + limit_s
    for thread in threads:
        thread.join(max(0.0, give_up_s - time.monotonic()))
    context.over_s = time.monotonic()


@when("a request of each kind is sent through each entry")
def step_each_kind(context):
    ask_all(context, KINDS, 1.5 + GIVE_UP_S)


@when("a plain request is sent through each entry")
def step_plain(context):
    ask_all(context, ("look", "pay"), 0.5 + GIVE_UP_S)


@then("each has its final answer within {bound_s:g} s of being sent")
def step_answered(context, bound_s):
    wanted = [(entry, kind) for entry in ENTRIES for kind in KINDS]
    late = {
        each: round(context.took_s.get(each, float("inf")), 2)
        for each in wanted
        if context.took_s.get(each, float("inf")) > bound_s
    }
    assert not late, late


@then("each is answered whole within {bound_s:g} s")
def step_whole(context, bound_s):
    assert len(context.answers) == 4, context.took_s
    for answer in context.answers.values():
        assert answer is not None and answer.whole and answer.status == 200, answer
        assert answer.body == b"whole" and answer.took_s < bound_s, answer


@then("no upstream is at work for them {later_s:g} s later")
def step_not_at_work(context, later_s):
    time.sleep(max(0.0, context.over_s + later_s - time.monotonic()))
    at_work = [run for run in context.platform.runs() if run["ended_s"] is None]
    late = [
        run
        for run in context.platform.runs()
        if run["ended_s"] is not None and run["ended_s"] > context.over_s + later_s
    ]
    assert not at_work and not late, (len(at_work), len(late))


@then("a request of each kind is served through each entry")
def step_served(context):
    ask_all(context, KINDS, GIVE_UP_S)
    statuses = {key: each and each.status for key, each in context.answers.items()}
    assert set(statuses.values()) == {200} and len(statuses) == 8, statuses


def open_requests(context, kinds, count: int) -> list[socket.socket]:
    """Send that many requests of each kind to each entry; return their sockets."""
    sockets = []
    for entry in ENTRIES:
        for kind in kinds:
            for number in range(count):
                headers = {
                    "Host": HOST_HEADER,
                    "X-Attempt-Id": f"{entry}-{kind}-{number}",
                    "X-Deadline-Ms": "8000",
                    "Authorization": f"Bearer {KEY}",
                }
                data = request_bytes(
                    method=KINDS[kind], path=f"/{kind}/1", headers=headers.items()
                ).replace(b"Host: test\r\n", b"", 1)
                port = context.platform.entries[entry].callers
                sock = socket.create_connection((HOST, port))
                context.add_cleanup(sock.close)
                sock.sendall(data)
                sockets.append(sock)
    return sockets


@when(
    "{count:d} callers of each kind leave each entry by a {leaving} at the same moment"
)
def step_leave(context, count, leaving):
    sockets = open_requests(context, KINDS, count)
    time.sleep(UNDER_WAY_S)
    assert context.platform.runs() or context.platform.arrivals("desk-1")
    for sock in sockets:
        if leaving == "reset":
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
    context.over_s = time.monotonic()


@when(
    "{count:d} callers of each kind of stream send requests and read nothing for "
    "{seconds:g} s"
)
def step_read_nothing(context, count, seconds):
    open_requests(context, [each for each in KINDS if "stream" in each], count)
    time.sleep(seconds)
    assert context.platform.runs()
    context.over_s = time.monotonic()


@when(
    "every upstream sends each of these as a flood to {count:d} callers of each entry"
)
def step_flood(context, count):
    context.peak_mb = {name: 0 for name in ENTRIES}
    for row in context.table:
        send_without_end(context, "", row["place"], "in a flood")
        kinds = [*KINDS] * (count // len(KINDS))
        with ThreadPoolExecutor(2 * count) as pool:
            asked = [
                pool.submit(ask, context, entry, kind)
                for entry in ENTRIES
                for kind in kinds
            ]
            give_up_s = time.monotonic() + 4.5 + GIVE_UP_S
            while time.monotonic() < give_up_s and not all(a.done() for a in asked):
                note_memory(context)
                time.sleep(0.05)
            set_all(context, "", endless="")


def note_memory(context) -> None:
    for name in ENTRIES:
        process = context.platform.entries[name].process
        if process.alive():
            used_mb = process.resident_bytes() // MB
            context.peak_mb[name] = max(context.peak_mb[name], used_mb)


@then("no entry has used more than {limit:d} MB, and all are alive")
def step_memory(context, limit):
    for name in ENTRIES:
        assert context.platform.entries[name].process.alive(), name
    assert max(context.peak_mb.values()) <= limit, context.peak_mb


@when("{count:d} callers ask again and again, and all entries are killed and come back")
def step_crowd(context, count):
    asked, over = [], threading.Event()
    context.asked = asked

    def run(number: int) -> None:
        kinds = [*KINDS]
        while not over.is_set():
            number += 1
            sent_s = time.monotonic()
            entry = ENTRIES[number % len(ENTRIES)]
            answer = ask(context, entry, kinds[number // 2 % len(kinds)])
            served = answer is not None and answer.status == 200 and answer.whole
            asked.append(Asked(sent_s=sent_s, served=served))
            time.sleep(CALLERS_PAUSE_S)

    threads = [
        threading.Thread(target=run, args=(number,), daemon=True)
        for number in range(count)
    ]

    def stop() -> None:
        over.set()
        for thread in threads:
            thread.join(GIVE_UP_S)

    context.add_cleanup(stop)
    for thread in threads:
        thread.start()
    time.sleep(3.0)
    for name in ENTRIES:
        context.platform.entries[name].process.kill()
    time.sleep(0.5)
    for name in ENTRIES:
        context.platform.restart(name)
    time.sleep(2.0)


@then(
    "of the requests sent later than {after_s:d} s after that at least {share:g} are "
    "served"
)
def step_served_share(context, after_s, share):
    from_s = context.sound_s + after_s
    time.sleep(max(0.0, from_s + 3.0 - time.monotonic()))
    asked = [each for each in list(context.asked) if each.sent_s >= from_s]
    served = sum(each.served for each in asked)
    assert len(asked) > 20 and served >= share * len(asked), (served, len(asked))


@when("the store sends without end for {seconds:d} s, and is sound again")
def step_store_endless(context, seconds):
    context.platform.store.set_faults(mode="endless")
    time.sleep(seconds)
    context.platform.store.set_faults(mode="up")


@then("within {limit_s:d} s a new version is in force at each entry")
def step_new_version(context, limit_s):
    content = configuration(3)
    content["routes"].append(route("new", "idempotent", "desk"))
    context.platform.configure(content)

    def is_in_force() -> bool:
        statuses = [
            context.platform.send(entry, "/new/1", method="GET").status
            for entry in ENTRIES
        ]
        return statuses == [200] * len(ENTRIES)

    wait_until(is_in_force, limit_s, "the new version is in force")
