/*
 * Floor and FloorHeld: dropping work of the high tier across entries.
 *
 * Entry 0 is short of room and may drop a waiting request of the high tier once
 * every entry that it knows keeps nothing of the low tier. Entry 1 is known from
 * the start; entry 2 starts at some moment and is heard of later. Messages are lost,
 * doubled, reordered and delayed without bound: a message is a bit that stays set
 * once sent. A floor is a lease; a round's lease is over at the holder, by its own
 * clock measured from before it sent, before it can be over at a peer, which
 * measures from when it heard. A request that was granted may come back.
 *
 * What the code has to keep, and what each switch takes out:
 *
 *   WITHOUT_ACKNOWLEDGEMENT  the holder waits until each peer holds the floor
 *   WITHOUT_EARLIER_LEASE    the lease ends at the holder first
 *   WITHOUT_HOLDER_LEASE     the holder drops only within its lease
 *   WITHOUT_KEEPING_OUT      a peer refuses arrivals below a floor
 *   WITHOUT_PUT_BACK         what comes back from a grant below a floor is dropped
 *   WITHOUT_OWN_FLOOR        the holder keeps its own floor
 *   WITHOUT_ROUND            an acknowledgement counts for its own round only
 *   WITHOUT_MEMBERS          a round doesn't cover a peer that was heard of after
 *                            it was announced
 *   WITHOUT_DROPPING         a peer drops what waits below the floor before it says
 *                            that it holds it
 *
 * Property: when a request of the high tier is dropped, no entry keeps one of the
 * low tier waiting, except an entry that the holder hasn't heard of yet, or takes
 * for lost while it lives.
 * Bounds: one holder, two peers of which one starts late, two tiers, three rounds;
 * one peer may be taken for lost, rightly or wrongly.
 */

#define ENTRIES 3
#define ROUNDS 3 /* rounds 1 to 3; 0 stands for none */
#define AT(round, peer) ((round) * ENTRIES + (peer))
#define PAIRS 12

bool low[ENTRIES];     /* a request of the low tier waits */
bool granted[ENTRIES]; /* one was granted and may come back */
bool high = false;     /* one of the high tier waits in the holder */
bool up[ENTRIES];

/* The holder. */
byte round = 0;
bool lease_over[4]; /* by the holder's clock */
bool heard_of[ENTRIES];
bool lost[ENTRIES];
bool member[ENTRIES];
bool missing[ENTRIES];

/* Messages that were sent, and floors that are held. */
bool floor[PAIRS];
bool floor_held[PAIRS];
bool holds[PAIRS];

#ifdef WITHOUT_OWN_FLOOR
#define OWN_FLOOR (false)
#else
#define OWN_FLOOR (round > 0 && !lease_over[round])
#endif
#ifdef WITHOUT_KEEPING_OUT
#define KEPT_OUT(e) (e == 0 && OWN_FLOOR)
#else
#define KEPT_OUT(e) ((e == 0 && OWN_FLOOR) || (e != 0 && \
    (holds[AT(1, e)] || holds[AT(2, e)] || holds[AT(3, e)])))
#endif
#ifdef WITHOUT_PUT_BACK
#define DROPPED_WHEN_BACK(e) (false)
#else
#define DROPPED_WHEN_BACK(e) (KEPT_OUT(e))
#endif
#ifdef WITHOUT_ACKNOWLEDGEMENT
#define COVERED(e) (true)
#else
#ifdef WITHOUT_MEMBERS
#define COVERED(e) (!member[e] || !missing[e])
#else
#define COVERED(e) (!heard_of[e] || lost[e] || (member[e] && !missing[e]))
#endif
#endif
#ifdef WITHOUT_HOLDER_LEASE
#define IN_LEASE (round > 0)
#else
#define IN_LEASE (round > 0 && !lease_over[round])
#endif
#ifdef WITHOUT_EARLIER_LEASE
#define MAY_END(r) (true)
#else
#define MAY_END(r) (lease_over[r])
#endif
#ifdef WITHOUT_ROUND
#define HELD(e) (floor_held[AT(1, e)] || floor_held[AT(2, e)] || floor_held[AT(3, e)])
#else
#define HELD(e) (floor_held[AT(round, e)])
#endif
#define KEEPS_LOW(e) (up[e] && low[e] && heard_of[e] && !lost[e])

inline announce_to(e) {
    member[e] = heard_of[e] && !lost[e];
    missing[e] = member[e];
    floor[AT(round, e)] = member[e]
}

proctype Holder() {
    do
    :: atomic { !high -> high = true }
    :: atomic { high && round < ROUNDS ->
        round++;
        low[0] = false;
        announce_to(1);
        announce_to(2) }
    :: atomic { round > 0 && missing[1] && HELD(1) -> missing[1] = false }
    :: atomic { round > 0 && missing[2] && HELD(2) -> missing[2] = false }
    :: atomic { high && IN_LEASE && COVERED(1) && COVERED(2) ->
        high = false;
        assert(!low[0] && !KEEPS_LOW(1) && !KEEPS_LOW(2)) }
    :: atomic { round > 0 && !lease_over[round] -> lease_over[round] = true }
    :: atomic { !lost[1] && !lost[2] -> lost[1] = true }
    :: atomic { !lost[1] && !lost[2] && heard_of[2] -> lost[2] = true }
    :: atomic { up[2] && !heard_of[2] -> heard_of[2] = true }
    od
}

inline on_floor(r) {
    holds[AT(r, e)] = true;
#ifndef WITHOUT_DROPPING
    low[e] = false;
#endif
    floor_held[AT(r, e)] = true
}

inline end_floor(r) {
    holds[AT(r, e)] = false
}

proctype Entry(byte e) {
    do
    :: atomic { up[e] && !low[e] && !KEPT_OUT(e) -> low[e] = true }
    :: atomic { up[e] && low[e] && !granted[e] -> low[e] = false; granted[e] = true }
    :: atomic { granted[e] ->
        granted[e] = false;
        if
        :: !DROPPED_WHEN_BACK(e) -> low[e] = true
        :: true /* it ran, or was dropped */
        fi }
    :: atomic { e != 0 && up[e] && floor[AT(1, e)] -> on_floor(1) }
    :: atomic { e != 0 && up[e] && floor[AT(2, e)] -> on_floor(2) }
    :: atomic { e != 0 && up[e] && floor[AT(3, e)] -> on_floor(3) }
    :: atomic { e != 0 && holds[AT(1, e)] && MAY_END(1) -> end_floor(1) }
    :: atomic { e != 0 && holds[AT(2, e)] && MAY_END(2) -> end_floor(2) }
    :: atomic { e != 0 && holds[AT(3, e)] && MAY_END(3) -> end_floor(3) }
    :: atomic { e == 2 && !up[2] -> up[2] = true }
    od
}

init {
    atomic {
        up[0] = true; up[1] = true;
        heard_of[1] = true;
        run Holder();
        run Entry(0); run Entry(1); run Entry(2)
    }
}
