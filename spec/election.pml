/* Model of elections when a replica loses its disk. Three replicas store their term and vote
 * durably. A replica that restarts with an empty disk has a new identity and no vote.
 *
 * Steps and code: startElection = Consensus::startElection, grantVote =
 * Consensus::receiveVoteRequest, replicate = Consensus::receiveAppend, commit =
 * Consensus::advanceCommit, disk loss = a new identity in openFileStorage. The replica with the new
 * identity is a learner until the leader has replaced the old voter.
 *
 * Broken variant: -DSAME_IDENTITY lets the empty replica vote under its old identity.
 */

#define N 3
#define TERMS 3
#define QUORUM 2

byte term[N];
byte voted[N];      /* candidate voted for in term[n], plus one; zero: none */
bool diskLost[N];   /* may not vote under this identity any more */
byte log[N];        /* one: the log has the entry */
byte votes[N];      /* bit set of the replicas that voted for n in its term */
bool isLeader[N];
byte leaderOf[TERMS + 1]; /* leader of each term, plus one */
byte committedIn;    /* term in which the entry was committed; zero: not committed */
byte diskLosses;

inline countBits(bits, result)
{
    result = (bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1);
}

inline startElection(n)
{
    term[n]++;
    voted[n] = n + 1;
    votes[n] = 1 << n;
    isLeader[n] = false;
}

inline grantVote(n, m)
{
    if
    :: term[m] < term[n] -> term[m] = term[n]; voted[m] = 0; isLeader[m] = false
    :: else
    fi;
    if
    :: term[m] == term[n] && (voted[m] == 0 || voted[m] == n + 1) && log[m] <= log[n] ->
        voted[m] = n + 1;
        votes[n] = votes[n] | (1 << m)
    :: else
    fi
}

active proctype cluster()
{
    byte n, m, c;
    do
    :: atomic {
        select(n : 0 .. N - 1);
        !diskLost[n] && term[n] < TERMS -> startElection(n)
    }
    :: atomic {
        select(n : 0 .. N - 1);
        select(m : 0 .. N - 1);
        n != m && !diskLost[m] && !isLeader[n] && voted[n] == n + 1 && term[m] <= term[n] ->
            grantVote(n, m)
    }
    :: atomic {
        select(n : 0 .. N - 1);
        countBits(votes[n], c);
        !isLeader[n] && voted[n] == n + 1 && c >= QUORUM ->
            assert(leaderOf[term[n]] == 0 || leaderOf[term[n]] == n + 1);
            /* a candidate of an earlier term may still win, but its entries cannot be committed */
            assert(committedIn == 0 || term[n] < committedIn || log[n] == 1);
            leaderOf[term[n]] = n + 1;
            isLeader[n] = true
    }
    :: atomic {
        select(n : 0 .. N - 1);
        isLeader[n] -> log[n] = 1
    }
    :: atomic {
        select(n : 0 .. N - 1);
        select(m : 0 .. N - 1);
        isLeader[n] && !diskLost[m] && log[n] == 1 && term[m] <= term[n] ->
            term[m] = term[n];
            if
            :: m != n -> isLeader[m] = false; voted[m] = n + 1
            :: else
            fi;
            log[m] = 1;
            /* the entry is committed when a quorum in the same term has it */
            c = 0;
            if :: term[0] == term[n] && !diskLost[0] && log[0] == 1 -> c++ :: else fi;
            if :: term[1] == term[n] && !diskLost[1] && log[1] == 1 -> c++ :: else fi;
            if :: term[2] == term[n] && !diskLost[2] && log[2] == 1 -> c++ :: else fi;
            if :: c >= QUORUM && committedIn == 0 -> committedIn = term[n] :: else fi
    }
    :: atomic {
        select(n : 0 .. N - 1);
        diskLosses < 1 && !diskLost[n] ->
            diskLosses++;
            term[n] = 0; voted[n] = 0; votes[n] = 0; log[n] = 0; isLeader[n] = false;
#ifndef SAME_IDENTITY
            diskLost[n] = true
#endif
    }
    :: break
    od
}
