"""Steps about the orders that an agent gives its engine."""

from behave import given, then, when
from result import Err

from features.helper import stage_of
from lavenderspoke.documents.fold import InForce
from lavenderspoke.documents.service import (
    Kind,
    LabelOrder,
    Service,
    Tier,
    Upstreams,
)
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.ordering import Ordering
from lavenderspoke.upstreams.httpupstream import ModelUpstream
from lavenderspoke.upstreams.upstream import OrderAction, UpstreamBroken
from standins.processes import get_json

LABEL = "a"
ORDERED = "narrator"


class Documents:
    """Stands for the feed of an agent that has one document in force."""

    def __init__(self, *, version: int, model: str, labels_checked: tuple[str, ...]):
        self._labels_checked = labels_checked
        self.change(version, model)

    def change(self, version: int, model: str) -> None:
        order = LabelOrder(
            label=LABEL, action=OrderAction.LOAD_MODEL, name=ORDERED, version=model
        )
        service = Service(
            name="narrative",
            upstreams=Upstreams(
                kind=Kind.MODEL, labels=(LABEL,), checks_fencing=self._labels_checked
            ),
            tiers=(Tier(name="low", rank=1),),
            customers=(),
            orders=(order,),
        )
        self._document = InForce(version=version, service=service, record=None)

    def in_force(self, name: str) -> InForce:
        return self._document


class LosesAnswers(ModelUpstream):
    """An upstream whose answers to orders are lost on the way."""

    def order(self, fencing_number, order):
        super().order(fencing_number, order)
        return Err(UpstreamBroken(detail="the answer was lost"))


class PausesBeforeOrder(ModelUpstream):
    """An upstream that does something else first, while its agent is paused."""

    meanwhile = None

    def order(self, fencing_number, order):
        self.meanwhile()
        return super().order(fencing_number, order)


class LooksSlowly(ModelUpstream):
    """An upstream whose state takes so long that something else happens first."""

    meanwhile = None

    def order_state(self):
        self.meanwhile()
        return super().order_state()


def ordering(context, version, model, upstream_class=ModelUpstream, newest=True):
    upstream = upstream_class(base_url=context.engine.url)
    documents = Documents(
        version=version, model=model, labels_checked=context.labels_checked
    )
    part = Ordering(
        upstream=upstream,
        documents=documents,
        service="narrative",
        label=LABEL,
        is_newest=lambda: newest,
        metrics=Metrics(),
    )
    context.documents = documents
    return part, upstream


@given("an engine that {does} fencing numbers")
def step_engine(context, does):
    context.engine = stage_of(context).engine("engine-1")
    context.engine.set_faults(checks_fencing=does == "checks")
    context.labels_checked = (LABEL,) if does == "checks" else ()


@when('the agent with version {version:d} carries out "{model}"')
def step_order(context, version, model):
    ordering(context, version, model)[0].poll()


@when('the agent with version {version:d} carries out "{model}" and its answer is lost')
def step_order_lost(context, version, model):
    ordering(context, version, model, LosesAnswers)[0].poll()


@when('a replaced agent with version {version:d} carries out "{model}"')
def step_replaced(context, version, model):
    ordering(context, version, model, newest=False)[0].poll()


@when('the agent with version {version:d} is paused before it orders "{model}"')
def step_paused(context, version, model):
    context.paused, context.paused_upstream = ordering(
        context, version, model, PausesBeforeOrder
    )


@when(
    'the document becomes version {newer:d} with "{newer_model}" while the agent '
    'with version {version:d} carries out "{model}"'
)
def step_changes_meanwhile(context, newer, newer_model, version, model):
    part, upstream = ordering(context, version, model, LooksSlowly)
    upstream.meanwhile = lambda: context.documents.change(newer, newer_model)
    part.poll()


@when('meanwhile the agent with version {version:d} carries out "{model}"')
def step_meanwhile(context, version, model):
    newer, _ = ordering(context, version, model)
    context.paused_upstream.meanwhile = newer.poll


@when("the agent with version {version:d} wakes")
def step_wakes(context, version):
    context.paused.poll()


@when("the engine restarts")
def step_restart(context):
    context.engine.process.kill()
    context.engine = stage_of(context).restart(context.engine)


@then('the engine has "{model}" in force under number {number:d}')
def step_in_force(context, model, number):
    state = ModelUpstream(base_url=context.engine.url).order_state().unwrap()
    assert state.fencing == number, state
    assert [order.version for order in state.orders] == [model], state


@then("the engine was ordered {count:d} time")
@then("the engine was ordered {count:d} times")
def step_ordered(context, count):
    taken = get_json(context.engine.port, "/control/orders")["taken"]
    assert len(taken) == count, taken
