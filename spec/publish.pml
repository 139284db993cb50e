/*
 * Publishing an edit by compare-and-set, over a log that loses answers.
 *
 * Two operators edit the document of one service. Each appends its edit at most
 * twice, under one record id. An append's answer is lost; the append itself takes
 * effect at once, late (also after its operator has ended) or never. An operator
 * reads back what the log holds; its reader is complete (see documents.pml).
 *
 * What the code has to keep, and what each switch takes out:
 *
 *   WITHOUT_BASE       an edit is accepted when its base is in force
 *   WITHOUT_RECORD_ID  a writer knows its own record by its id when it reads back
 *   WITHOUT_READ_BACK  a lost answer is settled by reading, not by guessing
 *   WITHOUT_SAME_BASE  a repeated append names the base that the edit was made from
 *
 * Property: an operator's edit is accepted once at most, and only in place of the
 * version that it was edited from; who is told "published" has been accepted, who
 * is told "conflict" never is, also when an append takes effect later.
 * Bounds: one service, two operators, two appends each.
 */

#define OPERATORS 2
#define LOG 5 /* offsets 1 to 4; 0 stands for no version */
#define NOBODY 9

mtype:outcome = { EDITING, PUBLISHING, PUBLISHED, CONFLICT, UNKNOWN };

byte author[LOG] = NOBODY; /* of the record at an offset, by its record id */
bool accepted[LOG];
byte end = 1;    /* the next offset */
byte in_force = 0;

mtype:outcome outcome[OPERATORS] = EDITING;
byte edited_from[OPERATORS];
byte base[OPERATORS];
byte attempts[OPERATORS];
byte appending[OPERATORS]; /* appends that haven't taken effect */
byte wins[OPERATORS];

#ifdef WITHOUT_BASE
#define ACCEPTS(o) (true)
#else
#define ACCEPTS(o) (base[o] == in_force)
#endif

inline append(o) {
    appending[o]--;
    author[end] = o;
    if
    :: ACCEPTS(o) ->
        assert(edited_from[o] == in_force);
        assert(outcome[o] != CONFLICT);
        accepted[end] = true;
        in_force = end;
        wins[o]++;
        assert(wins[o] <= 1)
    :: else
    fi;
    end++
}

inline read_back(o) {
    n = 1;
    mine = false;
    do
    :: n < end ->
        mine = mine || (accepted[n] && author[n] == o);
        n++
    :: else -> break
    od;
#ifdef WITHOUT_RECORD_ID
    if
    :: in_force != edited_from[o] -> outcome[o] = CONFLICT
#else
    if
    :: mine -> outcome[o] = PUBLISHED
    :: !mine && in_force != base[o] -> outcome[o] = CONFLICT
#endif
    :: else
    fi;
    assert(outcome[o] != CONFLICT || !mine);
    mine = false;
    n = 0
}

proctype Operator(byte o) {
    byte n;
    bool mine;
    do
    :: atomic { outcome[o] == EDITING -> edited_from[o] = in_force;
        base[o] = in_force; outcome[o] = PUBLISHING }
    :: atomic { outcome[o] == PUBLISHING && attempts[o] < 2 ->
#ifdef WITHOUT_SAME_BASE
        base[o] = in_force;
#endif
        attempts[o]++; appending[o]++ }
    :: atomic { outcome[o] == PUBLISHING && attempts[o] > 0 -> read_back(o) }
#ifdef WITHOUT_READ_BACK
    :: atomic { outcome[o] == PUBLISHING && attempts[o] > 0 ->
        outcome[o] = PUBLISHED; assert(wins[o] == 1) }
#endif
    :: atomic { outcome[o] == PUBLISHING && attempts[o] == 2 -> outcome[o] = UNKNOWN }
    :: atomic { appending[o] > 0 -> append(o) }
    od
}

init {
    atomic { run Operator(0); run Operator(1) }
}
