/*
 * Jobs under a fenced lease (design.md 5.4): holder A submits a job and works on it, may stand still
 * anywhere or die; B and C each may find A's lease expired at any time and take over, since a clock
 * guarantees nothing to a process that stands still. B may also stand still or die, C does not.
 *
 * Implemented by: submit = JobStore::submit with HolderLease::commit, take_over = JobStore::takeOver,
 * finish = JobStore::complete, the final read = JobStore::result. Times are abstracted: any expiry
 * is possible once the holder has not renewed since the watcher looked. Not modelled: lost answers
 * (see call-record.pml for the same SettledWrite), progress objects.
 *
 * Each macro NO_... removes one mechanism; the model must then show an error.
 */

#define NOBODY 0
#define A 1
#define B 2
#define C 3

#ifdef NO_CONDITION
#define HOLDS(version) (job_exists)
#else
#define HOLDS(version) (job_exists && job_version == version)
#endif

#ifdef NO_FENCED_NAMES
#define NAME(fence) 0
#else
#define NAME(fence) fence
#endif

bool job_exists, job_done;
byte job_holder, job_fence, job_version;
byte lease_version[4];             /* 0: no row. */
byte last_version;
byte written[5];                   /* Result objects by name: who wrote it. */
byte manifest[5];                  /* Manifests by name: the fence of the result it names. */
byte read_fence;                   /* Of the result that a reader saw first. */
bool accepted, dead[4];

inline next_version(variable)
{
    last_version++;
    variable = last_version
}

/* J4: result, manifest, then the record, with a pause possible before each. */
inline finish(self, fence, version)
{
    written[NAME(fence)] = self;
    manifest[NAME(fence)] = fence;
    atomic {
        if
        :: HOLDS(version) ->
            assert(!job_done);
            job_done = true;
            job_fence = fence;
            next_version(job_version)
        :: else
        fi
    }
}

inline maybe_die(self)
{
    if
    :: true
    :: self != C -> dead[self] = true; goto stop
    fi
}

/* J5: the conditional write that raises the fence, together with the watcher's own lease. */
inline take_over(self, former)
{
    seen_lease = lease_version[former];
    maybe_die(self);
    atomic { seen_holder = job_holder; seen_fence = job_fence; seen_version = job_version;
             seen_open = job_exists && !job_done }
    maybe_die(self);
    won = false;
    atomic {
        if
        :: seen_open && seen_holder == former && HOLDS(seen_version) ->
            job_holder = self;
#ifdef NO_RAISED_FENCE
            job_fence = seen_fence;
#else
            job_fence = seen_fence + 1;
#endif
            next_version(job_version);
            next_version(lease_version[self]);
            fence = job_fence;
            version = job_version;
            won = true
        :: else
        fi
    }
    maybe_die(self);
    atomic {                       /* The expired lease goes when its index is empty. */
        if
        :: !(job_exists && !job_done && job_holder == former) && lease_version[former] == seen_lease
            -> lease_version[former] = 0
        :: else
        fi
    }
    if
    :: won -> maybe_die(self); finish(self, fence, version)
    :: else
    fi
}

proctype Submitter()
{
    byte seen;
    atomic { next_version(lease_version[A]); seen = lease_version[A] }
    maybe_die(A);
    atomic {                       /* J1: the transaction renews the lease that it relies on. */
        if
#ifdef NO_LEASE_COMMIT
        :: true ->
#else
        :: lease_version[A] == seen ->
            next_version(lease_version[A]);
#endif
            job_exists = true;
            job_holder = A;
            job_fence = 1;
            next_version(job_version);
            seen = job_version;
            accepted = true
        :: else -> goto stop
        fi
    }
    maybe_die(A);
    finish(A, 1, seen);
stop:
    skip
}

proctype Watcher(byte self)
{
    byte fence, version, seen_lease, seen_holder, seen_fence, seen_version;
    bool won, seen_open;
end:
    do
    :: lease_version[A] != 0 -> take_over(self, A)
    :: self == C && dead[B] && lease_version[B] != 0 -> take_over(self, B)
    od;
stop:
    skip
}

/* J7: a reader sees the same whole result whenever it sees one. */
proctype Reader()
{
    byte seen;
end:
    do
    :: atomic {
        job_done ->
        seen = manifest[NAME(job_fence)];
        assert(seen != 0 && seen == job_fence && written[NAME(seen)] == job_holder);
        assert(read_fence == 0 || read_fence == seen);
        read_fence = seen }
    od
}

init
{
    atomic {
        run Submitter();
        run Watcher(B);
        run Watcher(C);
        run Reader()
    }
}

ltl accepted_jobs_end { [] (accepted -> <> job_done) }
