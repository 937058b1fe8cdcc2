#pragma once

#include <string>
#include <vector>

/// Answers that break HTTP/1.1, as a server in trouble may send them. A server's connection ends after each. All are
/// made from an answer that would be complete otherwise.
namespace lagoon::http::testing {

struct BrokenAnswer {
    /// Follows the version in the status line.
    std::string status = "200 OK";
    /// Lines of the head, without the line end of the last one.
    std::string fields = "Content-Length: 2";
    std::string body = "ok";
    std::string version = "HTTP/1.1";

    /// `more` are fields that the answer has besides, each with its line end.
    std::string text(const std::string& more = {}) const
    {
        return version + " " + status + "\r\n" + more + fields + "\r\n\r\n" + body;
    }
};

inline std::vector<BrokenAnswer> withBrokenStatus()
{
    std::vector<BrokenAnswer> answers { { .version = "HTTP/2.0" }, { .version = "HTTP/0.9" },
        { .version = "HTP/1.1" } };
    for (const char* const status :
        { "000", "0", "99", "099", "101", "600", "999", "2000", "20", "-200", "+20", "2 0", "" })
        answers.push_back({ .status = std::string(status) + " OK" });
    answers.push_back({ .status = "200 O\x01K" });
    return answers;
}

/// A name with a blank or a control byte, a line without one, or a line that continues the field before it.
inline std::vector<BrokenAnswer> withBrokenFields()
{
    using namespace std::string_literals;
    std::vector<BrokenAnswer> answers;
    for (const std::string& line :
        { "X Seal: a"s, "X-Seal : a"s, "X-Seal\t: a"s, "X\x01Seal: a"s, "X\0Seal: a"s, "X\x7fSeal: a"s, "X\rSeal: a"s,
            "X(Seal): a"s, "X\x80Seal: a"s, ": a"s, "X-Seal"s, "X-A: a\r\n X-Seal: b"s, "X-A: a\r\n\tb"s, "X-A:\r\n b"s,
            "X-A: a\x01"s, "X-A: a\0"s, "X-A: \x7f"s, "X-A: a\rb"s, "X-A: a\nX-B: b"s })
        answers.push_back({ .fields = line + "\r\nContent-Length: 2" });
    answers.push_back({ .fields = "Content-Length : 2" });
    answers.push_back({ .fields = "Content-Length: 2\r\n X-Seal: a" });
    answers.push_back({ .fields = "Transfer-Encoding : chunked", .body = "2\r\nok\r\n0\r\n\r\n" });
    return answers;
}

/// Heads that leave it open where the body ends.
inline std::vector<BrokenAnswer> withBrokenFraming()
{
    std::vector<BrokenAnswer> answers;
    for (const char* const length : { "", "+2", "0x2", "-1", "2, 2", "2, 3", "2 2", "2;", "99999999999999999999" })
        answers.push_back({ .fields = "Content-Length: " + std::string(length) });
    for (const char* const second : { "2", "3" })
        answers.push_back({ .fields = "Content-Length: 2\r\nContent-Length: " + std::string(second) });
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    for (const char* const coding : { "", "gzip", "identity", "chunked, chunked", "chunked, identity", "gzip, chunked",
             "chunked\r\nTransfer-Encoding: chunked", "chunked\r\nContent-Length: 12" })
        answers.push_back({ .fields = "Transfer-Encoding: " + std::string(coding), .body = chunks });
    answers.push_back({ .fields = "Content-Length: 12\r\nTransfer-Encoding: chunked", .body = chunks });
    answers.push_back({ .fields = "Transfer-Encoding: chunked", .body = chunks, .version = "HTTP/1.0" });
    return answers;
}

/// Chunks and trailers. The head of such an answer is sound.
inline std::vector<BrokenAnswer> withBrokenChunks()
{
    std::vector<BrokenAnswer> answers;
    for (const char* const size : { "2 2", "+2", "0x2", "-2", "", " 2", "2\n", "2;\x01", "10000000000000002" })
        answers.push_back({ .body = std::string(size) + "\r\nok\r\n0\r\n\r\n" });
    answers.push_back({ .body = "2\r\nokay\r\n0\r\n\r\n" });
    for (const char* const trailer : { "X Seal: a", "X\x01Seal: a", "X-Seal", "X-A: a\r\n X-Seal: b", "X-A: \x01" })
        answers.push_back({ .body = "2\r\nok\r\n0\r\n" + std::string(trailer) + "\r\n\r\n" });
    for (BrokenAnswer& answer : answers)
        answer.fields = "Transfer-Encoding: chunked";
    return answers;
}

/// All answers whose head is broken.
inline std::vector<BrokenAnswer> withBrokenHead()
{
    std::vector<BrokenAnswer> answers = withBrokenStatus();
    for (const auto& more : { withBrokenFields(), withBrokenFraming() })
        answers.insert(answers.end(), more.begin(), more.end());
    return answers;
}

} // namespace lagoon::http::testing
