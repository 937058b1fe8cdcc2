/* Models a stream that a direct router resumes at a second server (RequestJob,
 * src/forwarding/internal/requestjob.cpp; EventSplitter, src/forwarding/internal/eventsplitter.cpp).
 *
 * Properties: the caller receives each event once, in order and whole, and nothing from a server that the router has
 * given up. The stream ends only after the last event.
 *
 * Faults: a server may stop anywhere, also within an event, or resume at a later event than requested. What it has sent
 * may arrive after the router has switched to the other server. Not modelled: a server that ends the stream normally
 * after the last event that it has, although there are more, because the router can't distinguish it from a server that
 * is done.
 *
 * Variants that are broken on purpose:
 *   HALF_EVENTS     the router forwards parts of events
 *   NO_ORDER        the router doesn't check the ids of events
 *   OLD_CONNECTION  the router still reads the first server's connection after it has switched to the second server
 *   CLOSE_IS_END    the router takes a closed connection for the end of the stream */

#define EVENTS 3
#define SERVERS 2

mtype = { begun, whole, lastChunk, closed };

/* What a server sends: a part of an event and the number of the event. There is one connection per server. */
chan wire0 = [2] of { mtype, byte };
chan wire1 = [2] of { mtype, byte };
/* The event after which a server is asked to resume; 9 if it hasn't been asked yet. */
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
    /* A faulty second server may skip an event. */
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
    /* The router gives the first server up on its own, for example because its events are out of order, and closes its
     * connection first. */
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
