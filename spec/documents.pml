/*
 * Edits, snapshots and relays of one service's document.
 *
 * Edits come to a log that gives offsets and keeps records for a limited time; any
 * edit may name any base: stale, doubled or racing (see publish.pml for who writes
 * them). Two daemons fold the log, one of them starting late and restarting with
 * nothing; each may write snapshots and pass its document on to the other, in and
 * out of log outages. A snapshot's append takes effect at once, late or never. A
 * paused daemon or an outage is one in which nothing is read for long: every step
 * may come at any later moment. The model keeps beside them what a reader from the
 * beginning, that never missed a record, accepts: the truth to compare with.
 *
 * How documents are carried forward, so that it harms nothing when several daemons
 * do it or when an edit overtakes it: a snapshot says what was in force after every
 * record up to `read_to`. A reader that has read everything since an offset up to
 * `read_to` + 1 knows there what a reader from the beginning knew, and is complete.
 * An incomplete reader accepts no edit; a complete one ignores what snapshots say.
 *
 * What the code has to keep, and what each switch takes out:
 *
 *   WITHOUT_BASE             an edit is accepted when its base is in force
 *   WITHOUT_MONOTONIC        a document passed on is held when its version is higher
 *   WITHOUT_COMPLETE         a reader that starts in the middle accepts no edit
 *                            until a snapshot proves what was in force
 *   WITHOUT_READ_TO          a snapshot proves nothing to a reader that started
 *                            after its `read_to` + 1
 *   WITHOUT_CARRIED_VERSION  a snapshot names the version as it was accepted, not
 *                            its own offset
 *   WITHOUT_COMPLETE_WRITER  only a complete reader writes a snapshot
 *   WITHOUT_GAP              a reader that was paused past the retention starts anew
 *
 * Property: a version in force at a daemon is one that the reader from the
 * beginning accepted, and never goes down; a complete reader agrees with it.
 * Bounds: one service, two daemons, one restart, four log records, of which any
 * number age out.
 */

#define DAEMONS 2
#define LOG 5 /* offsets 1 to 4; 0 stands for no version */

mtype:kind = { EMPTY, EDIT, SNAPSHOT };

/* The log. */
mtype:kind kind[LOG] = EMPTY;
byte base[LOG];      /* of an edit */
byte read_to[LOG];   /* of a snapshot */
byte version[LOG];   /* of a snapshot */
byte end = 1;        /* the next offset */
byte oldest = 1;

/* What the reader from the beginning has in force after each offset. */
byte truth[LOG];
bool accepted_edit[LOG];

byte next_offset[DAEMONS];
byte start[DAEMONS];
bool complete[DAEMONS];
byte accepted[DAEMONS];
byte held[DAEMONS];
byte unproven[DAEMONS]; /* edits that wait for a proof, a bit for each offset */
bool carrying[DAEMONS]; /* a snapshot's append is under way */
byte carried_read_to[DAEMONS];
byte carried_version[DAEMONS];

#define ROOM (end < LOG)

inline append_edit(from) {
    kind[end] = EDIT;
    base[end] = from;
    accepted_edit[end] = (from == truth[end - 1]);
    truth[end] = (accepted_edit[end] -> end : truth[end - 1]);
    end++
}

inline append_snapshot(d) {
    kind[end] = SNAPSHOT;
    read_to[end] = carried_read_to[d];
#ifdef WITHOUT_CARRIED_VERSION
    version[end] = (carried_version[d] == 0 -> 0 : end);
#else
    version[end] = carried_version[d];
#endif
    truth[end] = truth[end - 1];
    end++
}

/* A base that was never in force is never accepted: it need not be tried. */
active proctype Operators() {
    byte from;
    do
    :: atomic { ROOM ->
        select (from : 0 .. end - 1);
        if
        :: from == 0 || accepted_edit[from] -> append_edit(from)
        :: else
        fi; from = 0 }
    od
}

inline hold(d, v) {
    if
#ifdef WITHOUT_MONOTONIC
    :: v != 0 -> assert(v >= held[d]); held[d] = v
#else
    :: v > held[d] -> held[d] = v
#endif
    :: else
    fi;
    assert(held[d] == 0 || accepted_edit[held[d]])
}

inline decide(d, offset) {
    if
#ifdef WITHOUT_BASE
    :: true ->
#else
    :: base[offset] == accepted[d] ->
#endif
        accepted[d] = offset;
        hold(d, offset)
    :: else
    fi
}

inline complete_from(d, offset) {
    complete[d] = true;
    accepted[d] = version[offset];
    u = read_to[offset] + 1;
    do
    :: u < offset ->
        if
        :: unproven[d] & (1 << u) -> decide(d, u)
        :: else
        fi;
        u++
    :: else -> break
    od;
    u = 0;
    unproven[d] = 0
}

inline apply(d, offset) {
    if
    :: kind[offset] == EDIT && complete[d] -> decide(d, offset)
    :: kind[offset] == EDIT && !complete[d] ->
        unproven[d] = unproven[d] | (1 << offset)
    :: kind[offset] == SNAPSHOT ->
        hold(d, version[offset]);
        if
#ifdef WITHOUT_READ_TO
        :: !complete[d] ->
#else
        :: !complete[d] && read_to[offset] + 1 >= start[d] ->
#endif
            complete_from(d, offset)
        :: else
        fi
    fi
}

inline begin() {
    if
    :: oldest > next_offset[d] ->
        next_offset[d] = oldest;
#ifndef WITHOUT_GAP
        start[d] = oldest;
#ifndef WITHOUT_COMPLETE
        complete[d] = false;
        accepted[d] = 0;
        unproven[d] = 0
#endif
#endif
    :: else
    fi
}

#ifdef WITHOUT_COMPLETE_WRITER
#define COMPLETE_WRITER (true)
#else
#define COMPLETE_WRITER (complete[d])
#endif

proctype Daemon(byte d) {
    byte u;
    bool restarted = false;
    atomic { next_offset[d] = 1; start[d] = 1; complete[d] = true }
    do
    :: atomic { next_offset[d] < end ->
        begin();
        if
        :: next_offset[d] < end ->
            apply(d, next_offset[d]);
            next_offset[d]++
        :: else
        fi;
        assert(!complete[d] || accepted[d] == truth[next_offset[d] - 1]) }
    :: atomic { held[1 - d] > held[d] -> hold(d, held[1 - d]) } /* DocumentRelay */
#ifdef WITHOUT_MONOTONIC
    :: atomic { held[1 - d] != 0 && held[1 - d] < held[d] -> hold(d, held[1 - d]) }
#endif
    :: atomic { !carrying[d] && COMPLETE_WRITER ->
        carrying[d] = true;
        carried_read_to[d] = next_offset[d] - 1;
        carried_version[d] = held[d] }
    :: atomic { carrying[d] && ROOM -> append_snapshot(d); carrying[d] = false;
        carried_read_to[d] = 0; carried_version[d] = 0 }
    :: atomic { d == 1 && !restarted -> restarted = true; next_offset[1] = 1;
        start[1] = 1; complete[1] = true; accepted[1] = 0; held[1] = 0;
        unproven[1] = 0 }
    od
}

active proctype Retention() {
    do
    :: atomic { oldest < end ->
        kind[oldest] = EMPTY;
        read_to[oldest] = 0; version[oldest] = 0;
        oldest++ }
    od
}

init {
    atomic {
        run Daemon(0); run Daemon(1)
    }
}
