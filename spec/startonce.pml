/* Work that may not be repeated: an entry dies at any step, the caller resubmits to another with
 * the same key. The journal decides admit, start and revoke; the request goes out only after its
 * start has committed.
 *
 * Steps and code: admit, start, revoke = StateMachine::on(AdmitWork, StartWork, RevokeWork),
 * send = Flow::carryOn, tell = Flow::giveUp with Work::execution, settle = LeaseBook::announced.
 *
 * Broken variant: -DSEND_FIRST sends before the start is recorded.
 */

#define ENTRIES 2

mtype = { none, admitted, started, ended, revoked };

mtype work = none;
byte owner;          /* entry whose start was recorded, plus one */
byte runs;           /* times that the upstream began it */
bool alive[ENTRIES];
bool toldNotRun;

inline send()
{
    runs++;
    assert(runs <= 1);
    assert(!toldNotRun)
}

proctype entry(byte e)
{
    bool mine = false;
    do
    :: atomic { alive[e] -> alive[e] = false; break }          /* dies at any step */
    :: atomic { alive[e] && work == none -> work = admitted }
#ifdef SEND_FIRST
    :: atomic { alive[e] && work == admitted && !mine -> mine = true }
    :: atomic { alive[e] && mine -> send(); work = started; break }
#else
    :: atomic { alive[e] && work == admitted -> work = started; owner = e + 1; mine = true }
    :: atomic { alive[e] && mine && work == started && owner == e + 1 ->
        mine = false;
        send()
    }
#endif
    :: atomic { alive[e] && work == admitted -> work = revoked; toldNotRun = true; break }
    :: atomic { alive[e] && runs == 1 && work == started -> work = ended; break }
    :: atomic { alive[e] && (work == ended || work == revoked) -> break }
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
