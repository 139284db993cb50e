/*
 * Claim, Claimed, Unclaim, Grant, Refused, Revoke, LedgerHandover: one key.
 *
 * Send 0 is the caller's first send, sends 1 and 2 are its re-sends, each through
 * another entry. An agent incarnation appends a join record to the roster; the
 * record's offset is its join offset. A grant carries its send's stamp. Messages
 * are lost, doubled, reordered and delayed without bound: a message is a bit that
 * stays set once sent. A paused entry is one that does nothing for long, so every
 * step may come at any later moment. To attach to a running attempt ends a send
 * and dispatches nothing; here it is one of the ways to end, like a backing off.
 *
 * What the code has to keep, and what each switch takes out:
 *
 *   WITHOUT_STAMP             an agent refuses a grant stamped below its join offset
 *   WITHOUT_EARLY_STAMP       the stamp of a first send is an offset that was folded
 *                             before the caller re-sent; an entry that reads a first
 *                             send late (it was paused) can't know that, unless the
 *                             caller names an offset that it was told earlier
 *   WITHOUT_FRESH_READ        a re-send reads the roster to its end after it came
 *                             in; a failed read makes it unknown
 *   WITHOUT_ONE_READ          a re-send reads once: an answer to a Claim says
 *                             nothing of ledgers handed over after it
 *   WITHOUT_CLAIM             a re-send is granted after all its claims are held
 *   WITHOUT_ALL_INCARNATIONS  claims go to every incarnation of the roster read,
 *                             not just to those that live
 *   WITHOUT_JOIN_FIRST        an agent accepts keyed work after its join record
 *   WITHOUT_HANDOVER          the leave record follows the taken ledger
 *   WITHOUT_STOP_FIRST        the ledger is handed over after accepting has ended
 *   WITHOUT_FENCE             a key claimed for one send refuses the grants of others
 *   WITHOUT_BURN              a refused or revoked grant burns its nonce for the
 *                             request, which outlasts the claim that it lost against
 *   WITHOUT_UNKNOWN_RESEND    a dropped re-send gives its claims back and is told
 *                             "unknown", since an earlier send may then run
 *   WITHOUT_UNGRANTED         a claim is given back only by a send whose grants were
 *                             all refused or revoked
 *   WITHOUT_CLAIMING_FIRST    a first send refused for its stamp goes on only by
 *                             the claim procedure
 *   WITHOUT_UPSTREAM_DOUBT    an upstream that doesn't know the key leaves the claim
 *                             at a crashed incarnation unanswered: the dispatch may
 *                             still be on its way
 *
 * Shapes, each searched whole:
 *
 *   SHAPE_TWO_SENDS            a restart, a joining agent and clean leaves
 *   SHAPE_THREE_SENDS_RESTART  a restart and a joining agent
 *   SHAPE_THREE_SENDS_LEAVING  a joining agent and clean leaves
 *
 * A send is granted once at most to one incarnation here; that a nonce tells a new
 * grant from a late copy of an older one is grant.pml's part.
 *
 * Property: at most one dispatch of the key; when a send is told "not run", no
 * send up to it is ever dispatched.
 * Bounds: two or three sends, each through its own entry, two agents, at most one
 * restart, at most four roster records; key lifetime without end.
 */

#ifdef SHAPE_TWO_SENDS
#define SENDS 2
#else
#define SENDS 3
#endif
#define INCARNATIONS 3 /* 0 and 1 are two lives of one agent, 2 is another */
#define PAIRS 9
#define AT(s, i) ((s) * INCARNATIONS + (i))

/* A ledger's record of the key. */
#define CLAIMED(s) (1 << (s))
#define DISPATCHED(s) (8 << (s))

mtype:place = { NEW, WAITING, CLAIMING, HOLDING, GRANTED, DONE };
mtype:life = { ABSENT, JOINING, SERVING, HANDED, GONE };

mtype:place place[SENDS] = NEW;
bool claiming[SENDS]; /* Claim messages were sent */
bool unclaim[SENDS];
bool not_run[3];
byte stamp[SENDS];
byte holder[SENDS];
bool grant[PAIRS];
byte first_stamp[INCARNATIONS]; /* of send 0's grants; a re-send has one stamp */
bool refused[PAIRS]; /* Refused, or Revoked with NEVER */
bool claimed[PAIRS];

mtype:life life[INCARNATIONS] = ABSENT;
byte ledger[INCARNATIONS];
bool burnt[PAIRS];

byte roster_end = 1;
byte join_at[INCARNATIONS]; /* offset of the join record, 0 for none */
byte left_at[INCARNATIONS]; /* offset of the leave record, 0 for none */
byte heir[INCARNATIONS]; /* whom the leave record names */

