#include "forwarding/internal/servernotices.h"

#include "framework/decisionlog.h"

namespace lagoon::forwarding {

namespace {

using framework::LogLine;

LogLine noticeLine(const char* event, const UpstreamRecord& server)
{
    LogLine line(event);
    line.text("server", server.facts.instance.value()).text("at", server.facts.endpoint.value());
    if (server.facts.started)
        line.number("started_ms", server.facts.started->value());
    return line;
}

} // namespace

bool ServerNotices::didAnswer(
    UpstreamRecord& server, const notices::ServerNotice& notice, AnswerClass answerClass, framework::SteadyTime now)
{
    // An answer that the server lacks the model may come from another server that has the address now.
    if (!isOwnAnswer(answerClass) || answerClass == AnswerClass::NotLoaded)
        return false;
    if (notice.isRestUnreadable) {
        metrics_.count("lagoon_server_rests_unreadable_total");
        logDecision(noticeLine("server_rest_unreadable", server));
    }
    const notices::NoticeTable::News news = upstreams_.didReceiveNotice(server, notice, now);
    if (news.leaves) {
        metrics_.count("lagoon_servers_leaving_total");
        logDecision(noticeLine("server_leaving", server));
    }
    if (news.restsLonger) {
        metrics_.count("lagoon_server_rests_total");
        logDecision(noticeLine("server_rest", server).number("rest_ms", notice.rest->count()));
    }
    return news.leaves || news.restsLonger;
}

} // namespace lagoon::forwarding
