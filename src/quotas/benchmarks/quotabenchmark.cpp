#include "quotas/quotakeeper.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>
#include <vector>

using namespace lagoon;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;
using framework::VmName;

namespace {

class BenchmarkClock final : public framework::IClock {
public:
    SteadyTime now() const override { return now_; }
    void advance(Milliseconds time) { now_ += time; }

private:
    SteadyTime now_ { std::chrono::hours(1) };
};

quotas::QuotaDraw drawOf(std::size_t customer)
{
    quotas::QuotaDraw draw;
    draw.customer = catalog::CustomerName("customer-" + std::to_string(customer));
    draw.quota.perSecond = 30000;
    draw.quota.burst = 30000;
    draw.version = catalog::ConfigurationVersion(7);
    draw.cost = 9190;
    return draw;
}

std::vector<Endpoint> endpoints(std::size_t count)
{
    std::vector<Endpoint> all;
    for (std::size_t index = 0; index < count; ++index)
        all.emplace_back("10.1.2." + std::to_string(index) + ":9001");
    return all;
}

quotas::QuotaUpdate statement(std::size_t router, const std::vector<Endpoint>& usable, std::uint32_t routers)
{
    quotas::QuotaUpdate update;
    update.standing = quotas::RouterStanding { VmName("router-" + std::to_string(router)),
        usable.empty() ? Endpoint() : usable.front(), usable, false, routers, {}, Milliseconds(0) };
    update.tolerance = 110000;
    return update;
}

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

double heapKiB() { return static_cast<double>(mallinfo2().uordblks) / 1024; }

/// A keeper of this many customers' quotas before this many routers, one draw a message.
void measureKeeper(std::uint32_t routers, std::size_t keepers, std::size_t customers)
{
    constexpr std::size_t draws = 100000;
    BenchmarkClock clock;
    framework::Metrics metrics;
    quotas::QuotaKeeper keeper({ clock, metrics });
    const std::vector<Endpoint> usable = endpoints(keepers);
    for (std::uint32_t router = 0; router < routers; ++router) {
        const wire::Message message = quotas::toWire(statement(router, usable, routers));
        (void)keeper.receive(VmName("router-" + std::to_string(router)), *message.body.AsCustomerQuotas());
    }
    const double heapBefore = heapKiB();
    std::vector<wire::Message> asked;
    for (std::size_t customer = 0; customer < customers; ++customer) {
        quotas::QuotaUpdate update;
        update.asked.push_back({ quotas::DrawNumber(customer), drawOf(customer) });
        asked.push_back(quotas::toWire(update));
    }
    const double heapOfMessages = heapKiB() - heapBefore;
    const double begin = processorSeconds();
    for (std::size_t draw = 0; draw < draws; ++draw)
        (void)keeper.receive(VmName("router-0"), *asked[draw % customers].body.AsCustomerQuotas());
    const double perDraw = (processorSeconds() - begin) / draws;
    const double heap = heapKiB() - heapBefore - heapOfMessages;
    const double beginChange = processorSeconds();
    keeper.didClose(VmName("router-0"));
    const double change = processorSeconds() - beginChange;
    std::printf("%4u routers %3zu keepers %6zu customers: %6.2f us a draw, %7.1f KiB heap (%5.0f bytes a customer), "
                "%7.2f ms a change of routers\n",
        routers, keepers, customers, perDraw * 1e6, heap, heap * 1024 / static_cast<double>(customers), change * 1e3);
}

std::size_t sizeOf(const quotas::QuotaUpdate& update) { return wire::encode(quotas::toWire(update)).size(); }

void printSizes()
{
    const std::vector<Endpoint> usable = endpoints(24);
    quotas::QuotaUpdate asked;
    asked.asked.push_back({ quotas::DrawNumber(123456), drawOf(1234) });
    quotas::QuotaUpdate answered;
    answered.answered.push_back({ quotas::DrawNumber(123456), true });
    answered.routers = 370;
    quotas::QuotaUpdate unchanged = statement(1, {}, 370);
    unchanged.standing->keeper = usable.front();
    unchanged.standing->isUnchanged = true;
    quotas::QuotaUpdate confirmed;
    confirmed.routers = 370;
    std::printf(
        "bytes: a draw %zu, its answer %zu, a standing with 24 keepers %zu, an unchanged one %zu, its answer %zu\n",
        sizeOf(asked), sizeOf(answered), sizeOf(statement(1, usable, 370)), sizeOf(unchanged), sizeOf(confirmed));
}

} // namespace

int main()
{
    printSizes();
    measureKeeper(6, 3, 16);
    measureKeeper(370, 24, 420);
    measureKeeper(370, 24, 10000);
    return 0;
}
