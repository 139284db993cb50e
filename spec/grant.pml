/*
 * Pull, Grant, Granted, Refused, Revoke, Revoked, Pieces, AnswerTaken, Resume.
 *
 * One request waits in one entry. Two agents may be granted it, one of
 * which restarts. Messages are lost, doubled, reordered and delayed without bound: a
 * message is a bit that stays set once sent and may be received at any later
 * moment, never or many times. Nonces repeat in each incarnation, so nothing
 * here leans on a nonce being unique across restarts.
 *
 * What the code has to keep, and what each switch takes out:
 *
 *   WITHOUT_NONCE        a grant needs a live nonce with a slot left
 *   WITHOUT_DUPLICATE    a request id in the ledger is not dispatched again
 *   WITHOUT_INCARNATION  an agent drops what was meant for its earlier life
 *   WITHOUT_SENDER       a Refused or Revoked counts only from the present holder
 *   WITHOUT_TOMBSTONE    a Refused or Revoked(NEVER) leaves a NEVER record
 *   WITHOUT_REVOKED      no second grant before Refused or Revoked(NEVER)
 *   WITHOUT_WAITING      "not run" is said of a waiting request only
 *   WITHOUT_RECORD_LIFE  a record outlives the nonce that could bring its request
 *   WITHOUT_EXCLUSION    a request id is granted once at most to one incarnation
 *   WITHOUT_HOLD         a record that may be forgotten by age is not asked about:
 *                        the entry takes a NEVER only within the hold time, which
 *                        it measures from before it sent the grant
 *   WITHOUT_RESUME_RULE  an upstream that doesn't know a run makes it unknown
 *   WITHOUT_ONE_SEND     the agent never repeats its HTTP request to the upstream
 *
 * Property: at most one dispatch and one run of the request; a caller that was
 * told "not run" never finds it dispatched, then or later.
 * Bounds: one request, one entry, two agents, one restart, at most two
 * nonces of two slots for each incarnation.
 */

#define INCARNATIONS 3 /* 0 and 1 are two lives of one agent, 2 is another */
#define AGENTS 2
#define SLOTS 2
#define NONCES 2 /* nonces of incarnation 2; the others pull once */

mtype:place = { WAITING, GRANTED, RUNNING, DONE };
mtype:standing = { NONE, DISPATCHED, NEVER };
mtype:told = { NOTHING, NOT_RUN, UNKNOWN, ANSWER };

#ifdef WITHOUT_RECORD_LIFE
#define NONCE_SPENT (true)
#else
#define NONCE_SPENT (slots[i] == 0)
#endif

mtype:place place = WAITING;
mtype:told told = NOTHING;
byte holder = 0;
bool hold_over[INCARNATIONS];
bool excluded[INCARNATIONS];

/* Messages that were sent. */
bool grant[6]; /* by incarnation * NONCES + nonce */
bool granted[INCARNATIONS]; /* Granted, or Revoked with DISPATCHED */
bool refused[INCARNATIONS]; /* Refused, or Revoked with NEVER */
bool revoke[INCARNATIONS];
bool pieces[INCARNATIONS];
bool answer_taken[INCARNATIONS];
bool resume[INCARNATIONS];

mtype:standing record[INCARNATIONS] = NONE;
byte pulls[INCARNATIONS]; /* Pull messages sent; the last nonce is pulls - 1 */
byte slots[INCARNATIONS]; /* left on the last nonce */
bool up[INCARNATIONS];
bool gone[INCARNATIONS];

byte dispatches = 0;
byte runs = 0;
byte on_the_way[AGENTS]; /* HTTP requests that the upstream hasn't read */
bool known[AGENTS];      /* the upstream knows the run by its id */

#ifdef WITHOUT_INCARNATION
#define MEANT_FOR_ME(j) ((j) / 2 == i / 2)
#else
#define MEANT_FOR_ME(j) ((j) == i)
#endif

#ifdef WITHOUT_SENDER
#define FROM_HOLDER(k) (true)
#else
#define FROM_HOLDER(k) ((k) == holder)
#endif

#ifdef WITHOUT_HOLD
#define NEVER_COUNTS (true)
#else
#define NEVER_COUNTS (!hold_over[holder])
#endif

inline tell(what) {
    told = what;
    assert(told != NOT_RUN || dispatches == 0);
    if
    :: place != WAITING -> answer_taken[holder] = true
    :: else
    fi;
    place = DONE
}

inline send_grant(k) {
    holder = k;
    hold_over[k] = false;
    grant[k * NONCES + pulls[k] - 1] = true;
    place = GRANTED
}

inline back_to_waiting() {
#ifndef WITHOUT_EXCLUSION
    excluded[holder] = true;
#endif
    place = WAITING
}

