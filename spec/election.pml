/* Elections with lost disks. Three replicas; a vote and the term are durable, but a disk may be
 * lost. A replica that comes back with a blank disk has a new identity and no vote.
 *
 * Steps and code: stand = Consensus::startElection, grant = Consensus::receiveVoteRequest,
 * replicate = Consensus::receiveAppend, commit = Consensus::advanceCommit,
 * lose = a new identity in openFileStorage; it is a learner until the leader has replaced it.
 *
 * Broken variant: -DSAME_IDENTITY lets the blank replica vote as the one that it was.
 */

#define N 3
#define TERMS 3
#define QUORUM 2

byte term[N];
byte voted[N];      /* for whom in term[n], plus one; zero: nobody */
bool mute[N];       /* lost its disk: no vote under this identity */
byte log[N];        /* one: has the entry */
byte votes[N];      /* bits of those who voted for n in its term */
bool leads[N];
byte leaderOf[TERMS + 1]; /* who led a term, plus one */
byte committedIn;    /* the term in which the entry was committed; zero: not yet */
byte losses;

inline count(bits, result)
{
    result = (bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1);
}

inline stand(n)
{
    term[n]++;
    voted[n] = n + 1;
    votes[n] = 1 << n;
    leads[n] = false;
}

inline grant(n, m)
{
    if
    :: term[m] < term[n] -> term[m] = term[n]; voted[m] = 0; leads[m] = false
    :: else
    fi;
    if
    :: term[m] == term[n] && (voted[m] == 0 || voted[m] == n + 1) && log[m] <= log[n] ->
        voted[m] = n + 1;
        votes[n] = votes[n] | (1 << m)
    :: else
    fi
}

active proctype world()
{
    byte n, m, c;
    do
    :: atomic {
        select(n : 0 .. N - 1);
        !mute[n] && term[n] < TERMS -> stand(n)
    }
    :: atomic {
        select(n : 0 .. N - 1);
        select(m : 0 .. N - 1);
        n != m && !mute[m] && !leads[n] && voted[n] == n + 1 && term[m] <= term[n] -> grant(n, m)
    }
    :: atomic {
        select(n : 0 .. N - 1);
        count(votes[n], c);
        !leads[n] && voted[n] == n + 1 && c >= QUORUM ->
            assert(leaderOf[term[n]] == 0 || leaderOf[term[n]] == n + 1);
            /* a leader of an earlier term may still appear, but can commit nothing */
            assert(committedIn == 0 || term[n] < committedIn || log[n] == 1);
            leaderOf[term[n]] = n + 1;
            leads[n] = true
    }
    :: atomic {
        select(n : 0 .. N - 1);
        leads[n] -> log[n] = 1
    }
    :: atomic {
        select(n : 0 .. N - 1);
        select(m : 0 .. N - 1);
        leads[n] && !mute[m] && log[n] == 1 && term[m] <= term[n] ->
            term[m] = term[n];
            if
            :: m != n -> leads[m] = false; voted[m] = n + 1
            :: else
            fi;
            log[m] = 1;
            /* committed once a quorum of one term has it */
            c = 0;
            if :: term[0] == term[n] && !mute[0] && log[0] == 1 -> c++ :: else fi;
            if :: term[1] == term[n] && !mute[1] && log[1] == 1 -> c++ :: else fi;
            if :: term[2] == term[n] && !mute[2] && log[2] == 1 -> c++ :: else fi;
            if :: c >= QUORUM && committedIn == 0 -> committedIn = term[n] :: else fi
    }
    :: atomic {
        select(n : 0 .. N - 1);
        losses < 1 && !mute[n] ->
            losses++;
            term[n] = 0; voted[n] = 0; votes[n] = 0; log[n] = 0; leads[n] = false;
#ifndef SAME_IDENTITY
            mute[n] = true
#endif
    }
    :: break
    od
}
