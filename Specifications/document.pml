/*
 * Versions of the document (design.md 5.1): two editors race on one section and may lose the answer
 * of their write; three replicas read the store or pass versions on to each other by messages that
 * can be late, repeated or crossed.
 *
 * Implemented by: Editor = DocumentStore::apply with its settle step, Replica =
 * DocumentReplica::offerChanges and offerDocument. Not modelled: snapshots, gaps of the log, several
 * sections.
 *
 * Each macro NO_... removes one mechanism; the model must then show an error.
 */

#define EDITORS  2
#ifndef REPLICAS
#define REPLICAS 3
#endif
#define MAXIMUM_TRIES 2

#ifdef NO_CONDITION
#define HOLDS(version) (true)
#else
#define HOLDS(version) (head == version)
#endif

#ifdef NO_ORDER
#define NEWER(version) (true)
#else
#define NEWER(version) (version > in_force[self])
#endif

byte head;                        /* Version of the document in the store. */
byte log_token[6];                /* Token of the change that made each version. */
byte log_base[6];                 /* Version that its editor started from. */
byte effects[EDITORS];            /* How often each editor's edit took effect. */
bool edited[EDITORS];
byte in_force[REPLICAS];
bool taught[REPLICAS];

chan peer[REPLICAS] = [1] of { byte };

/* D1 to D4. */
proctype Editor(byte self)
{
    byte base, version, tries;
    bool answered, won;
    do
    :: tries < MAXIMUM_TRIES ->
        tries++;
        base = head;
        atomic {
            won = false;
            if
            :: HOLDS(base) ->
                version = base + 1;
                head = version;
                log_token[version] = self + 1;
                log_base[version] = base;
                effects[self]++;
                won = true
            :: else
            fi;
            assert(effects[self] <= 1);
            if
            :: answered = true
            :: answered = false
            fi
        }
        if
        :: answered && won -> break
        :: answered && !won
#ifdef NO_READBACK
        :: !answered                               /* Counts as failed and is made again. */
#else
        :: !answered && log_token[base + 1] == self + 1 -> break
        :: !answered && log_token[base + 1] != self + 1
#endif
        fi
    :: tries >= MAXIMUM_TRIES -> break
    od;
    /* An edit that took effect stays in the log under its own version. */
    assert(effects[self] == 0 || version == 0 || log_token[version] == self + 1);
    atomic { edited[self] = true; base = 0; version = 0; tries = 0; answered = false; won = false }
}

/* What was read or received may be old by now (D6). */
inline apply()
{
    atomic {
        before = in_force[self];
        if
        :: NEWER(offered) -> in_force[self] = offered
        :: else
        fi;
        assert(in_force[self] >= before);
        before = 0;
        offered = 0
    }
}

proctype Replica(byte self)
{
    byte offered, before;
    bool repeated;
    byte next = (self + 1) % REPLICAS;
end:
    do
    :: atomic { head != in_force[self] -> offered = head }
       apply()
    :: atomic { in_force[self] > in_force[next] && nfull(peer[next]) -> peer[next]!in_force[self] }
    :: atomic { nempty(peer[self]) ->
           if
           :: peer[self]?offered
           :: !repeated -> peer[self]?<offered>; repeated = true    /* It arrives twice. */
           fi }
       apply()
    od
}

init
{
    atomic {
        run Editor(0);
        run Editor(1);
        run Replica(0);
        run Replica(1)
#if REPLICAS == 3
        ; run Replica(2)
#endif
    }
}

#if REPLICAS == 3
#define ALL_CURRENT (in_force[0] == head && in_force[1] == head && in_force[2] == head)
#else
#define ALL_CURRENT (in_force[0] == head && in_force[1] == head)
#endif

ltl replicas_converge { (<> (edited[0] && edited[1])) && (<> [] ALL_CURRENT) }
