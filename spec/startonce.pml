/* Work that may not be repeated: an entry dies at any step, the caller resubmits to another with
 * the same key, and a submission may be held up for any time before it is admitted. The journal
 * decides admit, start and revoke; the request goes out only after its start has committed. A key
 * that was told not run may be tried again, but only by what arrived after that was decided.
 *
 * Steps and code: arrive = IngressService::makeFlowRequest with Entry::seen, beat =
 * EntryService::accept, admit, start, revoke = StateMachine::on(AdmitWork, StartWork, RevokeWork),
 * send = Flow::carryOn, tell = Flow::giveUp with Work::execution, settle = LeaseBook::announced.
 *
 * Broken variants: -DSEND_FIRST sends before the start is recorded; -DHELD_UP admits again
 * whenever the request arrived.
 */

#define ENTRIES 2
#define SUBMISSIONS 4

mtype = { none, admitted, started, ended, revoked };

mtype work = none;
byte carrier;            /* entry that admitted it */
byte runs;               /* times that the upstream began it */
byte place = 1;          /* commands applied so far */
byte revokedAt;          /* place of the revocation */
byte submissions;
bool alive[ENTRIES];
bool busy[ENTRIES];      /* has a submission of the key */
byte known[ENTRIES];     /* place that the entry heard of */
byte arrival[ENTRIES];   /* the same, when its submission arrived */
bool stale[ENTRIES];     /* its submission arrived before the key was told not run */

inline send(e)
{
    runs++;
    assert(runs <= 1);
    assert(!stale[e])
}

inline tell()
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
    :: atomic { alive[e] -> alive[e] = false; busy[e] = false; break }   /* dies at any step */
    :: atomic { alive[e] && known[e] < place -> known[e] = place }       /* beat */
    :: atomic { alive[e] && !busy[e] && submissions < SUBMISSIONS ->
        submissions++;
        busy[e] = true;
        stale[e] = false;
        arrival[e] = known[e]
    }
    :: atomic { busy[e] && work == none -> work = admitted; carrier = e; place++ }
    :: atomic { busy[e] && work == revoked && MAY_TRY_AGAIN(e) ->
        work = admitted;
        carrier = e;
        place++
    }
    :: atomic { busy[e] && work == revoked && !MAY_TRY_AGAIN(e) -> busy[e] = false }
#ifdef SEND_FIRST
    :: atomic { busy[e] && work == admitted && !mine -> mine = true }
    :: atomic { busy[e] && mine -> send(e); work = started; break }
#else
    :: atomic { busy[e] && work == admitted && carrier == e ->
        work = started;
        place++;
        mine = true
    }
    :: atomic { busy[e] && mine && work == started -> mine = false; send(e) }
#endif
    :: atomic { alive[e] && work == admitted && (carrier == e || !alive[carrier]) ->
        work = revoked;
        place++;
        revokedAt = place;
        busy[e] = false;
        tell()
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
