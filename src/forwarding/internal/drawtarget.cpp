#include "forwarding/internal/drawtarget.h"

#include "framework/randomid.h"

namespace lagoon::forwarding {

const catalog::RouteTarget& drawTarget(const catalog::Route& route)
{
    double all = 0;
    for (const catalog::RouteTarget& target : route.targets)
        all += target.weight;
    double drawn = framework::randomFraction() * all;
    for (const catalog::RouteTarget& target : route.targets) {
        drawn -= target.weight;
        if (drawn < 0)
            return target;
    }
    return route.targets.back();
}

} // namespace lagoon::forwarding
