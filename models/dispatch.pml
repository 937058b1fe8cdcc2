/* Models one request that must not run twice: the actions `dispatch`, `resolve`, `fence`, `settle`, `complete` and
 * `restart` of the agent's ledger (RequestLedger, src/agent/internal/requestledger.h), and the router's end of the
 * session (AgentSession, src/router/internal/agentsession.h).
 *
 * Properties: the request runs at most once. If the router reports "not run", the request has not run and never will.
 * An answer that the caller receives as complete is complete.
 *
 * Faults: a link may go silent for good. Its frames to the agent may still arrive at any later time, also after the
 * agent has restarted; its frames to the router are lost, because the router has closed its end. The agent may crash
 * between any two steps. After a refusal as "not run" the request is retried once, under a new id.
 *
 * Variants that are broken on purpose:
 *   NO_FENCE        `resolve` reports an id that the agent has not seen as not run, but doesn't fence it
 *   NO_INCARNATION  the agent accepts frames addressed to its former process, and the router doesn't notice a restart
 *   NO_FLOOR        the agent runs dispatches whose id is below the floor
 *   BLIND_RETRY     if a link goes silent, the router dispatches again under a new id, without `resolve`
 *   RETRY_UNKNOWN   the router dispatches again although the outcome is unknown
 *   CLOSE_IS_END    if a link goes silent after the first chunk, the router takes the answer for complete
 *   NO_OFFSET       the agent resends an answer from its beginning, and the router doesn't check offsets */

#define LINKS 4
#define IDS 2
#define CHUNKS 2
#ifndef RESTARTS
#define RESTARTS 1
#endif

mtype = { dispatch, resolve, settle, chunk, end, fenced, refusedNotRun, refusedUnknown };
mtype = { unseen, running, done, fencedEntry };
mtype = { open, whole, notRun, unknown };

/* Frames to the agent: type, id, incarnation of the agent that the frame is addressed to, and the floor (`dispatch`,
 * `settle`) or the number of chunks that the router has received (`resolve`). Frames to the router: type, id, and the
 * offset of a chunk or the length of the answer (`end`). */
typedef Link {
    chan toAgent = [3] of { mtype, byte, byte, byte };
    chan toRouter = [3] of { mtype, byte, byte };
};
Link links[LINKS];
byte routerLink = 0;

/* The agent's process and its ledger. */
byte incarnation = 1;
mtype entry[IDS];
byte floor = 0;
byte attached[IDS];
byte sent[IDS];
byte restarts = 0;

/* How often the upstream ran the request, and the outcome that the caller received. */
byte executed = 0;
mtype outcome = open;

inline start(id)
{
    entry[id] = running; attached[id] = link; sent[id] = 0
}

inline raiseFloor(to)
{
    if
    :: to > floor -> floor = to; entry[0] = (entry[0] == running -> running : unseen)
    :: else
    fi
}

active proctype agent()
{
    byte link;
    byte id;
    byte meantFor;
    byte argument;

    atomic { entry[0] = unseen; entry[1] = unseen };
loop:
end_loop:
    atomic {
        link = 0; id = 0; meantFor = 0; argument = 0;
        if
        :: links[0].toAgent ? dispatch, id, meantFor, argument -> link = 0; goto onDispatch
        :: links[1].toAgent ? dispatch, id, meantFor, argument -> link = 1; goto onDispatch
        :: links[2].toAgent ? dispatch, id, meantFor, argument -> link = 2; goto onDispatch
        :: links[3].toAgent ? dispatch, id, meantFor, argument -> link = 3; goto onDispatch
        :: links[1].toAgent ? resolve, id, meantFor, argument -> link = 1; goto onResolve
        :: links[2].toAgent ? resolve, id, meantFor, argument -> link = 2; goto onResolve
        :: links[3].toAgent ? resolve, id, meantFor, argument -> link = 3; goto onResolve
        :: links[1].toAgent ? settle, id, meantFor, argument -> goto onSettle
        :: links[2].toAgent ? settle, id, meantFor, argument -> goto onSettle
        :: links[3].toAgent ? settle, id, meantFor, argument -> goto onSettle
        /* The upstream runs the request. */
        :: entry[0] == running && sent[0] == 0 -> id = 0; goto execute
        :: entry[1] == running && sent[1] == 0 -> id = 1; goto execute
        /* An answer is sent in chunks, over the link that its id is attached to. */
        :: entry[0] == done && sent[0] <= CHUNKS && nfull(links[attached[0]].toRouter) -> id = 0; goto answer
        :: entry[1] == done && sent[1] <= CHUNKS && nfull(links[attached[1]].toRouter) -> id = 1; goto answer
        :: restarts < RESTARTS -> goto restart
        fi
    }

onDispatch:
    atomic {
        if
#ifndef NO_INCARNATION
        :: meantFor != incarnation -> links[link].toRouter ! refusedNotRun, id, 0
#endif
#ifdef NO_INCARNATION
        :: true ->
#else
        :: meantFor == incarnation ->
#endif
            raiseFloor(argument);
            if
#ifdef NO_FLOOR
            :: false
#else
            :: id < floor -> links[link].toRouter ! refusedNotRun, id, 0
#endif
#ifdef NO_FLOOR
            :: entry[id] == unseen -> start(id)
#else
            :: id >= floor && entry[id] == unseen -> start(id)
#endif
            :: entry[id] == fencedEntry -> links[link].toRouter ! refusedNotRun, id, 0
            :: entry[id] == running || entry[id] == done -> skip
            fi
        fi
    }
    goto loop;

onResolve:
    atomic {
        if
#ifndef NO_INCARNATION
        :: meantFor != incarnation -> links[link].toRouter ! refusedUnknown, id, 0
        :: meantFor == incarnation && id < floor -> links[link].toRouter ! refusedUnknown, id, 0
        :: meantFor == incarnation && id >= floor ->
#else
        :: true ->
#endif
            if
            :: entry[id] == unseen ->
#ifndef NO_FENCE
                entry[id] = fencedEntry;
#endif
                links[link].toRouter ! fenced, id, 0
            :: entry[id] == fencedEntry -> links[link].toRouter ! fenced, id, 0
            :: entry[id] == running -> attached[id] = link
            :: entry[id] == done -> attached[id] = link;
#ifdef NO_OFFSET
                sent[id] = 0
#else
                sent[id] = argument
#endif
            fi
        fi
    }
    goto loop;

onSettle:
    atomic {
        if
        :: meantFor == incarnation -> raiseFloor(argument)
        :: else
        fi
    }
    goto loop;

execute:
    atomic {
        executed++;
        assert(executed <= 1);
        assert(outcome != notRun)
    }
    /* `complete`, or a crash before it */
    if
    :: entry[id] = done
    :: atomic { restarts < RESTARTS -> goto restart }
    fi;
    goto loop;

answer:
    atomic {
        if
        :: full(links[attached[id]].toRouter) -> skip
        :: nfull(links[attached[id]].toRouter) && sent[id] < CHUNKS -> links[attached[id]].toRouter ! chunk, id, sent[id]; sent[id]++
        :: nfull(links[attached[id]].toRouter) && sent[id] == CHUNKS -> links[attached[id]].toRouter ! end, id, CHUNKS; sent[id]++
        fi
    }
    goto loop;

restart:
    skip;
    /* The restarted agent has an empty ledger and a new incarnation. Frames addressed to the former incarnation may
     * still be in transit. */
    d_step {
        restarts++; incarnation++; floor = 0;
        entry[0] = unseen; entry[1] = unseen;
        sent[0] = 0; sent[1] = 0; attached[0] = 0; attached[1] = 0
    }
    goto loop
}

