#include "wire/types/message.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace lagoon::wire;

namespace {

Message dispatch()
{
    fb::DispatchT dispatch;
    dispatch.id = std::make_unique<fb::DispatchIdT>();
    dispatch.id->sequence = 7;
    dispatch.target = std::make_unique<fb::TargetT>();
    dispatch.target->model = "drafts";
    dispatch.body = { 'h', 'i' };
    return message(std::move(dispatch));
}

lagoon::framework::Result<Message> decodeAll(const std::vector<std::uint8_t>& bytes)
{
    return decode(bytes.data() + lengthPrefixBytes, bytes.size() - lengthPrefixBytes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Messages)

BOOST_AUTO_TEST_CASE(aMessageSurvivesEncodingAndDecoding)
{
    const auto decoded = decodeAll(encode(dispatch()));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().body.AsDispatch()->id->sequence == 7u);
    BOOST_TEST(decoded.value().body.AsDispatch()->target->model == "drafts");
}

BOOST_AUTO_TEST_CASE(aDispatchWithoutIdOrWithTwoTargetsIsRefused)
{
    Message noId = dispatch();
    noId.body.AsDispatch()->id.reset();
    BOOST_TEST(decodeAll(encode(noId)).has_error());
    Message two = dispatch();
    two.body.AsDispatch()->target->service = "holds";
    BOOST_TEST(decodeAll(encode(two)).has_error());
}

// Prevents corrupted frames, with one or several changed bytes or a missing end, from harming a process: decoding must
// return an error or a message, and never read outside the frame.
BOOST_AUTO_TEST_CASE(corruptedFramesAreDecodedSafely)
{
    const std::vector<std::uint8_t> encodedFrame = encode(dispatch());
    std::mt19937 random(20261202);
    std::size_t refused = 0;
    for (int round = 0; round < 20000; ++round) {
        std::vector<std::uint8_t> bytes(encodedFrame.begin() + lengthPrefixBytes, encodedFrame.end());
        for (unsigned change = 0; change <= random() % 4; ++change)
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        if (random() % 4 == 0)
            bytes.resize(random() % bytes.size());
        refused += decode(bytes.data(), bytes.size()).has_error();
    }
    BOOST_TEST(refused > 1000u);
}

BOOST_AUTO_TEST_SUITE_END()
