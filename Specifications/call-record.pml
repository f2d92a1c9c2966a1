/*
 * The call record (design.md 5.2) of one key, over a store that loses, delays or refuses anything.
 * With DUPLICATE, the message of the only submission may arrive at its agent twice; with REPEAT, a
 * look-up at another entry and a second submission follow. Both at once exceed the memory. For the
 * same reason the store fails at most FAULTS times with REPEAT, and a write is sent WRITES times.
 *
 * Implemented by: settle = SettledWrite, Agent = CallExecution, Entry = CallDispatch,
 * LookUp = CallLookUp, seen = AttemptGate. Not modelled: bodies, expiry, and the withdrawal of an
 * unsent claim, whose write
 * can only turn "unknown" into "not run" for a call that was never sent.
 *
 * Each macro NO_... removes one mechanism; the model must then show an error.
 */

#ifdef REPEAT
#define WRITES 1
#define FAULT  faults++
#else
#define WRITES 2
#define FAULT  skip
#endif
#ifndef FAULTS
#define FAULTS 99
#endif

#define ABSENT    0
#define STARTED   1
#define DONE      2
#define CANCELLED 3

#define APPLIED    0
#define CONFLICT   1
#define NOTWRITTEN 2
#define UNKNOWN    3

#define YES   1
#define NO    2
#define MAYBE 3

#ifdef NO_CONDITION
#define HOLDS(expected) (true)
#else
#define HOLDS(expected) (rec_version == expected)
#endif

/* A token that no other claim has, as from CallStamp::writerToken. */
#define WRITER(submission, copy) (10 + 2 * submission + copy)

byte rec_state, rec_version, rec_token;
byte cancelled_at;          /* Time of the cancellation, in submissions arrived. */
byte arrived;               /* Submissions that have reached their entry. */
byte runs;                  /* Executions by the service. */
byte runs_of[2];
bool not_run_told[2];
bool ended[2];
byte faults;                /* Of the store. */
bool seen[4];               /* Attempts that reached their agent. */

chan late = [1] of { byte, byte, byte };          /* expected, state, token */
chan answer0 = [4] of { byte, byte };             /* ran, state found */
chan answer1 = [4] of { byte, byte };

inline apply(expected, state, token)
{
    if
    :: HOLDS(expected) ->
        rec_version++;
        rec_state = state;
        rec_token = token;
        if
        :: state == CANCELLED -> cancelled_at = arrived
        :: else
        fi;
        result = APPLIED
    :: else -> result = CONFLICT
    fi;
    found_state = rec_state;
    found_version = rec_version;
    found_token = rec_token
}

/* SettledWrite: at most WRITES writes, each lost answer followed by a read (C8). */
inline settle(expected, state, token)
{
    tries = 0;
    lost = false;
    do
    :: true ->
        atomic {
            tries++;
            if
            :: true -> apply(expected, state, token); answered = true
            :: faults < FAULTS -> apply(expected, state, token); answered = false; FAULT
            /* Lost; or late, and it may never arrive. */
            :: faults < FAULTS && full(late) -> answered = false; FAULT
            :: faults < FAULTS && nfull(late) ->
                late!expected, state, token;
                answered = false;
                FAULT
            :: faults < FAULTS -> result = (lost -> UNKNOWN : NOTWRITTEN); FAULT; break
            fi;
            lost = lost || !answered
        }
        atomic {
            if
            :: answered && result == CONFLICT && found_state == state && found_token == token ->
                result = APPLIED; break
            :: answered && !(result == CONFLICT && found_state == state && found_token == token) ->
                break
#ifdef NO_READBACK
            :: !answered -> result = APPLIED; break
#else
            :: !answered && faults < FAULTS -> result = UNKNOWN; FAULT; break    /* The read fails. */
            :: !answered ->
                found_state = rec_state;
                found_version = rec_version;
                found_token = rec_token;
                if
                :: found_state == state && found_token == token -> result = APPLIED; break
                :: else ->
                    if
                    :: found_version != expected -> result = CONFLICT; break
                    :: found_version == expected && tries >= WRITES -> result = UNKNOWN; break
                    :: found_version == expected && tries < WRITES
                    fi
                fi
#endif
            fi
        }
    od;
    atomic { tries = 0; lost = false; answered = false; found_token = 0 }
}

/* Lets states meet again that differ only in what nobody will read. */
inline clear()
{
    result = 0;
    found_state = 0;
    found_version = 0
}

inline tell_not_run(submission)
{
    assert(runs_of[submission] == 0);
    not_run_told[submission] = true
}

