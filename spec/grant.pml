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
 *   WITHOUT_NONCE        a grant needs a nonce that hasn't expired
 *   WITHOUT_ONCE         a nonce allows a request once: a dispatch that never
 *                        reached the upstream is not made again by a late copy
 *   WITHOUT_DUPLICATE    a grant of what runs here is answered with Granted
 *   WITHOUT_INCARNATION  an agent drops what was meant for its earlier life
 *   WITHOUT_SENDER       an answer counts only from the present holder
 *   WITHOUT_NONCE_NAMED  an answer counts only for the nonce of the present grant
 *   WITHOUT_BURN         a Refused or Revoked(NEVER) burns the nonce for the request
 *   WITHOUT_REVOKED      no second grant before Refused or Revoked(NEVER)
 *   WITHOUT_WAITING      "not run" is said of a waiting request only
 *   WITHOUT_HOLD         a Refused or Revoked(NEVER) counts only for a time after
 *                        the grant was sent (NEVER_RAN_TRUST_S): the ledger forgets
 *                        what ran after a longer time (RUN_MEMORY_S)
 *   WITHOUT_RESUME_RULE  an upstream that doesn't know a run makes it unknown
 *   WITHOUT_ONE_SEND     the agent never repeats its HTTP request to the upstream
 *
 * Property: at most one dispatch and one run of the request; a caller that was
 * told "not run" never finds it dispatched, then or later.
 * Bounds: one request, one entry, two agents, one restart, at most two nonces for
 * each incarnation.
 */

#define INCARNATIONS 3 /* 0 and 1 are two lives of one agent, 2 is another */
#define AGENTS 2
#define NONCES 2 /* of incarnation 2; the others pull once */
#define PAIRS 6
#define ON(i, nonce) ((i) * NONCES + (nonce))

mtype:place = { WAITING, GRANTED, RUNNING, DONE };
mtype:told = { NOTHING, NOT_RUN, UNKNOWN, ANSWER };

mtype:place place = WAITING;
mtype:told told = NOTHING;
byte holder = 0;
byte nonce = 0;             /* of the grant in force */
bool hold_over = false;     /* NEVER_RAN_TRUST_S has passed since it was sent */
bool hold_ended[INCARNATIONS];

/* Messages that were sent. */
byte pulls[INCARNATIONS]; /* Pull messages; the last nonce is pulls - 1 */
bool grant[PAIRS];
bool granted[PAIRS]; /* Granted, or Revoked with DISPATCHED */
bool refused[PAIRS]; /* Refused, or Revoked with NEVER */
bool revoke[PAIRS];
bool pieces[INCARNATIONS];
bool answer_taken[INCARNATIONS];
bool resume;

bool dispatched[INCARNATIONS]; /* the ledger's run of the request */
byte dispatched_on[INCARNATIONS];
bool expired[INCARNATIONS]; /* the last nonce has expired */
bool used[INCARNATIONS];    /* the last nonce was used or burnt for the request */
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

#ifdef WITHOUT_NONCE_NAMED
#define OF_GRANT(bits, k) (bits[ON(k, 0)] || bits[ON(k, 1)])
#else
#define OF_GRANT(bits, k) (bits[ON(k, nonce)])
#endif

#ifdef WITHOUT_HOLD
#define NEVER_COUNTS (true)
#else
#define NEVER_COUNTS (!hold_over)
#endif

#ifdef WITHOUT_NONCE
#define IN_TIME(n) (true)
#else
#define IN_TIME(n) (pulls[i] == n + 1 && !expired[i])
#endif

#define OUT (place == GRANTED || place == RUNNING)

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
    nonce = pulls[k] - 1;
    hold_over = false;
    hold_ended[k] = false;
    grant[ON(k, nonce)] = true;
    place = GRANTED
}

