/* Model of a task that must run once. A leader places it on a worker. Leaders change or are
 * isolated for a while, workers are partitioned, leave and die, and orders are executed late. A
 * task does not start while another run of it is running, nor after a success that was acknowledged
 * or was listed by a worker that was always reachable. No start is ordered after a success was
 * acknowledged.
 *
 * Steps and code: place = GraphRegistry::place, order = RunSupervisor::start and sendStart,
 * listed = RunSupervisor::applyReport, success = GraphRegistry::recordSuccess, stopped before start
 * = RunSupervisor::onStopAnswered and the list after it, SILENT = RunSupervisor::isUnreachable,
 * stopped as its worker leaves = RunSupervisor::stopRuns, endRun = RunSupervisor::tickWorker, new
 * leader = RunSupervisor::adoptPlacements.
 *
 * Broken variants: -DDEAF_GIVES_UP ends runs when their lease has expired, even if the leader did
 * not try to reach their worker; -DLEFT_IS_GONE treats a worker's announcement that it leaves as
 * its end; -DREFUSED_IS_GONE treats a leaving worker that cannot be reached as ended;
 * -DDROP_SUCCESS ignores the success of a run that is not the current one.
 */

#define RUNS 3
#define LEADERS 3

mtype = { waiting, placed, succeeded };

mtype phase = waiting;
byte current;        /* current run */
byte workerOfRun;    /* worker of the current run */
bool ordered;        /* this leader ordered the start or has seen the run */
byte leaderNumber = 1;
byte placedBy;       /* leader that recorded the placement; only this leader orders the start */
bool isolated;       /* the leader has lost its lease or is stalled */

byte running[2];     /* run that is running on the worker */
byte pending[2];     /* run whose start order is on its way */
byte done[2];        /* run that has succeeded on the worker */
bool leaseKept[2];   /* the lease has not expired since that success */
bool reported[2];    /* the success was listed by an always reachable worker, or acknowledged
                      * while leaseKept was true */
bool acknowledged;   /* a success was acknowledged to its worker */
bool leased[2];
bool reachable[2];
bool neverCutOff[2]; /* the worker was never partitioned */
bool leaving[2];
bool dead[2];

#ifdef DEAF_GIVES_UP
#define SILENT(w) true
#else
#define SILENT(w) (!reachable[w])
#endif

#ifdef LEFT_IS_GONE
#define GONE(w) leaving[w]
#elif defined(REFUSED_IS_GONE)
#define GONE(w) (leaving[w] && !reachable[w])
#else
#define GONE(w) false
#endif

inline startRun(w)
{
    assert(running[1 - w] == 0);
    assert(!reported[0] && !reported[1]);
    running[w] = pending[w];
    pending[w] = 0
}

inline endRun()
{
    phase = waiting;
    ordered = false
}

proctype leader()
{
    byte w;
    do
    :: w = 0
    :: w = 1
    :: atomic { (!isolated && phase == waiting && current < RUNS && !dead[w] && !leaving[w]) ->
        phase = placed; current++; workerOfRun = w; placedBy = leaderNumber; ordered = false }
    :: atomic { (!isolated && phase == placed && workerOfRun == w && !ordered && pending[w] == 0
            && running[w] == 0 && done[w] != current && !leaving[w] && placedBy == leaderNumber) ->
        assert(!acknowledged);
        ordered = true; pending[w] = current; leased[w] = true }
    :: atomic { (!isolated && reachable[w] && done[w] != 0) ->                    /* listed */
        if
#ifdef DROP_SUCCESS
        :: done[w] != current && phase != succeeded -> skip
        :: else -> phase = succeeded
#else
        :: phase = succeeded                                                  /* success */
#endif
        fi;
        acknowledged = true;
        reported[w] = reported[w] || leaseKept[w] }
    :: atomic { (!isolated && reachable[w] && phase == placed && workerOfRun == w
            && running[w] == current) ->
        ordered = true; leased[w] = true }
    :: atomic { (!isolated && reachable[w] && phase == placed && workerOfRun == w
            && running[w] != current && done[w] != current) ->    /* stopped before start */
        pending[w] = 0; endRun() }
    :: atomic { (!isolated && phase == placed && workerOfRun == w && !leased[w] && SILENT(w)) ->
        endRun() }
    :: atomic { (!isolated && phase == placed && workerOfRun == w && GONE(w)) -> endRun() }
    :: atomic { (!isolated && phase == succeeded && reachable[w] && running[w] != 0) ->
        running[w] = 0 }                                                      /* stopped */
    :: atomic { (!isolated && reachable[w] && leaving[w] && running[w] != 0) ->
        running[w] = 0 }                                          /* stopped as its worker leaves */
    :: atomic { (!isolated) -> isolated = true }
    :: atomic { (isolated) -> isolated = false }
    :: atomic { (leaderNumber < LEADERS) ->                               /* new leader */
        leaderNumber++; isolated = false; ordered = false }
    od
}

proctype worker(byte w)
{
    do
    :: atomic { (pending[w] != 0 && !dead[w]) -> startRun(w) }                   /* may be late */
    :: atomic { (running[w] != 0) -> done[w] = running[w]; running[w] = 0;
        leaseKept[w] = true }
    :: atomic { (done[w] != 0 && reachable[w] && neverCutOff[w]) -> reported[w] = true }
    :: atomic { (leased[w] && (isolated || !reachable[w] || leaving[w])) ->  /* no renewal */
        leased[w] = false; running[w] = 0; pending[w] = 0; leaseKept[w] = false }
    /* A success that was listed shortly before a fault, or lost with its worker, may be unknown to
     * every leader. */
    :: atomic { (reachable[w] && !dead[w]) -> reachable[w] = false; neverCutOff[w] = false;
        reported[w] = reported[w] && phase == succeeded }
    :: atomic { (!reachable[w] && !dead[w]) -> reachable[w] = true }
    :: atomic { (!leaving[w]) -> leaving[w] = true }
    :: atomic { (!dead[w]) -> dead[w] = true; reachable[w] = false; running[w] = 0; pending[w] = 0;
        reported[w] = reported[w] && phase == succeeded; done[w] = 0 }
    od
}

init
{
    atomic {
        reachable[0] = true;
        reachable[1] = true;
        neverCutOff[0] = true;
        neverCutOff[1] = true;
        run leader();
        run worker(0);
        run worker(1)
    }
}
