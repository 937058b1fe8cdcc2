#include "soak/hostilepeers.h"

#include <array>

namespace lagoon::soak {

namespace {

constexpr std::size_t storePeer = 0;
constexpr std::size_t mib = 1024 * 1024;
/// From more than is read of an answer to what a large but sound peer sends.
constexpr std::array<std::size_t, 4> answerBytes { 15 * mib, 4 * mib, mib, mib / 4 };
constexpr std::uint64_t minSeriesMs = 400;
constexpr std::uint64_t seriesRangeMs = 1600;
/// The most peers that begin in one step.
constexpr std::uint64_t maxBegins = 3;

struct Shape {
    std::string begin;
    std::string piece;
    std::string end;
};

std::string repeated(std::size_t bytes, const Shape& shape)
{
    std::string text = shape.begin + shape.piece;
    text.reserve(bytes);
    while (text.size() + shape.piece.size() + shape.end.size() < bytes)
        text += "," + shape.piece;
    return text + shape.end;
}

const std::vector<Shape>& shapes()
{
    static const std::vector<Shape> all { { R"({"coming":[)", R"("a")", "]}" }, { R"({"runs":[)", "1", "]}" },
        { R"({"models":[)", "{}", "]}" }, { R"({"items":[)", R"({"metadata":{"name":"a"}})", R"(],"at":1})" },
        { R"({"spec":{"routes":[)", "{}", R"(],"version":9},"at":1})" },
        { R"({"events":[)", R"({"object":{"metadata":{"name":"a"}}})", R"(],"at":1})" } };
    return all;
}

} // namespace

HostilePeers::HostilePeers(fleet::Fleet& fleet, ActionScheduler& scheduler, RunLog& runLog)
    : fleet_(fleet)
    , scheduler_(scheduler)
    , runLog_(runLog)
{
    begin(storePeer, answerBytes.front());
    begin(storePeer + 1, answerBytes.front());
}

void HostilePeers::perform()
{
    for (std::uint64_t begins = runLog_.draw(maxBegins + 1); begins > 0; --begins) {
        const std::size_t peer = runLog_.draw(fleet_.engines() + 1);
        if (!hostile_.contains(peer))
            begin(peer, answerBytes.at(runLog_.draw(answerBytes.size())));
    }
}

void HostilePeers::begin(std::size_t peer, std::size_t bytes)
{
    const Shape& shape = shapes().at(runLog_.draw(shapes().size()));
    hostile_.insert(peer);
    ++(peer == storePeer ? storeSeries_ : engineSeries_);
    runLog_.note(nameOf(peer) + " answers " + std::to_string(bytes) + " bytes of " + shape.begin + shape.piece);
    setAnswer(peer, repeated(bytes, shape));
    scheduler_.schedule(runLog_.drawDuration(minSeriesMs, seriesRangeMs), [this, peer] {
        setAnswer(peer, {});
        hostile_.erase(peer);
        runLog_.note(nameOf(peer) + " answers as before");
    });
}

void HostilePeers::setAnswer(std::size_t peer, const std::string& text)
{
    if (peer == storePeer)
        fleet_.store.setReadAnswer(text);
    else
        fleet_.engine(peer - 1).setReport(text);
}

std::string HostilePeers::nameOf(std::size_t peer)
{
    return peer == storePeer ? "the store" : fleet_.engine(peer - 1).instance();
}

void HostilePeers::check() const
{
    runLog_.note("hostile series of the store: " + std::to_string(storeSeries_)
        + ", of engines: " + std::to_string(engineSeries_));
    if (!fleet_.logLinesContaining("\"answer_refused\"").empty())
        return;
    runLog_.fail("no process has refused an answer");
}

} // namespace lagoon::soak
