/* A task that runs once: a leader places it on a worker, leaders change and for a while cannot hear,
 * workers are cut off, leave and die, and orders are carried out late. A task is not started while
 * a run of it goes on, nor after one has succeeded and that was listed in steady state or
 * acknowledged; no start is ordered once a success was acknowledged.
 *
 * Steps and code: place = GraphBook::place, order = RunSupervisor::start and sendStart, listed =
 * RunSupervisor::takeReport, succeed = GraphBook::succeedRun, settle = RunSupervisor::stopAnswered
 * and the list after it, silent = RunSupervisor::isSilent, gone = RunSupervisor::holdFailed, give
 * up = RunSupervisor::tickWorker, lead = RunSupervisor::takeOver.
 *
 * Broken variants: -DDEAF_GIVES_UP gives runs up once their lease has passed, whether or not their
 * worker was looked for; -DLEFT_IS_GONE takes a worker's word that it leaves for its end;
 * -DDROP_SUCCESS has no use for the success of a run that is not the current one.
 */

#define RUNS 3
#define LEADERS 3

mtype = { waiting, placed, succeeded };

mtype phase = waiting;
byte current;        /* current run */
byte at;             /* its worker */
bool ordered;        /* this leader placed it, or has seen it run */
byte leaders = 1;
byte placedBy;       /* the leader that recorded the placement; only it orders the start */
bool deaf;           /* the leader lost its lease, or stands still */

byte running[2];     /* run that goes on there */
byte pending[2];     /* run whose order is on its way */
byte done[2];        /* run that has succeeded there */
bool kept[2];        /* and the lease has not lapsed since */
bool noted[2];       /* and that was listed in steady state, or acknowledged while it was kept */
bool acked;          /* a success was acknowledged */
bool leased[2];
bool reachable[2];
bool calm[2];        /* it was never cut off */
bool leaves[2];
bool dead[2];

#ifdef DEAF_GIVES_UP
#define SILENT(w) true
#else
#define SILENT(w) (!reachable[w])
#endif

#ifdef LEFT_IS_GONE
#define GONE(w) leaves[w]
#else
#define GONE(w) (leaves[w] && dead[w])
#endif

inline begin(w)
{
    assert(running[1 - w] == 0);
    assert(!noted[0] && !noted[1]);
    running[w] = pending[w];
    pending[w] = 0
}

inline giveUp()
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
    :: atomic { (!deaf && phase == waiting && current < RUNS && !dead[w] && !leaves[w]) ->
        phase = placed; current++; at = w; placedBy = leaders; ordered = false }
    :: atomic { (!deaf && phase == placed && at == w && !ordered && pending[w] == 0
            && running[w] == 0 && done[w] != current && !leaves[w] && placedBy == leaders) ->
        assert(!acked);
        ordered = true; pending[w] = current; leased[w] = true }
    :: atomic { (!deaf && reachable[w] && done[w] != 0) ->                    /* listed */
        if
#ifdef DROP_SUCCESS
        :: done[w] != current && phase != succeeded -> skip
        :: else -> phase = succeeded
#else
        :: phase = succeeded                                                  /* succeed */
#endif
        fi;
        acked = true;
        noted[w] = noted[w] || kept[w] }
    :: atomic { (!deaf && reachable[w] && phase == placed && at == w && running[w] == current) ->
        ordered = true; leased[w] = true }
    :: atomic { (!deaf && reachable[w] && phase == placed && at == w && running[w] != current
            && done[w] != current) ->                                            /* settle */
        pending[w] = 0; giveUp() }
    :: atomic { (!deaf && phase == placed && at == w && !leased[w] && SILENT(w)) -> giveUp() }
    :: atomic { (!deaf && phase == placed && at == w && GONE(w)) -> giveUp() }
    :: atomic { (!deaf && phase == succeeded && reachable[w] && running[w] != 0) ->
        running[w] = 0 }                                                      /* stopped */
    :: atomic { (!deaf) -> deaf = true }
    :: atomic { (deaf) -> deaf = false }
    :: atomic { (leaders < LEADERS) -> leaders++; deaf = false; ordered = false } /* lead */
    od
}

proctype worker(byte w)
{
    do
    :: atomic { (pending[w] != 0 && !dead[w]) -> begin(w) }                   /* perhaps late */
    :: atomic { (running[w] != 0) -> done[w] = running[w]; running[w] = 0;
        kept[w] = true }
    :: atomic { (done[w] != 0 && reachable[w] && calm[w]) -> noted[w] = true }
    :: atomic { (leased[w] && (deaf || !reachable[w] || leaves[w])) ->          /* nobody renews */
        leased[w] = false; running[w] = 0; pending[w] = 0; kept[w] = false }
    /* What it listed near a fault, or took along, nobody need know. */
    :: atomic { (reachable[w] && !dead[w]) -> reachable[w] = false; calm[w] = false;
        noted[w] = noted[w] && phase == succeeded }
    :: atomic { (!reachable[w] && !dead[w]) -> reachable[w] = true }
    :: atomic { (!leaves[w]) -> leaves[w] = true }
    :: atomic { (!dead[w]) -> dead[w] = true; reachable[w] = false; running[w] = 0; pending[w] = 0;
        noted[w] = noted[w] && phase == succeeded; done[w] = 0 }
    od
}

init
{
    atomic {
        reachable[0] = true;
        reachable[1] = true;
        calm[0] = true;
        calm[1] = true;
        run leader();
        run worker(0);
        run worker(1)
    }
}
