#include "direct/internal/catalogwatcher.h"

#include "direct/internal/customerfaultlines.h"
#include "framework/decisionlog.h"
#include "framework/randomid.h"

#include <utility>

namespace lagoon::direct {

namespace {

using framework::LogLine;
using framework::Milliseconds;
using objectstore::FeedObject;
using objectstore::MirrorSettings;
using Removal = objectstore::ObjectMirror::Removal;

/// Name of the object with the configuration in force.
const std::string configurationName = "main";
/// After each read of the servers' entries the next one is delayed by the leaving notice divided by this, so that one
/// call reads several updates: engines update their entries at each load and unload.
constexpr int leavingNoticeDivisor = 5;
/// A watch lasts for the outage notice divided by this, so that one with a dead connection ends well within the notice.
constexpr int outageNoticeDivisor = 2;
/// Duration of a watch of the configuration, for which no notice is set.
constexpr Milliseconds configurationWatchTime { 2500 };
/// Limits a burst of configuration changes to one call each 100 ms.
constexpr Milliseconds configurationMinInterval { 100 };

MirrorSettings configurationSettings()
{
    MirrorSettings settings;
    settings.kind = "configurations";
    settings.watchWait = configurationWatchTime;
    settings.pauseAfterChange = configurationMinInterval;
    return settings;
}

MirrorSettings serverSettings(Milliseconds leavingNotice, Milliseconds outageNotice)
{
    MirrorSettings settings;
    settings.kind = "servers";
    settings.watchWait = outageNotice / outageNoticeDivisor;
    settings.pauseAfterChange = leavingNotice / leavingNoticeDivisor;
    settings.outageNotice = outageNotice;
    return settings;
}

} // namespace

/// A watch without a change is answered at its end, and a store that answers later than within the notice is lost.
Milliseconds CatalogWatcher::maxUnconfirmed(Milliseconds leavingNotice)
{
    return configurationWatchTime + leavingNotice;
}

CatalogWatcher::CatalogWatcher(Context context)
    : context_(std::move(context))
    , entries_(context_.heartbeat)
    , configurations_(context_.configurations, context_.control, context_.clock, configurationSettings(),
          { [this](const FeedObject& object) { applyConfiguration(object); }, [](const std::string&, Removal) {}, [] {},
              [this](framework::SteadyTime at) { confirmConfiguration(at); } },
          framework::randomNumber())
    , servers_(context_.servers, context_.control, context_.clock,
          serverSettings(context_.leavingNotice, context_.outageNotice),
          { [this](const FeedObject& object) { applyServer(object); },
              [this](const std::string& name, Removal removal) { removeServer(name, removal); },
              [this] { schedulePublish(); }, [this](framework::SteadyTime at) { confirmServers(at); } },
          framework::randomNumber())
{
}

void CatalogWatcher::start()
{
    configurations_.start();
    servers_.start();
}

/// Ignores versions that aren't newer than the current one, so that no request is handled by an older version than an
/// earlier request.
void CatalogWatcher::applyConfiguration(const FeedObject& object)
{
    if (object.name != configurationName)
        return;
    auto read = context_.decoder.configuration(object.value);
    isNewestInForce_ = read.has_value();
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
    for (const LogLine& line : customerFaultLines(*configuration_))
        logDecision(line);
    context_.didConfigure(configuration_);
    if (updateUnknownServices())
        schedulePublish();
}

/// A newest version that can't be decoded isn't in force here.
void CatalogWatcher::confirmConfiguration(framework::SteadyTime at)
{
    if (isNewestInForce_)
        context_.didConfirmConfiguration(at);
}

void CatalogWatcher::applyServer(const FeedObject& object)
{
    entries_.apply(object, context_.decoder.upstream(object.name, object.value), context_.clock.now());
    schedulePublish();
}

void CatalogWatcher::removeServer(const std::string& name, Removal removal)
{
    entries_.remove(name, removal, context_.clock.now());
    schedulePublish();
}

void CatalogWatcher::confirmServers(framework::SteadyTime at)
{
    if (entries_.decide(at, servers_.answeringSince()))
        schedulePublish();
    context_.didConfirmServers(at);
}

/// Publishes changes that arrive together only once.
void CatalogWatcher::schedulePublish()
{
    if (std::exchange(isPublishScheduled_, true))
        return;
    context_.control.post([this] { publishServers(); });
}

void CatalogWatcher::publishServers()
{
    isPublishScheduled_ = false;
    if (!servers_.hasListed())
        return;
    entries_.forgetRemoved(context_.clock.now());
    updateUnknownServices();
    entries_.confirmWhereNeeded();
    context_.didListServers(entries_.servers());
}

bool CatalogWatcher::updateUnknownServices() { return configuration_ && entries_.markUnknownServices(*configuration_); }

} // namespace lagoon::direct
