#include "bundle/bundlehead.h"
#include "bundle/bundletext.h"
#include "bundle/replicaobject.h"
#include "bundle/storedbundle.h"
#include "bundle/tests/bundlefixture.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace lagoon;
using namespace lagoon::bundle;

namespace {

constexpr unsigned mutantsPerText = 4000;
constexpr unsigned maxMutations = 6;
constexpr std::uint64_t seed = 20261202;

const std::vector<std::string> tokens { "null", "-1", "1e400", "18446744073709551616", "{}", "[]", "\"\"", "{", "]",
    "\"\\ud800\"", ",", ":", "\xff", std::string(1, '\0'), "true", "\"version\":", "0.5" };

/// Mutates a text by replacing, removing and duplicating bytes and by inserting tokens that JSON parsers often
/// mishandle.
class Mutator {
public:
    std::string mutant(std::string text)
    {
        const std::size_t mutations = 1 + below(maxMutations);
        for (std::size_t count = 0; count < mutations; ++count)
            mutate(text);
        return text;
    }

private:
    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }

    void mutate(std::string& text)
    {
        const std::size_t at = below(text.size());
        const std::size_t length = below(text.size() - at + 1);
        switch (below(5)) {
        case 0:
            if (!text.empty())
                text[at] = static_cast<char>(random_());
            return;
        case 1:
            text.erase(at, length);
            return;
        case 2:
            text.insert(at, text.substr(at, std::min<std::size_t>(length, 200)));
            return;
        case 3:
            text.insert(at, tokens[below(tokens.size())]);
            return;
        default:
            text.replace(at, std::min<std::size_t>(length, 8), tokens[below(tokens.size())]);
            return;
        }
    }

    std::mt19937_64 random_ { seed };
};

/// Checks that each mutant is either refused with an error that has a detail or accepted, and that the serialized form
/// of an accepted one parses to the same text. `rewrite` parses a text and serializes the result, or returns the error.
void fuzz(const std::vector<std::string>& corpus,
    const std::function<framework::Result<std::string>(const std::string&)>& rewrite)
{
    Mutator mutator;
    unsigned accepted = 0;
    for (const std::string& text : corpus) {
        BOOST_REQUIRE(rewrite(text).has_value());
        for (unsigned count = 0; count < mutantsPerText; ++count) {
            const std::string mutant = mutator.mutant(text);
            const auto written = rewrite(mutant);
            if (!written) {
                BOOST_REQUIRE(!written.error().detail.empty());
                continue;
            }
            ++accepted;
            const auto again = rewrite(written.value());
            BOOST_REQUIRE_MESSAGE(again && again.value() == written.value(), mutant);
        }
    }
    BOOST_TEST_MESSAGE(accepted << " of " << mutantsPerText * corpus.size() << " mutants accepted");
}

const std::string headText
    = R"({"version":8,"digest":"ab","nonce":"n","operator":"ada","rolled_out_at":"2026-12-02T20:00:00Z"})";
const std::string manifestText = R"({"manifest_format":1,"version":8,"common":"ab","parts":["c","d"],)"
                                 R"("signed_off_by":"ada","signed_off_at":"2026-12-02T20:00:00Z"})";
const std::string replicaText
    = R"({"decided":2,"bundle_version":7,"lowered":{"decided":1,"bundle_version":8},)"
      R"("holders":[{"vm":"a","incarnation":18446744073709551615,"nonce":"n","state":"loaded"},)"
      R"({"vm":"b","incarnation":1,"nonce":"m","state":"unloading"}],"releases":[{"vm":"c",)"
      R"("operator":"ada","reason":"gone \"for good\"","released_at":"x","nonce":"k"}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(ParserFuzz)

BOOST_AUTO_TEST_CASE(bundles)
{
    fuzz({ tests::bundleText(7) }, [](const std::string& text) -> framework::Result<std::string> {
        BOOST_OUTCOME_TRY(bundle, parseBundle(text, "fuzz"));
        const SplitBundle split = splitBundle(bundle, 1);
        // Both parts are JSON objects; their members together form the text of a bundle.
        const std::string common = split.parts.front().text;
        const std::string entries = split.parts.back().text;
        return R"({"format":1,"version":)" + std::to_string(bundle.version.value()) + ","
            + common.substr(1, common.size() - 2) + "," + entries.substr(1);
    });
}

BOOST_AUTO_TEST_CASE(heads)
{
    fuzz({ headText }, [](const std::string& text) -> framework::Result<std::string> {
        BOOST_OUTCOME_TRY(head, parseBundleHead(text));
        return bundleHeadText(head);
    });
}

BOOST_AUTO_TEST_CASE(manifests)
{
    fuzz({ manifestText }, [](const std::string& text) -> framework::Result<std::string> {
        BOOST_OUTCOME_TRY(manifest, parseBundleManifest(text, objectstore::ObjectKey("bundles/8")));
        return bundleManifestText(manifest);
    });
}

BOOST_AUTO_TEST_CASE(replicaObjects)
{
    const objectstore::ObjectKey key("replicas/south/notes");
    fuzz({ replicaText, replicaObjectText({}) }, [&](const std::string& text) -> framework::Result<std::string> {
        BOOST_OUTCOME_TRY(object, parseReplicaObject(text, key));
        return replicaObjectText(object);
    });
}

BOOST_AUTO_TEST_SUITE_END()
