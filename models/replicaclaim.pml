/* Models the replica cap: `claim` and `release` of ReplicaClaims (src/agent/internal/replicaclaims.h), the load and
 * unload orders of ReplicaController (src/agent/internal/replicacontroller.h), and restarts of the agents. The claims
 * are in one replica object, which only conditional updates change.
 *
 * Property: the engines never hold more replicas than the cap allows. This is checked at the engines, at each load.
 *
 * Faults: two VMs share a cap of one. An agent may be paused anywhere, since every interleaving is searched, and may
 * crash and restart. A write may take effect late, and its request or its answer may be lost. A load order may be lost,
 * or reach the engine late, even after its agent has died. VM 1 may be reclaimed.
 *
 * With FENCED, engines refuse an order with an outdated fencing token. Without it, a claim is released only after a
 * settling time; the model assumes that by then an order has arrived or is lost.
 *
 * Variants that are broken on purpose:
 *   LAPSE         a claim lapses by time, although its holder may only be paused
 *   FREE_FORMER   a restarted agent releases the claim of its former process if the engine doesn't have the replica
 *   NO_SETTLING   a claim is released while an order may still be in transit
 *   NO_NONCE      a write without an answer counts as applied
 *   NO_EXPECTED   writes are unconditional
 *   FREE_LEAVING  the claim of a VM that is leaving, but not gone, is dropped */

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

/* The replica object on the platform: the nonce of each VM's claim (0 if the VM has none), and the object's version. */
byte holder[2];
byte version = 1;

/* Writes in transit to the platform: the new claims of the writer's VM and of the other VM, the object version that the
 * write expects, and the number of the operation. */
typedef Writes { chan queue = [2] of { byte, byte, byte, byte } };
Writes writes[2];
byte answeredTo[2];
bool didApply[2];

/* The engines, the orders in transit to them, and the state of VM 1. */
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

/* Applies a write whenever it arrives. The process that the answer is for may have ended by then. */
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

/* VM 1 is reclaimed. First it is announced as leaving; then its agent and the content of its accelerators are gone. */
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
    /* The agent orders nothing before it has read its own claims. */
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
    /* The claim of a former process is taken over, not released, because that process's order may still reach the
     * engine. The write yields a higher fencing token. */
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
        :: true -> readOther = 0 /* the claim has lapsed like a lease; its holder is paused, but the engine isn't */
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
        /* No answer in time. The agent reads the object again and looks for its nonce. While the object has the version
         * that the write expects, the write may still take effect, so the agent sends the same write again. */
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
    /* The engine confirms the unload, so it doesn't have the replica now. */
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
    :: isLoaded[v] -> goto unload /* an order has arrived late */
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