active proctype router()
{
    byte id = 0;
    byte knows;
    byte received = 0;
    byte offset = 0;

    /* The HelloAck of a link states the incarnation of the agent that it reached. */
    knows = incarnation;
    links[0].toAgent ! dispatch, id, knows, 0;

await:
end_await:
    atomic {
        offset = 0;
        if
        :: links[routerLink].toRouter ? chunk, eval(id), offset ->
#ifdef NO_OFFSET
            assert(offset == received);
#else
            if
            :: offset != received -> goto await
            :: else
            fi;
#endif
            received++;
            goto await
        :: links[routerLink].toRouter ? end, eval(id), offset -> goto ended
        :: links[routerLink].toRouter ? fenced, eval(id), _ -> goto wasNotRun
        :: links[routerLink].toRouter ? refusedNotRun, eval(id), _ -> goto wasNotRun
        :: links[routerLink].toRouter ? refusedUnknown, eval(id), _ -> goto isUnknown
        /* Frames of the earlier id are ignored. */
        :: links[routerLink].toRouter ? chunk, eval(1 - id), _ -> goto await
        :: links[routerLink].toRouter ? end, eval(1 - id), _ -> goto await
        :: links[routerLink].toRouter ? refusedNotRun, eval(1 - id), _ -> goto await
        :: links[routerLink].toRouter ? fenced, eval(1 - id), _ -> goto await
        :: routerLink + 1 < LINKS -> goto silent
        :: routerLink + 1 == LINKS -> goto isUnknown /* the deadline passes */
        fi
    }

silent:
#ifdef CLOSE_IS_END
    if
    :: received > 0 -> goto wholeAnswer
    :: else
    fi;
#endif
    routerLink++;
#ifdef BLIND_RETRY
    if
    :: id == 0 -> id = 1; received = 0; knows = incarnation; links[routerLink].toAgent ! dispatch, id, knows, 0; goto await
    :: else -> goto isUnknown
    fi;
#endif
#ifndef NO_INCARNATION
    if
    :: knows != incarnation -> goto isUnknown
    :: else
    fi;
#endif
    links[routerLink].toAgent ! resolve, id, knows, received;
    goto await;

wasNotRun:
    if
    :: received > 0 -> goto isUnknown
    :: else
    fi;
    /* Whichever frame reported "not run": the id is settled, so that the agent may drop its entry. Then the request is
     * dispatched once more under a new id, or the caller receives the refusal. */
    if
    :: routerLink > 0 && id == 0 -> links[routerLink].toAgent ! settle, 0, knows, 1
    :: else
    fi;
    if
    :: id == 0 -> id = 1; knows = incarnation; links[routerLink].toAgent ! dispatch, id, knows, 1; goto await
    :: true ->
        atomic {
            outcome = notRun;
            assert(executed == 0)
        }
    fi;
    goto over;

ended:
    if
    :: received == offset -> goto wholeAnswer
    :: else -> goto isUnknown
    fi;

wholeAnswer:
    atomic {
        outcome = whole;
        assert(received == CHUNKS && executed == 1)
    }
    goto over;

isUnknown:
#ifdef RETRY_UNKNOWN
    if
    :: id == 0 && routerLink + 1 < LINKS ->
        id = 1; received = 0; routerLink++; knows = incarnation; links[routerLink].toAgent ! dispatch, id, knows, 1; goto await
    :: else
    fi;
#endif
    outcome = unknown;

over:
    skip
}
