/* Models the permits for a server that limits its requests (PermitKeeper, src/ratelimits/internal/permitkeeper.cpp;
 * PermitExchange, src/ratelimits/internal/permitexchange.cpp).
 *
 * Property: in each period all routers together send the server at most the permits of that period, those that were still
 * on their way when it began, and the routers' own shares.
 *
 * A keeper grants PERMITS permits a period to routers that ask. Faults: the keeper restarts and knows nothing of what it
 * granted; a link to it is lost, and the router grants itself what its own share allows. The clock is a period number;
 * a permit is valid in the period in which it was granted and in the next.
 *
 * Variants that are broken on purpose:
 *   EACH_ROUTER     each router grants itself the whole limit
 *   FULL_AT_START   a keeper begins with the permits of a period, whatever its predecessor granted
 *   NO_LAPSE        permits don't lapse, so that they add up on their way
 *   SHARE_ADDS_UP   a router's own share adds up while it is in touch with the keeper */

#define ROUTERS 2
#define PERMITS 1
#define PERIODS 4
/* Own shares allow all routers together one request, in the whole run. */
#define SHARES 1

byte period = 0;
byte available = PERMITS;
/* Whether a router holds a permit, and the period in which it was granted. */
byte held[ROUTERS];
byte grantedIn[ROUTERS];
byte sent = 0;
byte restarts = 0;
bool isCut[ROUTERS];
byte ownShares = SHARES;
byte ownUsed[ROUTERS];

#define allowed (2 * PERMITS + SHARES)

inline send()
{
    sent++;
    assert(sent <= allowed)
}

proctype Router(byte me)
{
    do
    :: period >= PERIODS -> break
    /* The keeper decides and answers at once; the answer may be on its way for long. */
    :: atomic { !isCut[me] && available > 0 && held[me] == 0 -> available--; held[me] = 1; grantedIn[me] = period }
#ifdef NO_LAPSE
    :: atomic { held[me] > 0 -> held[me] = 0; send() }
#else
    :: atomic { held[me] > 0 && period <= grantedIn[me] + 1 -> held[me] = 0; send() }
    :: atomic { held[me] > 0 && period > grantedIn[me] + 1 -> held[me] = 0 }
#endif
#ifdef EACH_ROUTER
    :: atomic { ownUsed[me] < PERMITS -> ownUsed[me]++; send() }
#endif
    :: atomic { !isCut[me] -> isCut[me] = true }
    :: atomic { isCut[me] -> isCut[me] = false }
#ifdef SHARE_ADDS_UP
    :: atomic { isCut[me] && ownUsed[me] <= period -> ownUsed[me]++; send() }
#else
    :: atomic { isCut[me] && ownShares > 0 -> ownShares--; send() }
#endif
    od
}

proctype Clock()
{
    do
    :: period < PERIODS -> atomic {
        period++;
        sent = 0;
        available = PERMITS;
#ifdef EACH_ROUTER
        ownUsed[0] = 0;
        ownUsed[1] = 0
#endif
    }
    :: period < PERIODS && restarts < 2 -> atomic {
        restarts++;
#ifdef FULL_AT_START
        available = PERMITS
#else
        available = 0
#endif
    }
    :: period >= PERIODS -> break
    od
}

init {
    atomic { run Router(0); run Router(1); run Clock() }
}
