#include "bundle/bundlehead.h"
#include "bundle/signoff.h"
#include "bundle/storedbundle.h"
#include "framework/iclock.h"
#include "objectstore/iobjectstore.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <map>
#include <random>

/// Measures the cost of bundles of several sizes: objects and bytes that a starting process reads and that a running
/// process reads after a change of one model, the processor time of both, and the memory of the loaded bundle. Doesn't
/// use a network.
namespace {

using namespace lagoon;
using namespace lagoon::bundle;
using framework::BundleVersion;
using framework::Deadline;
using framework::MebiBytes;
using framework::ModelName;
using framework::ObjectVersion;
using framework::PoolName;
using framework::Result;
using framework::SiteName;
using framework::WeightsVersion;
using objectstore::ObjectKey;
using objectstore::StoredObject;

constexpr unsigned sites = 2;
constexpr unsigned poolsPerSite = 10;
constexpr std::uint64_t acceleratorMib = 80000;
constexpr unsigned measuredChanges = 20;

/// In-memory object store that counts the reads and the bytes read.
class CountingStore final : public objectstore::IObjectStore {
public:
    Result<std::optional<StoredObject>> get(const ObjectKey& key, Deadline) override
    {
        ++reads;
        const auto found = objects_.find(key);
        if (found == objects_.end())
            return std::optional<StoredObject>();
        bytesRead += found->second.value.size();
        return std::optional<StoredObject>(found->second);
    }
    Result<std::vector<objectstore::ListedObject>> list(const std::string&, Deadline) override { return unsupported(); }
    Result<std::optional<StoredObject>> watch(const ObjectKey&, ObjectVersion, Deadline, std::stop_token) override
    {
        return unsupported();
    }
    Result<ObjectVersion> put(const ObjectKey& key, const std::string& value, ObjectVersion, Deadline) override
    {
        const ObjectVersion version(++version_);
        objects_[key] = { value, version };
        return version;
    }
    Result<void> remove(const ObjectKey&, ObjectVersion, Deadline) override { return unsupported(); }

    void resetCounts()
    {
        reads = 0;
        bytesRead = 0;
    }

    std::size_t reads = 0;
    std::size_t bytesRead = 0;

private:
    static framework::Error unsupported()
    {
        return { framework::ErrorCode::Internal, "call store", "", "not supported by the benchmark" };
    }

    std::map<ObjectKey, StoredObject> objects_;
    std::uint64_t version_ = 0;
};

struct Size {
    unsigned models = 0;
    unsigned adapters = 0;
};

/// Generates bundles like those of real deployments: two sites, names of realistic length, each model in two pools of
/// each site.
class BundleGenerator {
public:
    explicit BundleGenerator(std::uint64_t seed)
        : random_(seed)
    {
    }

    Bundle generate(Size size)
    {
        Bundle bundle;
        bundle.version = BundleVersion(1);
        for (unsigned pool = 0; pool < sites * poolsPerSite; ++pool)
            bundle.pools[poolName(pool)]
                = Pool { poolName(pool), siteName(pool % sites), PoolKind::Engine, MebiBytes(acceleratorMib) };
        for (unsigned number = 0; number < size.models; ++number) {
            const ModelName name("review-drafts-" + std::to_string(number));
            bundle.models[name] = Model { name, weights(), memory(), pools(), replicas(), {} };
        }
        for (unsigned number = 0; number < size.adapters; ++number) {
            const ModelName model("review-drafts-" + std::to_string(random_() % size.models));
            const framework::AdapterName name("job-centre-" + std::to_string(number));
            bundle.adapters[model][name] = Adapter { name, model, weights(), MebiBytes(200), replicas() };
        }
        return bundle;
    }

    /// Changes the weights version of one random model.
    void change(Bundle& bundle)
    {
        bundle.version = BundleVersion(bundle.version.value() + 1);
        auto model = bundle.models.begin();
        std::advance(model, static_cast<std::ptrdiff_t>(random_() % bundle.models.size()));
        model->second.version = weights();
    }

private:
    static PoolName poolName(unsigned number) { return PoolName("drafting-" + std::to_string(number)); }
    static SiteName siteName(unsigned number) { return SiteName("nz-south-" + std::to_string(number)); }
    WeightsVersion weights() { return WeightsVersion("2026-11-" + std::to_string(random_() % 100000)); }
    MebiBytes memory() { return MebiBytes(8000 + random_() % 60000); }

    std::vector<PoolName> pools()
    {
        const unsigned first = random_() % (poolsPerSite - 1) * sites;
        return { poolName(first), poolName(first + 1), poolName(first + 2), poolName(first + 3) };
    }

    static std::map<SiteName, std::uint32_t> replicas() { return { { siteName(0), 2 }, { siteName(1), 1 } }; }

