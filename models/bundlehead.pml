/* Models operators that roll out bundles at the same time (`moveHead` in src/bundle/internal/rollout.cpp) and processes
 * that read the bundle head (`applyHead` in src/bundle/internal/bundlewatch.cpp).
 *
 * Properties: the bundle version in the head only increases. No process returns to a lower version. An operator whose
 * outcome is "won" has moved the head. The write of an operator whose outcome is "lost" has not taken effect and never
 * will.
 *
 * Faults: a write may arrive late, its request or its answer may be lost, and a process may read any earlier state of
 * the head.
 *
 * Variants that are broken on purpose:
 *   NO_EXPECTED    writes of the head are unconditional
 *   NO_NONCE       operators don't look for their nonce: any change of the head counts as another operator's write
 *   NO_MAXIMUM     a process takes whatever version it reads
 *   NO_ABOVE       a roll-out starts even if the head has its version or a higher one
 *   MOVED_IS_LOST  a head that was moved on counts as proof that the operator's own unanswered write did not take
 *                  effect, although that write may have been overwritten */

#define OPERATORS 2
#define FIRST 1
#define WRITES 4

mtype = { pending, won, lost, undecided };

/* The head as an object of the platform. `written` is the object's version, which each write increases; `headBundle`
 * has the bundle version for each version of the object, and `headNonce` is the nonce of the latest write. */
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
/* If more than one write took effect since the read, others may have overwritten the operator's own write. */
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

/* Rolls out bundle version 3 - me. Both operators start from the same head, and the slower one may have the lower
 * version. */
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
    /* The operator reads the head again. It has the operator's nonce, or another operator has moved it, or it is
     * unchanged. */
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

/* A process that reads the head. Each read may return any earlier version or the current one; the process keeps the
 * highest version that it has read. */
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
