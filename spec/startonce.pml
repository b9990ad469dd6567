/* Model of work that must not run twice. An entry may die at any step, the client resubmits to
 * another entry with the same key, and a submission may be delayed for any time before it is
 * admitted. The journal decides admission, start and revocation. The request is sent only after its
 * start has been committed. A key that was reported as not run may be used again, but only by
 * submissions that arrived after that decision.
 *
 * Steps and code: arrival = IngressService::makeFlowRequest with Entry::newestAppliedIndex,
 * heartbeat = the entry service receives the newest applied index, admit, start, revoke =
 * StateMachine::on(AdmitWork, StartWork, RevokeWork), send = Flow::executeAdmitted, reportNotRun =
 * Flow::abandon with Work::execution, end = LeaseTable::onAnnouncement.
 *
 * Broken variants: -DSEND_FIRST sends before the start is recorded; -DHELD_UP admits a revoked key
 * again for submissions that arrived at any time.
 */

#define ENTRIES 2
#define SUBMISSIONS 4

mtype = { none, admitted, started, ended, revoked };

mtype work = none;
byte carrier;            /* entry that admitted the work */
byte runs;               /* number of starts on the upstream */
byte applied = 1;        /* index of the newest applied command */
byte revokedAt;          /* index of the revocation */
byte submissions;
bool alive[ENTRIES];
bool busy[ENTRIES];      /* the entry has a submission of the key */
byte known[ENTRIES];     /* newest applied index that the entry knows */
byte arrival[ENTRIES];   /* known[e] when the submission arrived */
bool stale[ENTRIES];     /* the submission arrived before the key was reported as not run */

inline send(e)
{
    runs++;
    assert(runs <= 1);
    assert(!stale[e])
}

inline reportNotRun()
{
    stale[0] = busy[0];
    stale[1] = busy[1]
}

#ifdef HELD_UP
#define MAY_TRY_AGAIN(e) true
#else
#define MAY_TRY_AGAIN(e) (arrival[e] >= revokedAt)
#endif

proctype entry(byte e)
{
    bool mine = false;
    do
    :: atomic { alive[e] -> alive[e] = false; busy[e] = false; break }   /* the entry dies */
    :: atomic { alive[e] && known[e] < applied -> known[e] = applied }       /* heartbeat */
    :: atomic { alive[e] && !busy[e] && submissions < SUBMISSIONS ->
        submissions++;
        busy[e] = true;
        stale[e] = false;
        arrival[e] = known[e]
    }
    :: atomic { busy[e] && work == none -> work = admitted; carrier = e; applied++ }
    :: atomic { busy[e] && work == revoked && MAY_TRY_AGAIN(e) ->
        work = admitted;
        carrier = e;
        applied++
    }
    :: atomic { busy[e] && work == revoked && !MAY_TRY_AGAIN(e) -> busy[e] = false }
#ifdef SEND_FIRST
    :: atomic { busy[e] && work == admitted && !mine -> mine = true }
    :: atomic { busy[e] && mine -> send(e); work = started; break }
#else
    :: atomic { busy[e] && work == admitted && carrier == e ->
        work = started;
        applied++;
        mine = true
    }
    :: atomic { busy[e] && mine && work == started -> mine = false; send(e) }
#endif
    :: atomic { alive[e] && work == admitted && (carrier == e || !alive[carrier]) ->
        work = revoked;
        applied++;
        revokedAt = applied;
        busy[e] = false;
        reportNotRun()
    }
    :: atomic { busy[e] && runs == 1 && work == started -> work = ended; busy[e] = false }
    :: atomic { busy[e] && work == ended -> busy[e] = false }
    :: atomic { alive[e] && work == ended && !busy[e] -> break }
    od
}

init
{
    atomic {
        alive[0] = true;
        alive[1] = true;
        run entry(0);
        run entry(1)
    }
}
