"""What each action of a schedule does to a running soak."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from soak import schedule

if TYPE_CHECKING:
    from soak.run import Soak


@functools.singledispatch
def begin(action: schedule.Action, soak: "Soak") -> Callable[[], None] | None:
    """Do what an event says; return what undoes it, if anything does."""
    raise TypeError(type(action).__name__)


@begin.register(schedule.EntryKilled)
def _(action, soak):
    return soak.kill(action.entries)


@begin.register(schedule.EntryStopped)
def _(action, soak):
    return soak.stop(action.entry)


@begin.register(schedule.EntryPaused)
def _(action, soak):
    return soak.pause(action.entry)


@begin.register(schedule.EntryReloaded)
def _(action, soak):
    return soak.reload(action.entry)


@begin.register(schedule.StoreFails)
def _(action, soak):
    return soak.fail_store(mode=action.mode)


@begin.register(schedule.StoreForgets)
def _(action, soak):
    return soak.forget()


@begin.register(schedule.StoreGoesBack)
def _(action, soak):
    return soak.go_back(action.away_s, action.again_s)


@begin.register(schedule.LinkFails)
def _(action, soak):
    return soak.fail_link(action.link, schedule.LINK_FAULTS[action.fault])


@begin.register(schedule.UpstreamFails)
def _(action, soak):
    faults = schedule.UPSTREAM_FAULTS[action.fault]
    return soak.fail_upstream(action.upstream, faults)


@begin.register(schedule.AnswersUnframed)
def _(action, soak):
    return soak.end_with_connections(action.upstream, crashes=action.crashes)


@begin.register(schedule.AnswersEndless)
def _(action, soak):
    faults = {"endless": action.place, "endless_gap_s": action.gap_s}
    return soak.fail_upstream(action.upstream, faults)


@begin.register(schedule.UpstreamSilent)
def _(action, soak):
    return soak.silence(action.upstream)


@begin.register(schedule.UpstreamLeaves)
def _(action, soak):
    return soak.leave(action.upstream)


@begin.register(schedule.LimitNamed)
def _(action, soak):
    return soak.name_limit(action.upstream, action.per_s)


@begin.register(schedule.PauseAsked)
def _(action, soak):
    return soak.ask_for_pause(action.upstream, action.pause_s)


@begin.register(schedule.LeavingSaid)
def _(action, soak):
    return soak.say_leaving(action.upstream)


@begin.register(schedule.ContentCrashes)
def _(action, soak):
    return soak.crash(
        action.gap_s, same_address=action.same_address, by_part=action.by_part
    )


@begin.register(schedule.ConnectionsShifted)
def _(action, soak):
    return soak.shift_connections(action.entry)


@begin.register(schedule.VersionPublished)
def _(action, soak):
    return soak.publish()


@begin.register(schedule.KeyRevoked)
def _(action, soak):
    return soak.revoke()
