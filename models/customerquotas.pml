/* Models the quota of a customer over all routers (QuotaKeeper, src/quotas/internal/quotakeeper.cpp; RouterStandings,
 * src/quotas/internal/routerstandings.cpp; QuotaExchange, src/quotas/internal/quotaexchange.cpp).
 *
 * Property: in each period, all keepers and routers together grant at most the quota, and one router's part for each
 * time that a router changed its keeper in this period or the one before.
 *
 * The quota is one unit a period for each router. A router asks the first keeper that it has a link to, or grants its
 * own part if it has none. A keeper grants one unit a period for each router that it counts. Faults: links are lost, in
 * which case the keeper counts the router until it notices its silence, at most until the end of the next period; links
 * come back; a keeper restarts and knows nothing.
 *
 * Variants that are broken on purpose:
 *   WHOLE_QUOTA     each keeper grants the whole quota
 *   FULL_ON_RETURN  a keeper that routers return to has a full bucket
 *   NO_SILENCE      a keeper never notices that a router is silent
 *   NOT_TOLD        a router that returns to its first keeper doesn't tell the second one
 *   FORGETS_CUT     keepers divide the quota among the routers that they hear
 *   ALONE_WHOLE     a router without keepers grants the whole quota */

#define ROUTERS 3
#define KEEPERS 2
#define ALONE 2
#ifndef PERIODS
#define PERIODS 4
#endif
#ifndef FAULTS
#define FAULTS 3
#endif

#define at(k, r) ((k) * ROUTERS + (r))

byte period = 0;
byte faults = 0;
byte granted = 0;
byte moves = 0;
byte movesBefore = 0;
byte uses[ROUTERS];
bool isLost[KEEPERS * ROUTERS];
/* What a keeper believes: 0 doesn't count the router, 1 counts it, 2 counts it and it is silent, 3 the same since the
 * period before. */
byte counts[KEEPERS * ROUTERS];
byte level[KEEPERS];
byte ownLevel[ROUTERS];

/* One keeper's units a period. */
inline allowance(k, result)
{
#ifdef WHOLE_QUOTA
    result = ROUTERS;
#else
    result = (counts[at(k, 0)] > 0) + (counts[at(k, 1)] > 0) + (counts[at(k, 2)] > 0);
#ifdef FORGETS_CUT
    if
    :: result > 0 -> result = ROUTERS
    :: else
    fi
#endif
#endif
}

inline lowerLevel(k)
{
    allowance(k, units);
    if
    :: level[k] > units -> level[k] = units
    :: else
    fi
}

inline leave(k, r)
{
    if
    :: counts[at(k, r)] == 0
    :: counts[at(k, r)] > 0 && isLost[at(k, r)] ->
        if
        :: counts[at(k, r)] == 1 -> counts[at(k, r)] = 2
        :: else
        fi
    :: counts[at(k, r)] > 0 && !isLost[at(k, r)] ->
#ifndef NOT_TOLD
        counts[at(k, r)] = 0;
        lowerLevel(k)
#else
        skip
#endif
    fi
}

inline join(k, r)
{
    if
    :: counts[at(k, r)] > 0 -> counts[at(k, r)] = 1
    :: else ->
        counts[at(k, r)] = 1;
#ifdef FULL_ON_RETURN
        level[k] = ROUTERS
#else
        level[k]++
#endif
    fi
}

/* The router chooses among the keepers that it has links to. */
inline choose(r)
{
    if
    :: !isLost[at(0, r)] -> chosen = 0
    :: isLost[at(0, r)] && !isLost[at(1, r)] -> chosen = 1
    :: else -> chosen = ALONE
    fi;
    if
    :: chosen == uses[r]
    :: else ->
        moves++;
        if
        :: uses[r] != ALONE -> leave(uses[r], r)
        :: else
        fi;
        uses[r] = chosen;
        ownLevel[r] = 0;
        if
        :: chosen != ALONE -> join(chosen, r)
        :: else
        fi
    fi;
    chosen = 0;
    units = 0
}

inline grant()
{
    granted++;
    assert(granted <= ROUTERS + moves + movesBefore)
}

proctype Router(byte me)
{
    byte chosen = 0;
    byte units = 0;
    do
    :: period >= PERIODS -> break
    :: atomic { uses[me] != ALONE && level[uses[me]] > 0 -> level[uses[me]]--; grant() }
    :: atomic { uses[me] == ALONE && ownLevel[me] > 0 -> ownLevel[me]--; grant() }
    :: atomic { faults < FAULTS && !isLost[at(0, me)] -> faults++; isLost[at(0, me)] = true; choose(me) }
    :: atomic { faults < FAULTS && !isLost[at(1, me)] -> faults++; isLost[at(1, me)] = true; choose(me) }
    :: atomic { isLost[at(0, me)] -> isLost[at(0, me)] = false; choose(me) }
    :: atomic { isLost[at(1, me)] -> isLost[at(1, me)] = false; choose(me) }
    od
}

inline restart(k)
{
    byte r = 0;
    for (r : 0 .. ROUTERS - 1) {
        counts[at(k, r)] = 0;
        if
        /* The closed link makes the router ask again, as if it had moved. */
        :: uses[r] == k -> moves++; counts[at(k, r)] = 1
        :: else
        fi
    }
    level[k] = 0;
    r = 0
}

inline notice(k, r)
{
    if
    :: counts[at(k, r)] == 3 && !(uses[r] == k) -> counts[at(k, r)] = 0
    :: counts[at(k, r)] == 2 -> counts[at(k, r)] = 3
    :: else
    fi
}

inline refill(k)
{
#ifndef NO_SILENCE
    notice(k, 0);
    notice(k, 1);
    notice(k, 2);
#endif
    allowance(k, units);
    level[k] = units
}

inline refillAlone(r)
{
    if
#ifdef ALONE_WHOLE
    :: uses[r] == ALONE -> ownLevel[r] = ROUTERS
#else
    :: uses[r] == ALONE -> ownLevel[r] = 1
#endif
    :: else
    fi
}

proctype Clock()
{
    byte units = 0;
    do
    :: period < PERIODS -> atomic {
        period++;
        movesBefore = moves;
        moves = 0;
        granted = 0;
        refill(0);
        refill(1);
        refillAlone(0);
        refillAlone(1);
        refillAlone(2);
        units = 0
    }
    :: atomic { period < PERIODS && faults < FAULTS -> faults++; restart(0) }
    :: period >= PERIODS -> break
    od
}

init {
    byte r = 0;
    atomic {
        for (r : 0 .. ROUTERS - 1) { counts[at(0, r)] = 1 }
        level[0] = ROUTERS;
        run Router(0); run Router(1); run Router(2); run Clock()
    }
}
