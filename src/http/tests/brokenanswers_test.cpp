#include "http/internal/answerreader.h"
#include "http/testing/brokenanswers.h"
#include "http/tests/clientfixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace lagoon::http {

namespace {

using namespace testing;

const std::string interim = "HTTP/1.1 103 Early Hints\r\n";
/// More than the kernel takes of a request that its server doesn't read.
const std::string largeBody(std::size_t(16) * 1024 * 1024, 'x');

struct BrokenAnswersFixture : ClientFixture {
    /// Answers a request with these bytes, and then closes the connection in order.
    std::shared_ptr<RecordedAnswer> answerWith(const std::string& bytes)
    {
        auto answer = send(post);
        server.accept();
        (void)server.request();
        server.trySend(bytes);
        server.close();
        return answer;
    }

    /// Checks that the answer fails its request, and that neither its head nor the connection is used.
    void checkRefused(const std::string& bytes)
    {
        const auto answer = checkBroken(bytes);
        BOOST_TEST(answer->head.status == 0U);
        BOOST_TEST(answer->body.empty());
    }

    std::shared_ptr<RecordedAnswer> checkBroken(const std::string& bytes)
    {
        auto answer = answerWith(bytes);
        BOOST_TEST_INFO(bytes);
        BOOST_TEST(!answer->wait());
        BOOST_TEST(answer->failure.mayHaveArrived);
        BOOST_TEST(openConnections() == 0U);
        return answer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenAnswers, BrokenAnswersFixture)

BOOST_AUTO_TEST_CASE(soundAnswersAreAccepted)
{
    for (const std::string& bytes : { BrokenAnswer().text(), interim + "X-A: a\r\n\r\n" + BrokenAnswer().text(),
             BrokenAnswer { .status = "599 " }.text(), BrokenAnswer { .fields = "X-A: \xc3\xa4\t\"b" }.text(),
             BrokenAnswer { .fields = "content-length:2 " }.text(), BrokenAnswer { .fields = "X-A:" }.text(),
             BrokenAnswer { .fields = "Connection: close", .version = "HTTP/1.0" }.text(),
             BrokenAnswer { .fields = "Transfer-Encoding: Chunked", .body = "2;a=b\r\nok\r\n0\r\nX-T: t\r\n\r\n" }
                 .text() }) {
        const auto answer = answerWith(bytes);
        BOOST_TEST(answer->wait(), bytes);
        BOOST_TEST(answer->body == "ok");
        // Trailers aren't fields of the head, even if they arrive together.
        BOOST_TEST(answer->head.headers.count("X-T") == 0U);
    }
    for (const char* const status : { "204 No Content", "304 Not Modified" })
        BOOST_TEST(answerWith(BrokenAnswer { .status = status, .body = {} }.text())->wait(), status);
}

// Prevents a status that isn't one, or a protocol that wasn't asked for, from reaching a client.
BOOST_AUTO_TEST_CASE(anAnswerWithABrokenStatusFails)
{
    for (const BrokenAnswer& answer : withBrokenStatus())
        checkRefused(answer.text());
    checkRefused("HTTP/1.1 101 Switching Protocols\r\n\r\n" + BrokenAnswer().text());
}

// Prevents a part of an answer from being taken for a whole one that ends with its connection: the server reset it
// while the request was still being written.
BOOST_AUTO_TEST_CASE(aResetDuringTheUploadFailsAnUnframedAnswer)
{
    for (int round = 0; round < 10; ++round) {
        const auto answer = send({ "POST", "/x", {}, largeBody });
        server.accept();
        (void)server.request();
        server.send("HTTP/1.1 200 OK\r\n\r\npart");
        server.reset();
        BOOST_TEST(!answer->wait());
        BOOST_TEST(answer->failure.mayHaveArrived);
    }
}

BOOST_AUTO_TEST_CASE(anEarlyRefusalWithALengthIsAccepted)
{
    const auto answer = send({ "POST", "/x", {}, largeBody });
    server.accept();
    (void)server.request();
    server.send("HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\n\r\nfull");
    server.close();
    BOOST_TEST(answer->wait());
    BOOST_TEST(answer->head.status == 413U);
    BOOST_TEST(answer->body == "full");
    BOOST_TEST(openConnections() == 0U);
}

// Prevents a body that isn't the server's, as the end of the body isn't told, or told twice.
BOOST_AUTO_TEST_CASE(anAnswerWithBrokenFramingFails)
{
    for (const BrokenAnswer& answer : withBrokenFraming())
        checkRefused(answer.text());
}

BOOST_AUTO_TEST_CASE(anAnswerWithBrokenChunksFails)
{
    for (const BrokenAnswer& answer : withBrokenChunks())
        checkBroken(answer.text());
}

// Prevents a broken head from being accepted if it arrives in pieces.
BOOST_AUTO_TEST_CASE(aBrokenHeadFailsWhereverItIsDivided)
{
    for (const BrokenAnswer& answer : withBrokenHead()) {
        const std::string text = answer.text();
        MessageOverhead overhead;
        AnswerReader reader(false, overhead);
        std::size_t parsed = 0;
        for (std::size_t size = 1; size <= text.size() && !reader.fault(); ++size)
            parsed += reader.put({ text.data() + parsed, size - parsed });
        BOOST_TEST(reader.fault().has_value(), text);
        BOOST_TEST(parsed + answer.body.size() <= text.size());
    }
}

// Prevents fields whose name has a blank or a control byte, and lines that continue a field, from reaching a client.
BOOST_AUTO_TEST_CASE(anAnswerWithABrokenFieldFails)
{
    for (const BrokenAnswer& answer : withBrokenFields()) {
        checkRefused(answer.text());
        checkRefused(interim + answer.fields + "\r\n\r\n" + BrokenAnswer().text());
    }
}

// Prevents what a server in trouble sends from filling the log or breaking its lines, and values from standing in it.
BOOST_AUTO_TEST_CASE(aFaultQuotesTheFieldsNameInBounds)
{
    const std::string name = "X \x01\n\"\\" + std::string(1000, 'x');
    const auto answer = checkBroken(BrokenAnswer { .fields = name + ": secret" }.text());
    const std::string logged = answer->failure.logText();
    BOOST_TEST(logged.size() < 200U);
    BOOST_TEST(logged.find("\"X \\x01") != std::string::npos, logged);
    BOOST_TEST(answer->failure.detail.find("X ") == std::string::npos);
    const auto folded = checkBroken(BrokenAnswer { .fields = "X-A: secret\r\n secret" }.text());
    const std::string foldedText = folded->failure.logText();
    BOOST_TEST(foldedText.find("\"X-A\"") != std::string::npos, foldedText);
    BOOST_TEST(foldedText.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::http
