#include "quarantine/fingerprinting.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace lagoon::quarantine {

namespace {

const RequestContent content { "POST", "/v1/chat?x=1", "acme", "tell me" };

RequestFingerprint changed(std::string_view RequestContent::*field, std::string_view value)
{
    RequestContent other = content;
    other.*field = value;
    return fingerprintOf(other);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Fingerprints)

BOOST_AUTO_TEST_CASE(copiesHaveTheSameFingerprint)
{
    const std::string body(1 << 20, 'x');
    BOOST_TEST((fingerprintOf(content) == fingerprintOf(content)));
    BOOST_TEST((changed(&RequestContent::body, body) == changed(&RequestContent::body, std::string(body))));
}

BOOST_AUTO_TEST_CASE(eachFieldCounts)
{
    const RequestFingerprint fingerprint = fingerprintOf(content);
    BOOST_TEST((changed(&RequestContent::method, "PUT") != fingerprint));
    BOOST_TEST((changed(&RequestContent::target, "/v1/chat?x=2") != fingerprint));
    BOOST_TEST((changed(&RequestContent::caller, "other") != fingerprint));
    BOOST_TEST((changed(&RequestContent::body, "tell me ") != fingerprint));
}

// Prevents a caller from building another caller's fingerprint by moving bytes between the fields.
BOOST_AUTO_TEST_CASE(bytesMovedToAnotherFieldChangeTheFingerprint)
{
    const RequestFingerprint left = fingerprintOf({ "POST", "/a", "bc", "d" });
    BOOST_TEST((fingerprintOf({ "POST", "/ab", "c", "d" }) != left));
    BOOST_TEST((fingerprintOf({ "POST", "/a", "b", "cd" }) != left));
}

BOOST_AUTO_TEST_CASE(theTextFormIsParsedBack)
{
    const RequestFingerprint fingerprint = fingerprintOf(content);
    BOOST_TEST(fingerprint.text().size() == 32u);
    BOOST_TEST((RequestFingerprint::parse(fingerprint.text()) == fingerprint));
    for (const std::string& bad : { std::string(), std::string(31, 'a'), std::string(32, 'g'), std::string(33, 'a') })
        BOOST_TEST(!RequestFingerprint::parse(bad));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::quarantine
