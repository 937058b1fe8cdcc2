#include "framework/internal/processmetrics.h"

#include "framework/eventloop.h"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace lagoon::framework {

namespace {

prometheus::MetricFamily counter(const std::string& name, double value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = value;
    return { name, {}, prometheus::MetricType::Counter, { metric } };
}

prometheus::MetricFamily gauge(const std::string& name, double value)
{
    prometheus::ClientMetric metric;
    metric.gauge.value = value;
    return { name, {}, prometheus::MetricType::Gauge, { metric } };
}

/// Infinity if there is no limit.
double limitOf(int resource)
{
    rlimit limit {};
    if (getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<double>::infinity();
    return static_cast<double>(limit.rlim_cur);
}

/// The number of entries of a folder of this process in `/proc`.
double entries(const char* folder)
{
    std::error_code error;
    std::filesystem::directory_iterator entry(folder, error);
    return error ? 0 : static_cast<double>(std::distance(entry, std::filesystem::directory_iterator()));
}

struct Memory {
    double reservedBytes = 0;
    double residentBytes = 0;
};

Memory usedMemory()
{
    Memory memory;
    std::ifstream pages("/proc/self/statm");
    pages >> memory.reservedBytes >> memory.residentBytes;
    const auto pageBytes = static_cast<double>(sysconf(_SC_PAGESIZE));
    return { memory.reservedBytes * pageBytes, memory.residentBytes * pageBytes };
}

} // namespace

std::vector<prometheus::MetricFamily> processMetrics()
{
    const Memory memory = usedMemory();
    return { counter("lagoon_exceptions_total", static_cast<double>(reportedExceptions())),
        gauge("process_open_fds", entries("/proc/self/fd")), gauge("process_max_fds", limitOf(RLIMIT_NOFILE)),
        gauge("process_threads", entries("/proc/self/task")),
        gauge("process_resident_memory_bytes", memory.residentBytes),
        gauge("process_virtual_memory_bytes", memory.reservedBytes),
        gauge("process_virtual_memory_max_bytes", limitOf(RLIMIT_AS)) };
}

} // namespace lagoon::framework
