/* The bundle's head: `moveHead` of racing operators (src/bundle/internal/rollout.cpp) and `applyHead` by processes that
 * read it (BundleWatch). Held: the head only goes up; no process goes back; an operator who is told that it won has,
 * and one who is told that it lost has not, then or later.
 *
 * A write may arrive late, and its answer may be lost. Reads by processes may be stale by any amount.
 * Broken on purpose: NO_EXPECTED, NO_NONCE, NO_MAXIMUM, NO_ABOVE, MOVED_IS_LOST. */

#define OPERATORS 2
#define FIRST 1
#define WRITES 4

mtype = { pending, won, lost, undecided };

/* The object: bundle version and the operator's nonce; its own version counts the writes. */
byte headBundle[WRITES];
byte headNonce = 0;
byte written = 0;

typedef Operator {
    chan writes = [2] of { byte, byte, byte };
    byte answered;
    bool didApply;
    mtype outcome;
    bool wasApplied;
};
Operator operators[OPERATORS];

#define NONCE (me + 1)
/* More than one write since the read: the own one may be among those that others have written over. */
#ifdef MOVED_IS_LOST
#define MAY_BE_OVERWRITTEN false
#else
#define MAY_BE_OVERWRITTEN (written > expected + 1)
#endif

proctype platform(byte me)
{
    byte bundle;
    byte expected;
    byte operation;
end:
    do
    :: atomic {
        operators[me].writes ? bundle, expected, operation;
        if
#ifdef NO_EXPECTED
        :: written + 1 < WRITES ->
#else
        :: written == expected && written + 1 < WRITES ->
#endif
            written++;
            headBundle[written] = bundle;
            headNonce = NONCE;
            assert(headBundle[written] > headBundle[written - 1]);
            assert(operators[me].outcome != lost);
            operators[me].wasApplied = true;
            operators[me].didApply = true
        :: else -> operators[me].didApply = false
        fi;
        operators[me].answered = operation;
        bundle = 0; expected = 0; operation = 0
    }
    od
}

/* Rolls out bundle 3 - me: the operators start from the same head, and the slower may have the lower version. */
proctype rollOut(byte me)
{
    byte expected;
    byte operation = 0;

    atomic {
        expected = written;
#ifndef NO_ABOVE
        if
        :: headBundle[written] >= 3 - me -> operators[me].outcome = lost; goto over
        :: else
        fi
#endif
    }
moveHead:
    operation++;
    if
    :: nfull(operators[me].writes) -> operators[me].writes ! 3 - me, expected, operation
    :: skip /* the request is lost */
    fi;
    if
    :: operators[me].answered == operation ->
        if
        :: operators[me].didApply -> operators[me].outcome = won; goto told
        :: else
        fi
    :: true /* no answer in time */
    fi;
    /* Settled by reading again: the own nonce, a head that another has moved, or the one that was there. */
    atomic {
        if
#ifdef NO_NONCE
        :: written != expected -> operators[me].outcome = lost
#else
        :: headNonce == NONCE -> operators[me].outcome = won
        :: headNonce != NONCE && written != expected && !MAY_BE_OVERWRITTEN -> operators[me].outcome = lost
        :: headNonce != NONCE && written != expected && MAY_BE_OVERWRITTEN -> operators[me].outcome = undecided
#endif
        :: written == expected && operation < 3 -> goto moveHead
        :: written == expected && operation >= 3 -> operators[me].outcome = undecided
        fi
    }
told:
    atomic {
        assert(operators[me].outcome != won || operators[me].wasApplied);
        assert(operators[me].outcome != lost || !operators[me].wasApplied)
    }
over:
    skip
}

/* A process: reads whatever version of the head an old or new copy shows, keeps the highest. */
proctype reader()
{
    byte inForce = 0;
    byte before;
    byte at;
    byte reads = 0;
end:
    do
    :: reads < 3 ->
        atomic {
            at = 0;
            do
            :: at < written -> at++
            :: break
            od;
            before = inForce;
            if
#ifdef NO_MAXIMUM
            :: true -> inForce = headBundle[at]
#else
            :: headBundle[at] > inForce -> inForce = headBundle[at]
            :: headBundle[at] <= inForce -> skip
#endif
            fi;
            assert(inForce >= before);
            at = 0; before = 0;
            reads++
        }
    :: reads >= 3 -> break
    od
}

init
{
    atomic {
        headBundle[0] = FIRST;
        operators[0].outcome = pending; operators[1].outcome = pending;
        run platform(0); run platform(1);
        run rollOut(0); run rollOut(1);
        run reader()
    }
}
