#include "policy/rendezvous.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace lagoon::policy;
using lagoon::framework::VmName;

namespace {

std::vector<VmName> vms(int count)
{
    std::vector<VmName> names;
    for (int index = 0; index < count; ++index)
        names.emplace_back("vm-" + std::to_string(index));
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rendezvous)

BOOST_AUTO_TEST_CASE(theOrderDoesNotDependOnTheOrderOfTheList)
{
    std::vector<VmName> reversed = vms(9);
    std::reverse(reversed.begin(), reversed.end());
    BOOST_CHECK(rendezvousOrder("drafts", vms(9)) == rendezvousOrder("drafts", reversed));
}

BOOST_AUTO_TEST_CASE(aLostVmMovesOnlyItsOwnKeys)
{
    for (int key = 0; key < 200; ++key) {
        const auto before = rendezvousOrder(std::to_string(key), vms(9));
        const auto after = rendezvousOrder(std::to_string(key), vms(8));
        if (before.front() != VmName("vm-8"))
            BOOST_CHECK(before.front() == after.front());
    }
}

BOOST_AUTO_TEST_CASE(keysSpreadEvenly)
{
    std::map<VmName, int> firsts;
    for (int key = 0; key < 9000; ++key)
        ++firsts[rendezvousOrder("model-" + std::to_string(key), vms(9)).front()];
    for (const auto& [vm, count] : firsts)
        BOOST_TEST((count > 850 && count < 1150), vm << " is first for " << count << " of 9000");
}

BOOST_AUTO_TEST_SUITE_END()