byte dispatches = 0;
byte ran = 0; /* bit s: send s was dispatched */
#ifdef WITHOUT_UPSTREAM_DOUBT
bool arrived = false; /* the upstream knows of the run */
#endif

#define LEFT(s, i) (left_at[i] != 0 && left_at[i] <= stamp[s])
#define BY_HEIR(s, i) (LEFT(s, i) && claimed[AT(s, heir[i])])
#define BY_HEIRS_HEIR(s, i) (LEFT(s, i) && BY_HEIR(s, heir[i]))
#define IN_ROSTER(s, i) (join_at[i] != 0 && join_at[i] <= stamp[s])
#ifdef WITHOUT_ALL_INCARNATIONS
#define PASSED_OVER(i) (life[i] == GONE && left_at[i] == 0)
#else
#ifdef WITHOUT_UPSTREAM_DOUBT
#define PASSED_OVER(i) (i == 0 && life[1] == SERVING && left_at[0] == 0 && !arrived)
#else
#define PASSED_OVER(i) (false)
#endif
#endif
#define ANSWERED(s, i) (!IN_ROSTER(s, i) || claimed[AT(s, i)] || BY_HEIR(s, i) || \
                        BY_HEIRS_HEIR(s, i) || PASSED_OVER(i))
#ifdef WITHOUT_CLAIM
#define ALL_CLAIMED(s) (true)
#else
#define ALL_CLAIMED(s) (ANSWERED(s, 0) && ANSWERED(s, 1) && ANSWERED(s, 2))
#endif

#ifdef WITHOUT_EARLY_STAMP
#define CALLER_RE_SENDS (true)
#else
#define CALLER_RE_SENDS (place[0] != NEW)
#endif

#ifdef WITHOUT_UNGRANTED
#define GIVES_BACK (place[s] == GRANTED)
#else
#define GIVES_BACK (false)
#endif

#ifdef WITHOUT_JOIN_FIRST
#define PULLS(i) (life[i] == SERVING || life[i] == JOINING)
#else
#define PULLS(i) (life[i] == SERVING)
#endif

inline end_send() {
    claiming[s] = false; /* a Claim later than its Unclaim only refuses others */
    holder[s] = 0;
    place[s] = DONE
}

inline read_roster() {
#ifdef WITHOUT_FRESH_READ
    select (i : 0 .. roster_end);
    stamp[s] = i;
    i = 0;
#else
    stamp[s] = roster_end;
#endif
    claiming[s] = true;
    place[s] = CLAIMING
}

inline send_grant(i) {
    holder[s] = i;
    grant[AT(s, i)] = true;
    if
    :: s == 0 -> first_stamp[i] = stamp[0]
    :: else
    fi;
    place[s] = GRANTED
}

#ifdef WITHOUT_UNKNOWN_RESEND
#define TELLS_NOT_RUN(s) (true)
#else
#define TELLS_NOT_RUN(s) (s == 0)
#endif

inline tell_not_run() {
    not_run[s] = true;
    assert((ran & ((2 << s) - 1)) == 0);
    unclaim[s] = true;
    end_send()
}

proctype Entry(byte s) {
    byte i;
    do
    :: atomic { s == 0 && place[0] == NEW ->
        select (i : 1 .. roster_end);
        stamp[0] = i; i = 0;
        place[0] = WAITING }
    :: atomic { s > 0 && place[s] == NEW && CALLER_RE_SENDS -> read_roster() }
    :: atomic { s == 0 && place[0] == WAITING -> read_roster() }
#ifdef WITHOUT_CLAIMING_FIRST
    :: atomic { s == 0 && place[0] == WAITING -> stamp[0] = roster_end }
#endif
#ifdef WITHOUT_ONE_READ
    :: atomic { place[s] == CLAIMING && stamp[s] < roster_end -> stamp[s] = roster_end }
#endif
    :: atomic { place[s] == CLAIMING && ALL_CLAIMED(s) -> place[s] = HOLDING }
    :: atomic { place[s] == WAITING || place[s] == HOLDING ->
        select (i : 0 .. INCARNATIONS - 1);
        if
        :: PULLS(i) && !grant[AT(s, i)] -> send_grant(i)
        :: else
        fi; i = 0 }
    :: atomic { place[s] == GRANTED && refused[AT(s, holder[s])] ->
        place[s] = (claiming[s] -> HOLDING : WAITING); holder[s] = 0 }
    :: atomic { (place[s] == WAITING || place[s] == HOLDING) && TELLS_NOT_RUN(s) ->
        tell_not_run(); break }
    :: atomic { place[s] == CLAIMING || place[s] == HOLDING || GIVES_BACK ->
        unclaim[s] = true; end_send(); break }
    :: atomic { place[s] == GRANTED -> end_send(); break }
    od
}

