"""What each action of a schedule does to a running soak."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from soak import events, schedule

if TYPE_CHECKING:
    from soak.run import Soak


@functools.singledispatch
def begin(action: events.Action, soak: "Soak") -> Callable[[], None] | None:
    """Do what an event says; return what undoes it, if anything does."""
    raise TypeError(type(action).__name__)


@begin.register(events.EntryKilled)
def _(action, soak):
    return soak.kill(action.entries)


@begin.register(events.VersionChanged)
def _(action, soak):
    return soak.change_version(action.upstreams, action.software)


@begin.register(events.EntryStopped)
def _(action, soak):
    return soak.stop(action.entry)


@begin.register(events.EntryPaused)
def _(action, soak):
    return soak.pause(action.entry)


@begin.register(events.EntryReloaded)
def _(action, soak):
    return soak.reload(action.entry)


@begin.register(events.ClientsCrowd)
def _(action, soak):
    return soak.crowd(action)


@begin.register(events.StoreFails)
def _(action, soak):
    return soak.fail_store(mode=action.mode)


@begin.register(events.StoreForgets)
def _(action, soak):
    return soak.forget()


@begin.register(events.StoreGoesBack)
def _(action, soak):
    return soak.go_back(action.away_s, action.again_s)


@begin.register(events.LinkFails)
def _(action, soak):
    return soak.fail_link(action.link, schedule.LINK_FAULTS[action.fault])


@begin.register(events.UpstreamFails)
def _(action, soak):
    faults = schedule.UPSTREAM_FAULTS[action.fault]
    return soak.fail_upstream(action.upstream, faults)


@begin.register(events.AnswersUnframed)
def _(action, soak):
    return soak.end_with_connections(action.upstream, crashes=action.crashes)


@begin.register(events.AnswersEndless)
def _(action, soak):
    faults = {"endless": action.place, "endless_gap_s": action.gap_s}
    return soak.fail_upstream(action.upstream, faults)


@begin.register(events.UpstreamSilent)
def _(action, soak):
    return soak.silence(action.upstream)


@begin.register(events.UpstreamLeaves)
def _(action, soak):
    return soak.leave(action.upstream)


@begin.register(events.LimitNamed)
def _(action, soak):
    return soak.name_limit(action.upstream, action.per_s)


@begin.register(events.PauseAsked)
def _(action, soak):
    return soak.ask_for_pause(action.upstream, action.pause_s)


@begin.register(events.LeavingSaid)
def _(action, soak):
    return soak.say_leaving(action.upstream)


@begin.register(events.ContentCrashes)
def _(action, soak):
    return soak.crash(
        action.gap_s, same_address=action.same_address, by_part=action.by_part
    )


@begin.register(events.ConnectionsShifted)
def _(action, soak):
    return soak.shift_connections(action.entry)


@begin.register(events.VersionPublished)
def _(action, soak):
    return soak.publish()


@begin.register(events.KeyRevoked)
def _(action, soak):
    return soak.revoke()


@begin.register(events.UpstreamInTrouble)
def _(action, soak):
    return soak.trouble(action.upstream, action.faults)


@begin.register(events.UpstreamSuspended)
def _(action, soak):
    return soak.suspend(action.upstream)


@begin.register(events.StoreTurnsAway)
def _(action, soak):
    return soak.turn_away(action.entries)


@begin.register(events.OddRecord)
def _(action, soak):
    return soak.leave_record(action.topic, action.key, action.value)
