/* Model of leases for exclusive work when an entry is frozen and a request is delivered late. The
 * leader of the journal grants a lease in the reply to the upstream's announcement. The upstream
 * counts the lease from the time at which it sent the announcement, the leader from its reply plus
 * a margin.
 *
 * Steps and code: announcement and reply = LeaseTable::onAnnouncement, end of attempt 1 =
 * LeaseTable::endAttemptsOfGoneUpstreams and EndAttempt, start = StartWork in StateMachine,
 * deliver = Flow::send, run = the upstream as docs/API.md requires.
 *
 * Broken variants: -DENTRY_GRANTS lets a delivered request run without a lease; -DLATE_RECORD
 * still grants leases between the decision that the attempt has ended and its record in the
 * journal.
 */

#define LEASE 3
#define MARGIN 1
#define HORIZON 12

byte now;
byte current = 1;        /* attempt in the journal: 1 on upstream 0, 2 on upstream 1 */
bool endProposed;        /* the end of attempt 1 is proposed; it is recorded at any later time */
byte leaderExpiry;       /* end of the current attempt's lease for the leader */
byte upstreamExpiry[2];  /* end of the lease for each upstream */
byte sentAt[2];          /* send time of the open announcement; 255: none */
bool delivered[2];
bool running[2];

inline mayRun(u)
{
#ifdef ENTRY_GRANTS
    delivered[u]
#else
    delivered[u] && now < upstreamExpiry[u]
#endif
}

#ifdef LATE_RECORD
#define MAY_GRANT(u) (current == u + 1)
#else
#define MAY_GRANT(u) (current == u + 1 && !(endProposed && u == 0))
#endif

active proctype cluster()
{
    byte u;
    sentAt[0] = 255;
    sentAt[1] = 255;
    do
    :: atomic {
        now < HORIZON -> now++;
        /* an upstream stops its work when the lease expires */
#ifndef ENTRY_GRANTS
        if :: now >= upstreamExpiry[0] -> running[0] = false :: else fi;
        if :: now >= upstreamExpiry[1] -> running[1] = false :: else fi;
#endif
    }
    :: atomic { select(u : 0 .. 1); sentAt[u] == 255 -> sentAt[u] = now }
    :: atomic { /* the reply grants a lease only for the attempt in the journal */
        select(u : 0 .. 1);
        sentAt[u] != 255 && MAY_GRANT(u) ->
            leaderExpiry = now + LEASE + MARGIN;
            upstreamExpiry[u] = sentAt[u] + LEASE;
            sentAt[u] = 255
    }
    :: atomic { /* the reply is lost, but the leader counts the lease */
        select(u : 0 .. 1);
        sentAt[u] != 255 ->
            if :: MAY_GRANT(u) -> leaderExpiry = now + LEASE + MARGIN :: else fi;
            sentAt[u] = 255
    }
    :: atomic { /* the entry may be frozen, so a request may arrive at any time */
        select(u : 0 .. 1);
        !delivered[u] && current >= u + 1 -> delivered[u] = true
    }
    :: atomic {
        select(u : 0 .. 1);
        mayRun(u) -> running[u] = true;
        assert(!(running[0] && running[1]))
    }
    :: atomic { /* the leader decides that the first attempt has ended */
        !endProposed && now >= leaderExpiry && leaderExpiry > 0 -> endProposed = true
    }
    :: atomic { /* the end is recorded, so the second attempt may start */
        endProposed && current == 1 -> current = 2
    }
    :: break
    od
}
