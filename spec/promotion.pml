/* Promotion as a compare-and-set: two operators race with equal versions, lose answers and send
 * again; an entry takes over what a beat tells it.
 *
 * Steps and code: promote = StateMachine::on(PromoteEnvironment), take over =
 * EntryService::takeEnvironments; an entry's configuration index never falls.
 *
 * Broken variant: -DBLIND_WRITE puts in force whatever comes.
 */

#define OPERATORS 2

byte version;            /* in force in the journal */
byte digest;
byte succeeded[4];       /* digest that was called a success for a version; zero: none */
byte entryVersion;       /* in force on the entry */

proctype operator(byte me; byte wanted)
{
    byte tries = 0;
    do
    :: atomic {
        tries < 2 -> tries++;
        if
#ifdef BLIND_WRITE
        :: version = wanted; digest = me
#else
        :: wanted > version -> version = wanted; digest = me
        :: wanted == version && digest == me -> skip             /* a resend: the same success */
        :: wanted == version && digest != me -> goto done        /* conflict */
        :: wanted < version -> goto done                         /* stale */
#endif
        fi;
        assert(succeeded[wanted] == 0 || succeeded[wanted] == me);
        succeeded[wanted] = me
    }
    :: break
    od;
done:
    skip
}

proctype entry()
{
    byte told;
    do
    :: atomic {
        told = version;
        assert(told >= entryVersion);
        entryVersion = told
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
