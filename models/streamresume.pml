/* A stream that goes on at another server (src/forwarding/internal/requestjob.cpp, eventsplitter.cpp). Held: the caller
 * gets each event once and in order, no part of one, nothing of a server that was given up, and an end only behind the
 * last.
 *
 * A server may stop anywhere, also within an event, or begin at a later event than it was asked for; what it has sent may
 * arrive after the router has turned to another server. One that says "end" behind the last event that it has, though
 * there are more, can't be told from one that is done: left out.
 * Broken on purpose: HALF_EVENTS, NO_ORDER, OLD_CONNECTION, CLOSE_IS_END. */

#define EVENTS 3
#define SERVERS 2

mtype = { begun, whole, lastChunk, closed };

/* What a server sends: part of an event and its number. One connection a server. */
chan wire0 = [2] of { mtype, byte };
chan wire1 = [2] of { mtype, byte };
/* Behind which event a server is asked to go on; 9 is not yet. */
byte askedAfter[SERVERS];

byte delivered = 0;
bool hasHalf = false;

inline deliver(event)
{
    assert(event == delivered + 1);
    delivered = event
}

proctype server(byte me; chan out)
{
    byte event;
    askedAfter[me] != 9;
    event = askedAfter[me];
    /* One that counts wrongly begins an event too far. */
    if
    :: me == 1 && event + 1 < EVENTS -> event++
    :: skip
    fi;
    do
    :: event < EVENTS ->
        event++;
        out ! begun, event;
        if
        :: out ! whole, event
        :: out ! closed, 0; break
        fi
    :: event >= EVENTS -> out ! lastChunk, 0; break
    :: out ! closed, 0; break
    od
}

proctype router()
{
    mtype part;
    byte event;
    byte current = 0;
    byte from;
    bool isOver = false;
    askedAfter[0] = 0;
    do
    :: isOver -> break
    :: !isOver && (current == 0) ->
        wire0 ? part, event;
        from = 0;
        goto took
    :: !isOver && (current == 1) ->
        wire1 ? part, event;
        from = 1;
        goto took
    /* Given up without a word from it, such as for events out of order: its connection is closed first. */
    :: !isOver && current == 0 && !hasHalf ->
        current = 1;
        askedAfter[1] = delivered;
        goto next
#ifdef OLD_CONNECTION
    :: !isOver && (current == 1) ->
        wire0 ? part, event;
        from = 0;
        goto took
#endif
took:
        if
        :: part == begun ->
#ifdef HALF_EVENTS
            hasHalf = true
#else
            skip
#endif
        :: part == whole ->
#ifndef NO_ORDER
            if
            :: event != delivered + 1 -> isOver = true
            :: else ->
#endif
                hasHalf = false;
                assert(from == current);
                deliver(event)
#ifndef NO_ORDER
            fi
#endif
        :: part == lastChunk ->
            assert(!hasHalf && delivered == EVENTS);
            isOver = true
        :: part == closed ->
#ifdef CLOSE_IS_END
            assert(!hasHalf && delivered == EVENTS);
            isOver = true
#else
            if
            :: current == 0 ->
                assert(!hasHalf);
                current = 1;
                askedAfter[1] = delivered
            :: else -> isOver = true
            fi
#endif
        fi;
next:
        skip
    od
}

init {
    atomic {
        askedAfter[0] = 9;
        askedAfter[1] = 9;
        run server(0, wire0);
        run server(1, wire1);
        run router()
    }
}
