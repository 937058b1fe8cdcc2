#include "direct/internal/catalogwatch.h"

#include "framework/decisionlog.h"
#include "framework/randomid.h"

#include <utility>

namespace lagoon::direct {

namespace {

using framework::LogLine;
using framework::Milliseconds;
using objectstore::FeedObject;
using objectstore::MirrorSettings;

/// The object that holds the configuration in force.
const std::string configurationName = "main";
/// Engines say each load and unload in their entries. Reading several together costs one call, and the operators allow
/// two seconds for a leaving server to be known.
constexpr Milliseconds serversPause { 400 };
/// Changes of the configuration have the same two seconds; a storm of them costs a call each 100 ms.
constexpr Milliseconds configurationPause { 100 };

MirrorSettings mirrorSettings(const std::string& kind, Milliseconds pauseAfterChange)
{
    MirrorSettings settings;
    settings.kind = kind;
    settings.pauseAfterChange = pauseAfterChange;
    return settings;
}

} // namespace

CatalogWatch::CatalogWatch(Context context)
    : context_(std::move(context))
    , configurations_(context_.configurations, context_.control, context_.clock,
          mirrorSettings("configurations", configurationPause),
          { [this](const FeedObject& object) { takeConfiguration(object); }, [](const std::string&) {}, [] {} },
          framework::randomNumber())
    , servers_(context_.servers, context_.control, context_.clock, mirrorSettings("servers", serversPause),
          { [this](const FeedObject& object) { takeServer(object); },
              [this](const std::string& name) { removeServer(name); }, [this] { tellServersSoon(); } },
          framework::randomNumber())
{
}

void CatalogWatch::start()
{
    configurations_.start();
    servers_.start();
}

/// Guards against going back: a request that was handled by a version is never followed by one handled by an older.
void CatalogWatch::takeConfiguration(const FeedObject& object)
{
    if (object.name != configurationName)
        return;
    auto read = context_.decoder.configuration(object.value);
    if (read.has_error()) {
        logDecision(LogLine("configuration_refused").text("cause", describe(read.error())));
        return;
    }
    const auto version = read.value().version;
    const bool isNewer = !configuration_ || version > configuration_->version;
    logDecision(LogLine("configuration")
                    .number("version", version.value())
                    .number("before", configuration_ ? configuration_->version.value() : 0)
                    .number("routes", read.value().routes.size())
                    .number("revision", object.revision.value())
                    .flag("taken", isNewer));
    if (!isNewer)
        return;
    configuration_ = std::make_shared<const catalog::Configuration>(std::move(read.value()));
    context_.didConfigure(configuration_);
}

void CatalogWatch::takeServer(const FeedObject& object)
{
    auto read = context_.decoder.upstream(object.name, object.value);
    if (read.has_error()) {
        logDecision(LogLine("server_refused").text("name", object.name).text("cause", describe(read.error())));
        return;
    }
    const auto [known, isNew] = upstreams_.try_emplace(object.name);
    if (isNew || known->second.state != read.value().state)
        logDecision(LogLine(isNew ? "server_listed" : "server_changed")
                        .text("server", object.name)
                        .text("service", read.value().service.value())
                        .text("at", read.value().endpoint.value())
                        .text("state", read.value().state == catalog::UpstreamState::Ready ? "ready" : "leaving")
                        .number("revision", object.revision.value()));
    known->second = std::move(read.value());
    known->second.listed = object.created;
    tellServersSoon();
}

void CatalogWatch::removeServer(const std::string& name)
{
    upstreams_.erase(name);
    logDecision(LogLine("server_unlisted").text("server", name));
    tellServersSoon();
}

/// Once for all changes that came together.
void CatalogWatch::tellServersSoon()
{
    if (std::exchange(isTelling_, true))
        return;
    context_.control.post([this] { tellServers(); });
}

void CatalogWatch::tellServers()
{
    isTelling_ = false;
    if (!servers_.hasListed())
        return;
    context_.didListServers(newestByEndpoint());
}

/// Guards against the entry of a server that has ended and whose successor is at its address already: the platform
/// takes seconds to notice, and until then all that is sent to the old one is refused.
std::vector<catalog::Upstream> CatalogWatch::newestByEndpoint() const
{
    std::map<framework::Endpoint, const catalog::Upstream*> newest;
    for (const auto& [name, upstream] : upstreams_) {
        const catalog::Upstream*& known = newest[upstream.endpoint];
        if (!known || upstream.listed > known->listed)
            known = &upstream;
    }
    std::vector<catalog::Upstream> list;
    for (const auto& [endpoint, upstream] : newest)
        list.push_back(*upstream);
    return list;
}

} // namespace lagoon::direct