proctype Entry() {
    byte k;
    do
    :: atomic { place == DONE -> break }
    :: atomic { place == WAITING ->
        select (k : 0 .. INCARNATIONS - 1);
        if
        :: pulls[k] > 0 && !grant[ON(k, pulls[k] - 1)] -> send_grant(k)
        :: else
        fi; k = 0 }
    :: atomic { place == WAITING -> tell(NOT_RUN) }
#ifdef WITHOUT_WAITING
    :: atomic { place == GRANTED -> tell(NOT_RUN) }
#endif
    :: atomic { place == GRANTED && OF_GRANT(granted, holder) -> place = RUNNING }
    :: atomic { OUT && NEVER_COUNTS ->
        select (k : 0 .. INCARNATIONS - 1);
        if
        :: FROM_HOLDER(k) && OF_GRANT(refused, k) -> place = WAITING
        :: else
        fi; k = 0 }
    :: atomic { place == GRANTED && !revoke[ON(holder, nonce)] ->
        revoke[ON(holder, nonce)] = true;
#ifdef WITHOUT_REVOKED
        place = WAITING
#endif
        }
    :: atomic { OUT && pieces[holder] -> tell(ANSWER) }
    :: atomic { OUT && holder == 0 && up[1] && !resume -> resume = true }
    :: atomic { OUT && holder == 0 && pieces[1] && resume -> tell(ANSWER) }
#ifdef WITHOUT_RESUME_RULE
    :: atomic { OUT && holder == 0 && resume && !known[0] -> place = WAITING }
#endif
    :: atomic { OUT -> tell(UNKNOWN) }
    od
}

inline burn(n) {
#ifndef WITHOUT_BURN
    if
    :: pulls[i] == n + 1 -> used[i] = true
    :: else
    fi
#else
    skip
#endif
}

inline dispatch(n) {
    dispatches++;
    assert(dispatches <= 1);
    assert(told != NOT_RUN);
    dispatched[i] = true;
    dispatched_on[i] = n;
#ifndef WITHOUT_ONCE
    used[i] = true;
#endif
    on_the_way[i / 2]++;
    granted[ON(i, n)] = true
}

inline on_grant(n) {
    if
#ifdef WITHOUT_DUPLICATE
    :: false
#else
    :: dispatched[i] -> granted[ON(i, n)] = true
#endif
    :: else ->
        if
        :: IN_TIME(n) && !used[i] -> dispatch(n)
        :: burn(n); refused[ON(i, n)] = true /* also leaving, not joined */
        fi
    fi
}

inline on_revoke(n) {
    if
    :: dispatched[i] -> granted[ON(i, n)] = true
    :: else -> burn(n); refused[ON(i, n)] = true
    fi
}

/* The upstream refused the connection: the dispatch never reached it. */
inline not_started() {
    on_the_way[i / 2]--;
    dispatches--;
    dispatched[i] = false;
    refused[ON(i, dispatched_on[i])] = true
}

proctype Agent(byte i) {
    byte j;
    atomic { i % 2 == 0 || gone[i - 1] -> up[i] = true }
    do
    :: atomic { up[i] && pulls[i] < (i == 2 -> NONCES : 1) &&
                (pulls[i] == 0 || expired[i]) ->
        pulls[i]++; expired[i] = false; used[i] = false }
    :: atomic { up[i] && pulls[i] > 0 && !expired[i] -> expired[i] = true }
    :: atomic { up[i] ->
        select (j : 0 .. INCARNATIONS - 1);
        if
        :: MEANT_FOR_ME(j) && grant[ON(j, 0)] -> on_grant(0)
        :: MEANT_FOR_ME(j) && grant[ON(j, 1)] -> on_grant(1)
        :: MEANT_FOR_ME(j) && revoke[ON(j, 0)] -> on_revoke(0)
        :: MEANT_FOR_ME(j) && revoke[ON(j, 1)] -> on_revoke(1)
        :: else
        fi; j = 0 }
    :: atomic { up[i] && dispatched[i] && on_the_way[i / 2] == 1 -> not_started() }
    :: atomic { up[i] && dispatched[i] && known[i / 2] -> pieces[i] = true }
    :: atomic { up[i] && i == 1 && resume && known[0] -> pieces[1] = true }
    :: atomic { up[i] && dispatched[i] && on_the_way[i / 2] == 0 &&
                (answer_taken[i] || hold_ended[i]) ->
        dispatched[i] = false } /* forgets */
#ifdef WITHOUT_ONE_SEND
    :: atomic { up[i] && dispatched[i] && on_the_way[i / 2] == 0 &&
                !known[i / 2] -> on_the_way[i / 2]++ }
#endif
    :: atomic { up[i] -> up[i] = false; gone[i] = true; dispatched[i] = false;
        expired[i] = true; break }
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
    :: atomic { OUT && !hold_over -> hold_over = true; hold_ended[holder] = true }
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
