import threading

from behave import given, then

from lavenderspoke.observing.metrics import OTHER_LABEL, LatencyKey, Metrics


@given('metrics with 3 refusals for "{reason}" and latencies of 10, 20 and 30 ms')
def step_metrics(context, reason):
    context.metrics = Metrics()
    context.metrics.count("refusals", reason, 3)
    context.metrics.set_gauge("waiting", 7)
    for latency_s in (0.010, 0.020, 0.030):
        context.metrics.observe("answer", "narrative", "alerts", latency_s)


@given("metrics with a counter whose reason holds quotes and line breaks")
def step_injected(context):
    context.metrics = Metrics()
    context.metrics.count("refusals", 'x"} 1\nforged{a="')


@given("metrics with latencies of {services:d} services and {counters:d} counters")
def step_many(context, services, counters):
    context.metrics = Metrics()
    for number in range(services):
        context.metrics.observe("answer", f"s{number}", "t", 0.001)
    for number in range(counters):
        context.metrics.count("refusals", f"r{number}")


@given("metrics that {threads:d} threads count {times:d} times each")
def step_threads(context, threads, times):
    context.metrics = Metrics()

    def work():
        for _ in range(times):
            context.metrics.count("refusals", "shed")

    workers = [threading.Thread(target=work) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()


@then("the metrics page has these lines")
def step_has_lines(context):
    lines = context.metrics.render().splitlines()
    for row in context.table:
        assert row["line"] in lines, lines


@then("the median latency is within 1 % of 20 ms")
def step_median(context):
    key = LatencyKey(name="answer", service="narrative", tier="alerts")
    median_s = context.metrics.latencies()[key].quantiles_s[50.0]
    assert abs(median_s - 0.020) <= 0.0002, median_s


@then("the metrics page has {count:d} lines")
def step_line_count(context, count):
    assert len(context.metrics.render().splitlines()) == count


@then("there are at most {latencies:d} latencies and {counters:d} counters")
def step_bounded(context, latencies, counters):
    snapshot = context.metrics.snapshot()
    assert len(snapshot["latencies"]) <= latencies
    assert len(snapshot["counters"]["refusals"]) <= counters


@then("no count is missing")
def step_nothing_missing(context):
    snapshot = context.metrics.snapshot()
    assert sum(snapshot["counters"]["refusals"].values()) == 3000
    assert sum(each["count"] for each in snapshot["latencies"]) == 1000
    assert context.metrics.counter_value("refusals", OTHER_LABEL) > 0


@then("the counter reads {count:d}")
def step_counter_reads(context, count):
    assert context.metrics.counter_value("refusals", "shed") == count
