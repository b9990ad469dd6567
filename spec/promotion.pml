/* Model of promotion as a compare-and-set. Operators race with equal and older versions, lose
 * replies and send again. An entry applies the version that it receives in a heartbeat reply.
 *
 * Steps and code: operator = StateMachine::on(PromoteEnvironment), entry = applyEnvironments of the
 * entry service. The configuration index of an entry never decreases.
 *
 * Broken variant: -DBLIND_WRITE promotes every version without comparing it.
 */

#define OPERATORS 2

byte version;            /* in force in the journal */
byte digest;
byte succeeded[4];       /* digest reported as a success for each version; zero: none */
byte entryVersion;       /* in force on the entry */

proctype operator(byte own; byte target)
{
    byte attempts = 0;
    do
    :: atomic {
        attempts < 2 -> attempts++;
        if
#ifdef BLIND_WRITE
        :: version = target; digest = own
#else
        :: target > version -> version = target; digest = own
        :: target == version && digest == own -> skip             /* a repeated request succeeds */
        :: target == version && digest != own -> goto done        /* conflict */
        :: target < version -> goto done                          /* stale */
#endif
        fi;
        assert(succeeded[target] == 0 || succeeded[target] == own);
        succeeded[target] = own
    }
    :: break
    od;
done:
    skip
}

proctype entry()
{
    byte received;
    do
    :: atomic {
        received = version;
        assert(received >= entryVersion);
        entryVersion = received
    }
    :: break
    od
}

init
{
    atomic {
        run operator(1, 2);
        run operator(2, 2);
        run operator(3, 1);
        run entry()
    }
}
