#include "agent/internal/upstreamcrashes.h"

#include "framework/logging.h"

#include <utility>

namespace lagoon::agent {

using quarantine::EndSign;
using quarantine::EvidenceUpdate;
using quarantine::RequestFingerprint;
using quarantine::RequestQuarantine;
using quarantine::ServerRunId;

namespace {

/// A process that crashes may accept connections for a moment after it has cut the others: its listening socket closes
/// with the thread that waits at it.
constexpr framework::Milliseconds recheckDelay { 50 };
constexpr int rechecks = 4;

} // namespace

UpstreamCrashes::UpstreamCrashes(Context context)
    : context_(std::move(context))
    , sharing_({ context_.control, context_.clock, context_.send })
    , quarantine_(std::make_shared<RequestQuarantine>(
          RequestQuarantine::Context { context_.clock, *context_.metrics, [] {}, [](framework::Deadline) {},
              [this](const EvidenceUpdate& update) { sharing_.share(update); },
              [](const framework::LogLine& line) { framework::logInfo("agent", line.json()); } },
          quarantine::QuarantineSettings {}))
{
}

ServerRunId UpstreamCrashes::idOf(UpstreamRunNumber run) const
{
    return ServerRunId(
        context_.vm.value() + '/' + std::to_string(context_.incarnation.value()) + '/' + std::to_string(run.value()));
}

void UpstreamCrashes::didCut(const RequestFingerprint& request, UpstreamRunNumber run, framework::SteadyTime startedAt)
{
    quarantine_->didCut({ request, idOf(run), startedAt, false });
    // Engines report a restart, but it may be seconds until then, and plain services don't report any.
    checkRun(run);
    recheckLater(run, rechecks);
}

void UpstreamCrashes::recheckLater(UpstreamRunNumber run, int left)
{
    const auto at = framework::Deadline::after(context_.clock.now(), recheckDelay);
    recheckTimer_ = context_.control.runAt(at, [this, run, left] {
        if (run != run_)
            return;
        checkRun(run);
        if (left > 1)
            recheckLater(run, left - 1);
    });
}

void UpstreamCrashes::checkRun() { checkRun(run_); }

void UpstreamCrashes::checkRun(UpstreamRunNumber run)
{
    context_.probe([this, run](bool accepts) {
        if (!accepts)
            didEndRun(run, EndSign::Refused);
    });
}

void UpstreamCrashes::didRestart() { didEndRun(run_, EndSign::Restarted); }

void UpstreamCrashes::didEndRun(UpstreamRunNumber run, EndSign sign)
{
    quarantine_->expire();
    quarantine_->didEndRun(idOf(run), sign);
    if (run == run_)
        run_ = UpstreamRunNumber(run_.value() + 1);
}

void UpstreamCrashes::didAnswer(framework::SteadyTime startedAt)
{
    if (quarantine_->hasSuspects())
        quarantine_->didAnswer(idOf(run_), startedAt);
}

void UpstreamCrashes::receive(const wire::fb::CrashEvidenceT& evidence) { sharing_.receive(evidence); }

} // namespace lagoon::agent