    std::mt19937_64 random_;
};

Deadline testDeadline() { return Deadline::after(framework::SystemClock().now(), std::chrono::minutes(10)); }

std::size_t heapBytes() { return mallinfo2().uordblks; }

double milliseconds(std::clock_t since) { return 1000.0 * static_cast<double>(std::clock() - since) / CLOCKS_PER_SEC; }

/// Stores the bundle in the given number of parts (0: the number that a sign-off uses) and returns the head that names
/// it.
BundleHead storeBundle(CountingStore& store, const Bundle& bundle, std::size_t parts)
{
    SplitBundle split = parts == 0 ? splitBundle(bundle) : splitBundle(bundle, parts);
    split.manifest.signedOffBy = "ada";
    split.manifest.signedOffAt = "2026-12-02T20:00:00Z";
    for (const BundlePart& part : split.parts)
        (void)store.put(partKey(part.digest), part.text, {}, testDeadline());
    const std::string manifest = bundleManifestText(split.manifest);
    (void)store.put(manifestKey(bundle.version), manifest, {}, testDeadline());
    return { bundle.version, bundleDigest(manifest), "nonce", "ada", "2026-12-02T20:00:00Z" };
}

/// Results for one size and number of parts. The figures of a change are means over `measuredChanges` changes.
struct Row {
    std::size_t parts = 0;
    std::size_t startReads = 0;
    std::size_t startBytes = 0;
    double startMs = 0;
    /// Growth of the heap by the loaded bundle, in bytes.
    std::size_t heap = 0;
    double changeReads = 0;
    double changeBytes = 0;
    double changeMs = 0;
};

/// Measures one size and number of parts. Returns an error if a bundle can't be loaded, for example because a part is
/// larger than 1 MiB.
Result<Row> measure(Size size, std::size_t parts, std::uint64_t seed)
{
    CountingStore store;
    BundleGenerator generator(seed);
    Bundle bundle = generator.generate(size);
    const BundleHead head = storeBundle(store, bundle, parts);
    Row row;
    store.resetCounts();
    const std::size_t heapBefore = heapBytes();
    const std::clock_t startedAt = std::clock();
    BOOST_OUTCOME_TRY(loaded, loadBundle(store, head, nullptr, testDeadline()));
    row.startMs = milliseconds(startedAt);
    row.heap = heapBytes() - heapBefore;
    row.parts = loaded.manifest.parts.size();
    row.startReads = store.reads;
    row.startBytes = store.bytesRead;
    for (unsigned count = 0; count < measuredChanges; ++count) {
        generator.change(bundle);
        const BundleHead next = storeBundle(store, bundle, parts);
        store.resetCounts();
        const std::clock_t changedAt = std::clock();
        BOOST_OUTCOME_TRY(changed, loadBundle(store, next, &loaded, testDeadline()));
        loaded = std::move(changed);
        row.changeMs += milliseconds(changedAt) / measuredChanges;
        row.changeReads += static_cast<double>(store.reads) / measuredChanges;
        row.changeBytes += static_cast<double>(store.bytesRead) / measuredChanges;
    }
    return row;
}

void print(Size size, std::size_t parts, const Result<Row>& result)
{
    if (!result) {
        std::cout << "| " << size.models << " | " << size.adapters << " | " << parts << " | a part over 1 MiB |\n";
        return;
    }
    const Row& row = result.value();
    constexpr double kib = 1024;
    std::cout << std::fixed << std::setprecision(1) << "| " << size.models << " | " << size.adapters << " | "
              << row.parts << " | " << row.startReads << " | " << static_cast<double>(row.startBytes) / kib << " | "
              << row.startMs << " | " << static_cast<double>(row.heap) / kib << " | " << row.changeReads << " | "
              << row.changeBytes / kib << " | " << row.changeMs << " |\n";
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::uint64_t seed = 1;
    std::vector<std::size_t> parts;
    options::options_description description("usage: bundlebenchmark [--seed N] [--parts N]...");
    options::options_description_easy_init add = description.add_options();
    add("help", "print this");
    add("seed", options::value(&seed), "seed for names and changes; 1 if not given");
    add("parts", options::value(&parts), "a power of two, 0 for the number that a sign-off uses; 0 if not given");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
    } catch (const options::error& error) {
        std::cerr << "bundlebenchmark: " << error.what() << "\n" << description;
        return 2;
    }
    if (parts.empty())
        parts.push_back(0);
    std::cout << "| models | adapters | parts | start: reads | start: KiB | start: CPU ms | heap KiB "
                 "| change: reads | change: KiB | change: CPU ms |\n"
                 "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Size size :
        { Size { 35, 115 }, Size { 450, 800 }, Size { 900, 1600 }, Size { 1800, 3200 }, Size { 3600, 6400 } }) {
        for (const std::size_t count : parts)
            print(size, count, measure(size, count, seed));
    }
    return 0;
}