proctype Entry() {
    byte k;
    do
    :: atomic { place == DONE -> break }
    :: atomic { place == WAITING ->
        select (k : 0 .. INCARNATIONS - 1);
        if
        :: pulls[k] > 0 && !excluded[k] -> send_grant(k)
        :: else
        fi; k = 0 }
    :: atomic { place == WAITING -> tell(NOT_RUN) }
#ifdef WITHOUT_WAITING
    :: atomic { place == GRANTED -> tell(NOT_RUN) }
#endif
    :: atomic { place == GRANTED && granted[holder] -> place = RUNNING }
    :: atomic { place == GRANTED && NEVER_COUNTS ->
        select (k : 0 .. INCARNATIONS - 1);
        if
        :: FROM_HOLDER(k) && refused[k] -> back_to_waiting()
        :: else
        fi; k = 0 }
    :: atomic { place == GRANTED && !revoke[holder] ->
        revoke[holder] = true;
#ifdef WITHOUT_REVOKED
        back_to_waiting()
#endif
        }
    :: atomic { (place == GRANTED || place == RUNNING) && pieces[holder] ->
        tell(ANSWER) }
    :: atomic { (place == GRANTED || place == RUNNING) &&
                holder == 0 && up[1] && !resume[1] ->
        resume[1] = true }
    :: atomic { (place == GRANTED || place == RUNNING) &&
                holder == 0 && pieces[1] && resume[1] ->
        tell(ANSWER) }
#ifdef WITHOUT_RESUME_RULE
    :: atomic { (place == GRANTED || place == RUNNING) &&
                holder == 0 && resume[1] && !known[holder / 2] ->
        back_to_waiting() }
#endif
    :: atomic { place == GRANTED || place == RUNNING -> tell(UNKNOWN) }
    od
}

inline dispatch() {
    dispatches++;
    assert(dispatches <= 1);
    assert(told != NOT_RUN);
    record[i] = DISPATCHED;
    on_the_way[i / 2]++;
    granted[i] = true
}

inline refuse() {
#ifndef WITHOUT_TOMBSTONE
    record[i] = NEVER;
#endif
    refused[i] = true
}

#define LIVE(nonce) (pulls[i] == nonce + 1 && slots[i] > 0)

inline on_grant(nonce) {
    if
#ifndef WITHOUT_DUPLICATE
    :: record[i] == DISPATCHED -> granted[i] = true
#endif
    :: record[i] == NEVER -> refused[i] = true
#ifdef WITHOUT_DUPLICATE
    :: record[i] != NEVER && LIVE(nonce) ->
        slots[i]--; dispatch()
#else
    :: record[i] == NONE && LIVE(nonce) ->
        slots[i]--; dispatch()
#endif
    :: record[i] == NONE && LIVE(nonce) -> refuse() /* leaving, full */
    :: record[i] == NONE && !LIVE(nonce) ->
#ifdef WITHOUT_NONCE
        dispatch()
#else
        refused[i] = true
#endif
    fi
}

inline on_revoke() {
    if
    :: record[i] == DISPATCHED -> granted[i] = true
    :: else ->
#ifndef WITHOUT_TOMBSTONE
        record[i] = NEVER;
#endif
        refused[i] = true
    fi
}

proctype Agent(byte i) {
    byte j;
    atomic { i % 2 == 0 || gone[i - 1] -> up[i] = true }
    do
    :: atomic { up[i] && slots[i] == 0 &&
                pulls[i] < (i == 2 -> NONCES : 1) ->
        pulls[i]++; slots[i] = SLOTS }
    :: atomic { up[i] && slots[i] > 0 -> slots[i] = 0 } /* the nonce expires */
    :: atomic { up[i] ->
        select (j : 0 .. INCARNATIONS - 1);
        if
        :: MEANT_FOR_ME(j) && grant[j * NONCES] -> on_grant(0)
        :: MEANT_FOR_ME(j) && grant[j * NONCES + 1] -> on_grant(1)
        :: MEANT_FOR_ME(j) && revoke[j] -> on_revoke()
        :: else
        fi; j = 0 }
    :: atomic { up[i] && record[i] == DISPATCHED && known[i / 2] -> pieces[i] = true }
    :: atomic { up[i] && resume[i] && known[i / 2] -> pieces[i] = true }
    :: atomic { up[i] && record[i] != NONE && (answer_taken[i] || hold_over[i]) &&
                NONCE_SPENT -> record[i] = NONE } /* forgets */
#ifdef WITHOUT_ONE_SEND
    :: atomic { up[i] && record[i] == DISPATCHED && on_the_way[i / 2] == 0 &&
                !known[i / 2] -> on_the_way[i / 2]++ }
#endif
    :: atomic { up[i] -> up[i] = false; gone[i] = true; record[i] = NONE;
        slots[i] = 0; break }
    od
}

inline arrive(a) {
    on_the_way[a]--;
    known[a] = true;
    runs++;
    assert(runs <= 1)
}

/* Time passes at the entry first: it measures the hold from before the grant. */
proctype Environment() {
    do
    :: atomic { place != WAITING && !hold_over[holder] -> hold_over[holder] = true }
    :: atomic { on_the_way[0] > 0 -> arrive(0) }
    :: atomic { on_the_way[1] > 0 -> arrive(1) }
    :: atomic { known[0] -> known[0] = false } /* the upstream restarts */
    :: atomic { known[1] -> known[1] = false }
    od
}

init {
    atomic {
        run Entry();
        run Agent(0); run Agent(1); run Agent(2);
        run Environment()
    }
}
