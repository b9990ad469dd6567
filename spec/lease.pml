/* Exclusive work with a frozen entry and a late delivery. The journal's leader grants the lease in
 * the reply to the upstream's own announcement; the upstream counts it from when it sent that,
 * the leader from its reply, plus a margin.
 *
 * Steps and code: announce/reply = LeaseBook::announced, give up = LeaseBook::upstreamsGone and
 * EndAttempt, start = StartWork in StateMachine, deliver = Flow::send, run = the upstream's side
 * of docs/API.md.
 *
 * Broken variants: -DENTRY_GRANTS lets a delivered request run without a lease; -DLATE_RECORD goes
 * on granting between the decision that the attempt is over and its record in the journal.
 */

#define LEASE 3
#define MARGIN 1
#define HORIZON 12

byte now;
byte current = 1;        /* the attempt that the journal names: 1 on upstream 0, 2 on upstream 1 */
bool decided;            /* the end of attempt 1 is proposed, and recorded at any later time */
byte leaderUntil;        /* the leader takes the lease of the current attempt to run until then */
byte upstreamUntil[2];   /* each upstream's own reckoning */
byte asked[2];           /* when it sent the announcement under way; 255: none */
bool delivered[2];
bool running[2];

inline mayRun(u)
{
#ifdef ENTRY_GRANTS
    delivered[u]
#else
    delivered[u] && now < upstreamUntil[u]
#endif
}

#ifdef LATE_RECORD
#define MAY_GRANT(u) (current == u + 1)
#else
#define MAY_GRANT(u) (current == u + 1 && !(decided && u == 0))
#endif

active proctype world()
{
    byte u;
    asked[0] = 255;
    asked[1] = 255;
    do
    :: atomic {
        now < HORIZON -> now++;
        /* an upstream whose lease is over has stopped by then */
#ifndef ENTRY_GRANTS
        if :: now >= upstreamUntil[0] -> running[0] = false :: else fi;
        if :: now >= upstreamUntil[1] -> running[1] = false :: else fi;
#endif
    }
    :: atomic { select(u : 0 .. 1); asked[u] == 255 -> asked[u] = now }
    :: atomic { /* the reply: a lease only for the attempt that the journal names */
        select(u : 0 .. 1);
        asked[u] != 255 && MAY_GRANT(u) ->
            leaderUntil = now + LEASE + MARGIN;
            upstreamUntil[u] = asked[u] + LEASE;
            asked[u] = 255
    }
    :: atomic { /* the reply was lost, though the leader counts the lease */
        select(u : 0 .. 1);
        asked[u] != 255 ->
            if :: MAY_GRANT(u) -> leaderUntil = now + LEASE + MARGIN :: else fi;
            asked[u] = 255
    }
    :: atomic { /* the entry may be frozen, so a request may come at any time */
        select(u : 0 .. 1);
        !delivered[u] && current >= u + 1 -> delivered[u] = true
    }
    :: atomic {
        select(u : 0 .. 1);
        mayRun(u) -> running[u] = true;
        assert(!(running[0] && running[1]))
    }
    :: atomic { /* the first attempt is over */
        !decided && now >= leaderUntil && leaderUntil > 0 -> decided = true
    }
    :: atomic { /* recorded: the second may start */
        decided && current == 1 -> current = 2
    }
    :: break
    od
}
