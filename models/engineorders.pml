/* Orders of a direct agent to its engine (src/engines/internal/enginecontroller.cpp): each carries fence, expected
 * count and instance. Held: the engine never holds more than fits, never carries out an order of an older life of the
 * agent after one of a newer, nor one that was meant for its former instance.
 *
 * An order may get no answer, and be carried out at any time later, behind newer ones. The agent may be killed at any time;
 * its orders stay under way, and its next life has a greater fence. The engine may start anew, empty.
 * Broken on purpose: NO_EXPECTED, NO_INSTANCE. NO_FENCE holds: the count alone keeps an older life's orders out. */

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

/* Orders under way: kind, model, expected count, fence, instance, number. */
chan network = [ORDERS] of { mtype, byte, byte, byte, byte, byte };
/* The number of the last order that was answered. */
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
        /* Any of them, since each may be late. */
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

/* One life: reads the engine's report, which is fresh on its VM, and orders by it. Ends at any time. */
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
        /* Waits for the answer, or gives up: then the report decides, as it does next anyway. */
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
