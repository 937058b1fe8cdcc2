/* Models a resumable stream whose caller takes it up at a second router (RequestJob, src/forwarding/internal/requestjob.cpp;
 * OriginExchange, src/streams/internal/originexchange.cpp; OriginKeeper, src/streams/internal/originkeeper.cpp).
 *
 * Property: the caller receives events of one software version only.
 *
 * Servers of two versions serve. The first router sends the attempt to one of them and tells two keepers. Faults: the
 * server breaks off before or after an event; the first router dies; messages to a keeper are lost from some moment on;
 * a keeper restarts and knows nothing. The caller then takes the stream up at the second router, which has just started
 * and knows nothing but what one of the keepers that it can reach answers, and which servers are listed: those of the
 * stream's version may have left.
 *
 * Variants that are broken on purpose:
 *   ANY_SERVER        after an event, the first router retries at any server
 *   NO_RETRACTION     before an event, the first router moves to the other version without retracting its record
 *   ONE_CONFIRMATION  it moves as soon as one keeper has confirmed the retraction
 *   GUESS             the second router takes an unknown stream for one of the first version
 *   ONLY_VERSION      the second router takes an unknown stream for one of the version of all listed servers
 *   OLDER_WINS        a keeper keeps the record that arrives last, not that of the last dispatch */

#define KEEPERS 2

/* What the first router sends to a keeper: dispatch number and version; version 0 retracts. */
chan toKeeper0 = [3] of { byte, byte };
chan toKeeper1 = [3] of { byte, byte };

/* A keeper's record; 0 if it has none. */
byte keptDispatch[KEEPERS];
byte keptVersion[KEEPERS];
/* The last dispatch that the keeper has processed, as its answer to the first router says. */
byte confirmed[KEEPERS];
/* Whether the first router has told the keeper a version, and whether it can still reach it. */
bool isTold[KEEPERS];
bool isCut[KEEPERS];

/* The version of the events that the caller has; 0 if it has none. */
byte received = 0;
bool isFirstRouterOver = false;
/* Whether servers of the version are listed; versions count from 1. */
bool isListed[3] = true;

inline deliverEvent(version)
{
    assert(received == 0 || received == version);
    received = version
}

inline tell(dispatch, version)
{
    if
    :: !isCut[0] && nfull(toKeeper0) -> toKeeper0 ! dispatch, version; isTold[0] = isTold[0] || version != 0
    :: isCut[0] -> skip
    fi;
    if
    :: !isCut[1] && nfull(toKeeper1) -> toKeeper1 ! dispatch, version; isTold[1] = isTold[1] || version != 0
    :: isCut[1] -> skip
    fi
}

inline keep(me, dispatch, version)
{
    if
#ifdef OLDER_WINS
    :: true ->
#else
    :: dispatch > keptDispatch[me] ->
#endif
        keptDispatch[me] = dispatch;
        keptVersion[me] = version
#ifndef OLDER_WINS
    :: else -> skip
#endif
    fi;
    confirmed[me] = keptDispatch[me]
}

proctype keeper(byte me; chan in)
{
    byte dispatch;
    byte version;
    byte delayedDispatch = 0;
    byte delayedVersion;
    bool hasRestarted = false;
    do
    :: atomic { in ? dispatch, version -> keep(me, dispatch, version) }
    /* A record is delayed on a former link and may arrive after later ones. */
    :: atomic { delayedDispatch == 0 && nempty(in) -> in ? delayedDispatch, delayedVersion }
    :: atomic { delayedDispatch != 0 ->
        dispatch = delayedDispatch;
        delayedDispatch = 0;
        keep(me, dispatch, delayedVersion) }
    :: atomic { !hasRestarted ->
        hasRestarted = true;
        delayedDispatch = 0;
        keptDispatch[me] = 0;
        keptVersion[me] = 0 }
    :: timeout -> break
    od
}

/* The link to a keeper breaks, and what is under way is lost. */
proctype cuts()
{
    byte dispatch;
    byte version;
    if
    :: atomic { isCut[0] = true; do :: toKeeper0 ? dispatch, version :: empty(toKeeper0) -> break od }
    :: skip
    fi;
    if
    :: atomic { isCut[1] = true; do :: toKeeper1 ? dispatch, version :: empty(toKeeper1) -> break od }
    :: skip
    fi
}

/* Whether a keeper can't have a version any more: it was told none, or has confirmed this dispatch. */
#define isRetracted(me, number) (!isTold[me] || confirmed[me] >= number)

proctype firstRouter()
{
    byte version;
    byte other;
    byte dispatch = 1;
    bool hasMoved = false;
    if
    :: version = 1
    :: version = 2
    fi;
    tell(dispatch, version);
    do
    /* The server sends an event. */
    :: deliverEvent(version)
    /* The server breaks off; the router retries at a server of the same version, or goes on below. */
    :: received == 0 && !hasMoved ->
        hasMoved = true;
        other = 3 - version;
#ifndef NO_RETRACTION
        dispatch++;
        tell(dispatch, 0);
        if
#ifdef ONE_CONFIRMATION
        :: isRetracted(0, dispatch) || isRetracted(1, dispatch) ->
#else
        :: isRetracted(0, dispatch) && isRetracted(1, dispatch) ->
#endif
            isTold[0] = false;
            isTold[1] = false;
            dispatch++;
            version = other;
            tell(dispatch, version)
        /* No confirmation in time: only servers of the same version remain. */
        :: true -> skip
        fi
#else
        dispatch++;
        version = other;
        tell(dispatch, version)
#endif
#ifdef ANY_SERVER
    :: received != 0 && !hasMoved -> hasMoved = true; version = 3 - version
#endif
    :: true -> break
    od;
    isFirstRouterOver = true
}

/* All servers of a version leave. */
proctype release()
{
    if
    :: isListed[1] = false
    :: isListed[2] = false
    :: skip
    fi
}

proctype secondRouter()
{
    byte known = 0;
    isFirstRouterOver && received != 0;
    if
    :: known = keptVersion[0]
    :: known = keptVersion[1]
    fi;
#ifdef GUESS
    if
    :: known == 0 -> known = 1
    :: else -> skip
    fi;
#endif
#ifdef ONLY_VERSION
    if
    :: known == 0 && isListed[1] && !isListed[2] -> known = 1
    :: known == 0 && isListed[2] && !isListed[1] -> known = 2
    :: else -> skip
    fi;
#endif
    if
    :: known != 0 && isListed[known] -> deliverEvent(known)
    :: else -> skip
    fi
}

init {
    atomic {
        run keeper(0, toKeeper0);
        run keeper(1, toKeeper1);
        run cuts();
        run firstRouter();
        run release();
        run secondRouter()
    }
}
