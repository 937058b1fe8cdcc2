#include "bundle/storedbundle.h"

#include "bundle/signoff.h"
#include "bundle/tests/bundlefixture.h"
#include "objectstore/tests/memoryobjectstore.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::bundle;
using framework::AdapterName;
using framework::BundleVersion;
using framework::MebiBytes;
using framework::ModelName;
using framework::PoolName;
using framework::SiteName;
using framework::WeightsVersion;
using objectstore::MemoryObjectStore;
using tests::testDeadline;

namespace {

const SiteName site("south");
const PoolName pool("drafting");

Bundle bundleOfModels(unsigned models, unsigned adaptersEach = 1)
{
    Bundle bundle;
    bundle.version = BundleVersion(1);
    bundle.pools[pool] = Pool { pool, site, PoolKind::Engine, MebiBytes(1000) };
    for (unsigned number = 0; number < models; ++number) {
        const ModelName name("model-" + std::to_string(number));
        bundle.models[name] = Model { name, WeightsVersion("v1"), MebiBytes(500), { pool }, { { site, 1 } }, {} };
        for (unsigned adapter = 0; adapter < adaptersEach; ++adapter) {
            const AdapterName adapterName("adapter-" + std::to_string(adapter));
            bundle.adapters[name][adapterName]
                = Adapter { adapterName, name, WeightsVersion("v1"), MebiBytes(10), { { site, 1 } } };
        }
    }
    return bundle;
}

/// Signs off the bundle and returns the head with which a roll-out would name it.
BundleHead storeBundle(MemoryObjectStore& store, const Bundle& bundle)
{
    const auto manifest = signOff(store, bundle, { "ada", "2026-12-02T20:00:00Z" }, testDeadline());
    BOOST_REQUIRE(manifest.has_value());
    return { bundle.version, bundleDigest(bundleManifestText(manifest.value())), "n", "ada", "2026-12-02T20:00:00Z" };
}

/// Returns a bundle's content as text, for comparisons.
std::string contentOf(const Bundle& bundle)
{
    std::string text;
    for (const BundlePart& part : splitBundle(bundle, 1).parts)
        text += part.text;
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoredBundles)

BOOST_AUTO_TEST_CASE(aStoredBundleIsLoaded)
{
    MemoryObjectStore store;
    const Bundle bundle = bundleOfModels(400);
    BOOST_TEST(splitBundle(bundle).manifest.parts.size() == 4U);
    const auto loaded = loadBundle(store, storeBundle(store, bundle), nullptr, testDeadline());
    BOOST_REQUIRE(loaded.has_value());
    BOOST_TEST(contentOf(*loaded.value().bundle) == contentOf(bundle));
}

BOOST_AUTO_TEST_CASE(onlyChangedPartsAreRead)
{
    MemoryObjectStore store;
    Bundle bundle = bundleOfModels(400);
    const auto first = loadBundle(store, storeBundle(store, bundle), nullptr, testDeadline());
    bundle.version = BundleVersion(2);
    bundle.models[ModelName("model-7")].version = WeightsVersion("v2");
    bundle.models.erase(ModelName("model-8"));
    bundle.adapters.erase(ModelName("model-8"));
    const BundleHead head = storeBundle(store, bundle);
    const unsigned readsBefore = store.reads();
    const auto second = loadBundle(store, head, &first.value(), testDeadline());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(contentOf(*second.value().bundle) == contentOf(bundle));
    // Reads the manifest and at most two parts, those of the two changed models.
    BOOST_TEST(store.reads() - readsBefore <= 3U);
}

// Prevents requests from waiting until their deadline for a model that no longer fits: a pool's memory is reduced, and
// the part of the model is unchanged, so its entries are copied from the previous bundle.
BOOST_AUTO_TEST_CASE(copiedEntriesAreCheckedAgainstTheNewPools)
{
    MemoryObjectStore store;
    Bundle bundle = bundleOfModels(2);
    const auto first = loadBundle(store, storeBundle(store, bundle), nullptr, testDeadline());
    bundle.version = BundleVersion(2);
    bundle.pools[pool].acceleratorMemory = MebiBytes(400);
    const auto second = loadBundle(store, storeBundle(store, bundle), &first.value(), testDeadline());
    BOOST_REQUIRE(second.has_error());
    BOOST_TEST((second.error().code == framework::ErrorCode::BadBundle));
}

BOOST_AUTO_TEST_CASE(aModifiedPartIsRefused)
{
    MemoryObjectStore store;
    const Bundle bundle = bundleOfModels(3);
    const BundleHead head = storeBundle(store, bundle);
    const BundlePart part = splitBundle(bundle).parts.back();
    store.set(partKey(part.digest), part.text + " ");
    BOOST_TEST((loadBundle(store, head, nullptr, testDeadline()).error().code == framework::ErrorCode::BadBundle));
    BOOST_TEST(signOff(store, bundle, { "bob", "x" }, testDeadline()).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