inline dispatch(s) {
    dispatches++;
    assert(dispatches <= 1);
    assert(!(not_run[2] || (not_run[1] && s <= 1) || (not_run[0] && s == 0)));
    ledger[i] = (ledger[i] & ~CLAIMED(s)) | DISPATCHED(s);
    ran = ran | (1 << s)
}

inline refuse(s) {
#ifndef WITHOUT_BURN
    burnt[AT(s, i)] = true;
#endif
    refused[AT(s, i)] = true
}

#ifdef WITHOUT_STAMP
#define STAMPED(s) (true)
#else
#define STAMPED(s) ((s == 0 -> first_stamp[i] : stamp[s]) >= join_at[i])
#endif
#ifdef WITHOUT_FENCE
#define FREE(s) ((ledger[i] & (DISPATCHED(0) | DISPATCHED(1) | DISPATCHED(2))) == 0)
#else
#define FREE(s) ((ledger[i] & ~CLAIMED(s)) == 0)
#endif
#ifdef WITHOUT_JOIN_FIRST
#define ACCEPTS (life[i] == SERVING || life[i] == JOINING)
#else
#ifdef WITHOUT_STOP_FIRST
#define ACCEPTS (life[i] == SERVING || life[i] == HANDED)
#else
#define ACCEPTS (life[i] == SERVING)
#endif
#endif

inline on_grant(s) {
    if
    :: ledger[i] & DISPATCHED(s)
    :: else ->
        if
        :: ACCEPTS && !burnt[AT(s, i)] && STAMPED(s) && FREE(s) -> dispatch(s)
        :: !refused[AT(s, i)] -> refuse(s) /* also for want of room, or revoked */
        :: else
        fi
    fi
}

inline on_claim(s) {
    if
    :: ACCEPTS && IN_ROSTER(s, i) && (ledger[i] & ~CLAIMED(s)) == 0 ->
        ledger[i] = CLAIMED(s);
        claimed[AT(s, i)] = true
    :: else
    fi
}

inline hand_over(h) {
    heir[i] = h;
#ifndef WITHOUT_HANDOVER
    if /* a run goes before a claim, an own claim before a handed one */
    :: ledger[h] >= DISPATCHED(0) || (ledger[h] != 0 && ledger[i] < DISPATCHED(0))
    :: else -> ledger[h] = (ledger[i] != 0 -> ledger[i] : ledger[h])
    fi;
#endif
    life[i] = HANDED
}

inline leave() {
    roster_end++;
    left_at[i] = roster_end;
    life[i] = GONE;
    ledger[i] = 0
}

proctype Agent(byte i) {
    byte s;
    do
    :: atomic { life[i] == ABSENT && (i != 1 || life[0] == GONE) ->
#ifdef WITHOUT_JOIN_FIRST
        life[i] = JOINING }
    :: atomic { life[i] == JOINING ->
#endif
        life[i] = SERVING;
        roster_end++;
        join_at[i] = roster_end }
    :: atomic { life[i] != ABSENT && life[i] != GONE ->
        select (s : 0 .. SENDS - 1);
        if
        :: grant[AT(s, i)] -> on_grant(s)
        :: claiming[s] -> on_claim(s)
        :: unclaim[s] -> ledger[i] = ledger[i] & ~CLAIMED(s)
        :: else
        fi; s = 0 }
#ifndef SHAPE_THREE_SENDS_RESTART
    :: atomic { life[i] == SERVING ->
        if
        :: i == 2 && life[0] == SERVING -> hand_over(0)
        :: i == 2 && life[1] == SERVING -> hand_over(1)
        :: i != 2 && life[2] == SERVING -> hand_over(2)
        :: else
        fi;
#ifdef WITHOUT_STOP_FIRST
        }
    :: atomic { life[i] == HANDED -> leave() }
#else
        if
        :: life[i] == HANDED -> leave()
        :: else
        fi }
#endif
#endif
    :: atomic { life[i] != ABSENT && life[i] != GONE ->
        life[i] = GONE;
        ledger[i] = 0 }
    od
}

#ifdef WITHOUT_UPSTREAM_DOUBT
active proctype Upstream() {
    atomic { dispatches > 0 -> arrived = true }
}
#endif

init {
    atomic {
        life[0] = SERVING;
        join_at[0] = 1;
        run Entry(0); run Entry(1);
#if SENDS == 3
        run Entry(2);
#endif
#ifndef SHAPE_THREE_SENDS_LEAVING
        run Agent(1);
#endif
        run Agent(0); run Agent(2)
    }
}
