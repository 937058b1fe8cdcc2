#include "router/internal/vmdirectory.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::router;
using framework::VmName;
using objectstore::VmRole;
using objectstore::VmState;

namespace {

const framework::SiteName site("old");
const framework::PoolName pool("engines");

objectstore::VmEntry entry(const std::string& vm, VmRole role, VmState state)
{
    objectstore::VmEntry entry;
    entry.vm = VmName(vm);
    entry.role = role;
    entry.state = state;
    entry.site = site;
    if (role == VmRole::Upstream)
        entry.pool = pool;
    return entry;
}

VmDirectory directoryOf(const objectstore::VmEntries& entries)
{
    VmDirectory directory;
    directory.setEntries(entries);
    return directory;
}

} // namespace

BOOST_AUTO_TEST_SUITE(VmDirectories)

// A VM that is about to be reclaimed, and one whose agent reports that it drains while the list still shows it as live,
// must get no work.
BOOST_AUTO_TEST_CASE(leavingAndDrainingUpstreamsGetNoWork)
{
    VmDirectory directory
        = directoryOf({ entry("a", VmRole::Upstream, VmState::Live), entry("b", VmRole::Upstream, VmState::Leaving),
            entry("c", VmRole::Upstream, VmState::Gone), entry("d", VmRole::Upstream, VmState::Live) });
    directory.setDraining(VmName("d"));
    BOOST_CHECK(directory.upstreams({ pool }, site) == std::vector<VmName> { VmName("a") });
    BOOST_TEST(directory.isGone(VmName("c")));
    directory.clearDraining(VmName("d"));
    BOOST_TEST(directory.upstreams({ pool }, site).size() == 2u);
}

// Prevents overload of the weight store: 370 homes with a minimum of one slot each would start 370 loads at a store
// with four slots. Only as many routers as there are slots are homes, and all routers select the same ones.
BOOST_AUTO_TEST_CASE(homesAreLimitedAndTheSameOnAllRouters)
{
    objectstore::VmEntries entries;
    for (int number = 0; number < 370; ++number)
        entries.push_back(entry("entry-" + std::to_string(number), VmRole::Router, VmState::Live));
    const auto homes = directoryOf(entries).homes(site, 4);
    BOOST_TEST(homes.size() == 4u);
    std::reverse(entries.begin(), entries.end());
    BOOST_CHECK(directoryOf(entries).homes(site, 4) == homes);
    BOOST_TEST(directoryOf(entries).homes(framework::SiteName("new"), 4).empty());
}

BOOST_AUTO_TEST_SUITE_END()
