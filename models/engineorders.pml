/* Models the orders that a direct agent gives to its engine (EngineController,
 * src/engines/internal/enginecontroller.cpp). Each order carries the agent's fencing token (`fence`), the order count
 * that it expects of the engine (`expected`), and the engine's instance (`meant`).
 *
 * Properties: the engine never holds more models than fit into it. It never carries out an order of an earlier agent
 * process after one of a later process, nor an order that was addressed to an earlier instance of the engine.
 *
 * Faults: an order may get no answer, and may be carried out at any later time, after newer orders. The agent may be
 * killed at any time; its orders stay in transit, and its next process has a higher fencing token. The engine may
 * restart once, as a new instance that holds no model.
 *
 * Variants that are broken on purpose:
 *   NO_EXPECTED  the engine doesn't check the expected order count
 *   NO_INSTANCE  the engine doesn't check the instance
 * With NO_FENCE the engine doesn't check fencing tokens. The properties still hold, because the expected order count
 * alone keeps out the orders of an earlier agent process. */

#define MODELS 3
#define ROOM 1
#define LIVES 2
#define ORDERS 3

mtype = { load, unload };

bool held[MODELS];
byte holds = 0;
byte accepted = 0;
byte fenceSeen = 0;
byte instance = 0;
byte restarts = 0;
byte newestLife = 0;
byte lives = 0;

/* Orders in transit: kind, model, expected order count, fencing token, instance, number of the order. */
chan network = [ORDERS] of { mtype, byte, byte, byte, byte, byte };
/* The number of the last order whose answer has arrived. */
byte answered = 0;
byte sent = 0;

proctype engine()
{
    mtype kind;
    byte model;
    byte expected;
    byte fence;
    byte meant;
    byte number;
end:
    do
    :: atomic {
        /* Receives any order in transit, not only the oldest one, because each may be late. */
        network ?? kind, model, expected, fence, meant, number;
        if
#ifndef NO_INSTANCE
        :: meant != instance -> skip
#endif
#ifndef NO_FENCE
        :: fence < fenceSeen -> skip
#endif
#ifndef NO_EXPECTED
        :: expected != accepted -> skip
#endif
        :: else ->
            assert(meant == instance);
            assert(fence >= newestLife);
            newestLife = fence;
            fenceSeen = fence;
            accepted++;
            if
            :: kind == load && !held[model] -> held[model] = true; holds++
            :: kind == unload && held[model] -> held[model] = false; holds--
            :: else -> skip
            fi;
            assert(holds <= ROOM)
        fi;
        /* The answer may be lost. */
        if
        :: answered = number
        :: skip
        fi;
        kind = load; model = 0; expected = 0; fence = 0; meant = 0; number = 0
    }
    :: atomic {
        restarts == 0 ->
        restarts++;
        instance++;
        accepted = 0;
        fenceSeen = 0;
        newestLife = 0;
        holds = 0;
        held[0] = false; held[1] = false; held[2] = false
    }
    od
}

/* One process of the agent (a "life" in the names of this model). It decides by the engine's report, which is current,
 * because the agent runs on the engine's VM. It may end at any time. */
proctype agent(byte fence)
{
    byte model;
    byte number;
    do
    :: atomic {
        sent < ORDERS && nfull(network) ->
        sent++;
        number = sent;
        if
        :: model = 0
        :: model = 1
        :: model = 2
        fi;
        if
        :: held[model] -> network ! unload, model, accepted, fence, instance, number
        :: !held[model] && holds < ROOM -> network ! load, model, accepted, fence, instance, number
        :: else -> skip
        fi;
        model = 0
    }
        /* Waits for the answer or gives up. In both cases the next decision is based on the engine's report. */
        if
        :: answered == number
        :: skip
        fi
    :: atomic { lives < LIVES -> lives++; run agent(fence + 1) }; break
    :: break
    od
}

init {
    atomic {
        lives = 1;
        run engine();
        run agent(1)
    }
}