proctype Late()
{
    byte expected, state, token, result, found_state, found_version, found_token;
end:
    do
    :: atomic { late?expected, state, token -> apply(expected, state, token) }
    od
}

proctype Agent(byte submission; byte round; byte expected; byte writer; chan answer)
{
    byte result, tries, found_state, found_version, found_token;
    bool lost, answered, repeated;
#ifdef NO_WRITER_TOKEN
    writer = submission;
#endif
    atomic {                                        /* AttemptGate */
#ifndef NO_GATE
        repeated = seen[submission * 2 + round];
#endif
        seen[submission * 2 + round] = true
    }
    if
    :: repeated -> answer!MAYBE, ABSENT; goto stop
    :: else
    fi;
    settle(expected, STARTED, writer);
    if
    :: result == APPLIED ->
        atomic {
            runs++;
            runs_of[submission]++;
            assert(runs <= 1);
            assert(!not_run_told[submission])
        }
#ifdef NO_SEND_ONCE
        if
        :: true -> runs++; assert(runs <= 1)
        :: true
        fi;
#endif
        atomic {                                    /* The write may be lost, late or applied. */
            expected = found_version;
            if
            :: full(late)
            :: nfull(late) -> late!expected, DONE, writer
            :: true -> apply(expected, DONE, writer)
            fi
        }
        answer!YES, DONE
    :: result == CONFLICT ->
        if
        :: found_state == DONE -> answer!YES, DONE
        :: found_state == STARTED -> answer!MAYBE, STARTED
        :: else -> answer!NO, found_state
        fi
    :: else -> answer!NO, ABSENT
    fi;
stop:
    atomic { clear(); submission = 0; round = 0; expected = 0; writer = 0 }
}

proctype Entry(byte submission; chan answer)
{
    byte result, tries, found_state, found_version, found_token;
    byte expected, ran, state, arrival, rounds;
    bool lost, answered;
    atomic { arrived++; arrival = arrived }
dispatch:
    if                                              /* The message is lost, arrives, or twice. */
    :: true
    :: true -> run Agent(submission, rounds, expected, WRITER(submission, rounds), answer)
#ifdef DUPLICATE
    :: true ->
        run Agent(submission, 0, expected, WRITER(submission, 0), answer);
        run Agent(submission, 0, expected, WRITER(submission, 1), answer)
#endif
    fi;
    if
    :: answer?ran, state ->
        if
        :: ran == MAYBE && state == ABSENT -> goto cancel
        :: ran == NO && state == CANCELLED && rounds == 0 ->
            atomic {
                if
#ifdef NO_ARRIVAL_CHECK
                :: rec_state == CANCELLED ->
#else
                :: rec_state == CANCELLED && arrival > cancelled_at ->
#endif
                    expected = rec_version;
                    rounds = 1;
                    goto dispatch
                :: rec_state == CANCELLED -> tell_not_run(submission)
                :: else
                fi
            }
        :: ran == NO && !(state == CANCELLED && rounds == 0) -> atomic { tell_not_run(submission) }
        :: ran == YES || (ran == MAYBE && state != ABSENT)
        fi
    :: true ->                                      /* Timeout (C6). */
#ifdef NO_CANCEL
cancel:
        atomic { tell_not_run(submission) }
#else
cancel:
        settle(expected, CANCELLED, 20 + submission);
        atomic {
            if
            :: result == APPLIED -> tell_not_run(submission)
            :: result == CONFLICT && found_state == CANCELLED -> tell_not_run(submission)
            :: else
            fi
        }
#endif
    fi;
    atomic { ended[submission] = true; clear(); ran = 0; state = 0; arrival = 0; rounds = 0; expected = 0 }
}

proctype LookUp()
{
    byte result, tries, found_state, found_version, found_token;
    bool lost, answered;
    atomic { found_state = rec_state; result = CONFLICT }
    if
    :: found_state == ABSENT -> settle(0, CANCELLED, 30)
    :: else
    fi;
    /* A look-up speaks of every submission that arrived before the cancellation it rests on. */
    atomic {
        if
        :: result == APPLIED || (result == CONFLICT && found_state == CANCELLED) ->
            if
            :: cancelled_at >= 1 -> tell_not_run(0)
            :: else
            fi
        :: else
        fi;
        clear()
    }
}

init
{
    atomic {
        run Late();
        run Entry(0, answer0)
    }
#ifdef REPEAT
    run LookUp();
    arrived >= 1;                                   /* The repeat comes later than the first. */
    run Entry(1, answer1)
#else
    ended[1] = true
#endif
}

ltl every_call_ends { <> (ended[0] && ended[1]) }
