/* The replica cap: `claim`, `release` and `restart` as in src/agent (ReplicaClaims, ReplicaController), over one
 * replica object that only conditional updates change. The cap is counted at the engines, at each load.
 *
 * Two VMs, a cap of one. An agent may be paused anywhere (any interleaving), crash and restart; a write may be applied
 * late, or its answer lost; a load order may reach the engine late, also after its agent has died; VM 1 may be reclaimed.
 *
 * FENCED: engines refuse an order with an old fencing number. Without it a claim is freed after a settling time, by
 * which, the model assumes, an order has arrived or is lost.
 * Broken on purpose: LAPSE, FREE_FORMER, NO_SETTLING, NO_NONCE, NO_EXPECTED, FREE_LEAVING. */

#define CAP 1
#ifndef WRITES
#define WRITES 6
#endif
#ifndef NONCES
#define NONCES 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

/* The platform's object: each VM's claim as its nonce (0: none). */
byte holder[2];
byte version = 1;

/* Writes on their way to it: what the object is to be, and the version that is expected. */
typedef Writes { chan queue = [2] of { byte, byte, byte, byte } };
Writes writes[2];
byte answeredTo[2];
bool didApply[2];

/* Outside: engines, orders on their way to them, VMs. */
typedef Orders { chan queue = [2] of { byte } };
Orders orders[2];
bool isLoaded[2];
byte highestFence[2];
bool isLeaving;
bool isGone;

byte nextNonce = 1;
byte crashes = 0;

#define OTHER (1 - v)
#define STOPS (v == 1 && isGone)

inline crash()
{
    if
    :: atomic { crashes < CRASHES -> crashes++; goto restart }
    :: skip
    fi
}

/* Writes are applied whenever they arrive, and answered to a process that may not listen any more. */
proctype platform(byte v)
{
    byte own;
    byte other;
    byte expected;
    byte operation;
end:
    do
    :: atomic {
        writes[v].queue ? own, other, expected, operation;
        if
#ifdef NO_EXPECTED
        :: version < WRITES ->
#else
        :: version == expected && version < WRITES ->
#endif
            holder[v] = own; holder[OTHER] = other; version++; didApply[v] = true; answeredTo[v] = operation
        :: else -> didApply[v] = false; answeredTo[v] = operation
        fi;
        own = 0; other = 0; expected = 0; operation = 0
    }
    od
}

proctype engine(byte v)
{
    byte fence;
end:
    do
    :: atomic {
        orders[v].queue ? fence;
        if
        :: STOPS -> skip
        :: !STOPS && fence < highestFence[v] -> skip
        :: !STOPS && fence >= highestFence[v] ->
#ifdef FENCED
            highestFence[v] = fence;
#endif
            isLoaded[v] = true;
            assert(isLoaded[0] + isLoaded[1] <= CAP)
        fi;
        fence = 0
    }
    od
}

/* VM 1 is reclaimed: first announced, then its agent and what its accelerators held are gone. */
proctype fleet()
{
end_announce:
    isLeaving = true;
end_reclaim:
    d_step { isGone = true; isLoaded[1] = false }
}

proctype agent(byte v)
{
    byte nonce;
    byte fence;
    byte readVersion;
    byte readOther;
    byte operation;

restart:
end_restart:
    /* Nothing is ordered before the own claims have been read. */
    atomic {
        nonce = 0; fence = 0; readOther = 0; operation = 0;
        readVersion = version;
        if
        :: STOPS -> goto stopped
        :: !STOPS && holder[v] != 0 -> nonce = holder[v]
        :: !STOPS && holder[v] == 0 -> goto idle
        fi
    }
#ifdef FREE_FORMER
    if
    :: !isLoaded[v] -> goto release
    :: else
    fi;
#endif
    /* A former process's claim is taken over, not freed: its order may still reach the engine. The write gives a higher
     * fencing number. */
    atomic {
        if
        :: version == readVersion && version < WRITES -> version++; fence = version; goto unload
        :: version != readVersion -> goto restart
        :: version >= WRITES -> goto stopped
        fi
    }

idle:
end_idle:
    atomic {
        version < WRITES && nextNonce <= NONCES;
        if
        :: STOPS -> goto stopped
        :: !STOPS && holder[v] != 0 -> goto restart /* a former process's write arrived late */
        :: !STOPS && holder[v] == 0
        fi;
        readVersion = version;
        readOther = holder[OTHER];
        if
#ifdef LAPSE
        :: true -> readOther = 0 /* "its lease has lapsed": the holder is paused, its engine isn't */
#endif
#ifdef FREE_LEAVING
        :: v == 0 && isLeaving -> readOther = 0
#endif
        :: v == 0 && isGone -> readOther = 0
        :: !(v == 0 && isGone)
        fi;
        if
        :: (readOther != 0) >= CAP -> goto idle
        :: else
        fi;
        nonce = nextNonce;
        nextNonce++;
        operation = nonce
    }

claim:
    if
    :: nfull(writes[v].queue) -> writes[v].queue ! nonce, readOther, readVersion, operation
    :: skip /* the request is lost */
    fi;
    crash();
    if
    :: atomic { answeredTo[v] == operation && didApply[v] -> fence = version }
    :: answeredTo[v] == operation && !didApply[v] -> goto idle
    :: true ->
        /* No answer in time. Settled by reading again and looking for the nonce; as long as the version is the one
         * that the write expects, it may still be applied, so the same write is sent again. */
#ifdef NO_NONCE
        atomic { fence = version }
#else
        atomic {
            if
            :: holder[v] == nonce -> fence = version
            :: holder[v] != nonce && version == readVersion -> goto claim
            :: holder[v] != nonce && version != readVersion -> goto idle
            fi
        }
#endif
    fi;

load:
    if
    :: STOPS -> goto stopped
    :: !STOPS && nfull(orders[v].queue) -> orders[v].queue ! fence
    :: !STOPS /* the order is lost */
    fi;
    crash();

unload:
    /* Confirmed by the engine: it doesn't have the replica now. */
    atomic {
        if
        :: STOPS -> goto stopped
        :: else
        fi;
        isLoaded[v] = false;
#ifdef FENCED
        if
        :: fence + 1 > highestFence[v] -> highestFence[v] = fence + 1
        :: else
        fi
#endif
    }
    crash();

#if !defined(FENCED) && !defined(NO_SETTLING)
settle:
end_settle:
    if
    :: STOPS -> goto stopped
    :: !STOPS && empty(orders[v].queue)
    fi;
    if
    :: isLoaded[v] -> goto unload /* an order had been on its way */
    :: else
    fi;
#endif

release:
    atomic {
        if
        :: STOPS || version >= WRITES -> goto stopped
        :: !STOPS && version < WRITES && holder[v] == nonce ->
            readVersion = version; readOther = holder[OTHER]; operation = NONCES + nonce
        :: !STOPS && version < WRITES && holder[v] != nonce -> goto idle /* released */
        fi
    }
    if
    :: nfull(writes[v].queue) -> writes[v].queue ! 0, readOther, readVersion, operation
    :: skip
    fi;
    crash();
    goto release;

stopped:
    skip
}

init
{
    atomic {
        run platform(0); run platform(1);
        run engine(0); run engine(1);
        run fleet();
        run agent(0); run agent(1)
    }
}
