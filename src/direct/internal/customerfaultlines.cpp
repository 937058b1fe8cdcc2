#include "direct/internal/customerfaultlines.h"

#include "direct/internal/shortened.h"

namespace lagoon::direct {

namespace {

using catalog::CustomerFault;
using framework::LogLine;

const char* causeText(CustomerFault::Kind kind)
{
    switch (kind) {
    case CustomerFault::Kind::Unreadable:
        return "entry without a name that can be sent";
    case CustomerFault::Kind::UnreadableKeys:
        return "keys that aren't texts";
    case CustomerFault::Kind::KeyOfAnother:
        return "key of another customer";
    }
    return "";
}

} // namespace

std::vector<LogLine> customerFaultLines(const catalog::Configuration& configuration)
{
    std::vector<LogLine> lines;
    if (!configuration.customers)
        return lines;
    for (const CustomerFault& fault : configuration.customers->faults()) {
        LogLine& line = lines.emplace_back("customer_fault");
        line.number("configuration", configuration.version.value())
            .number("position", fault.position)
            .text("customer", shortened(fault.name.value()))
            .text("cause", causeText(fault.kind));
        if (fault.kind == CustomerFault::Kind::KeyOfAnother)
            line.text("holder", shortened(fault.holder.value()));
    }
    const std::size_t unlisted = configuration.customers->allFaults() - lines.size();
    if (unlisted > 0)
        lines.emplace_back("customer_faults_unlisted")
            .number("configuration", configuration.version.value())
            .number("count", unlisted);
    return lines;
}

} // namespace lagoon::direct
