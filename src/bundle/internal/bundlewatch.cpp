#include "bundle/bundlewatch.h"

#include "bundle/bundlehead.h"
#include "bundle/storedbundle.h"
#include "framework/eventloop.h"
#include "framework/iclock.h"
#include "framework/logging.h"
#include "framework/randomid.h"
#include "objectstore/backoff.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace lagoon::bundle {

namespace {

using framework::BundleVersion;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Milliseconds;
using framework::ObjectVersion;
using framework::Result;
using objectstore::StoredObject;

constexpr Milliseconds headTimeout { 5000 };
constexpr Milliseconds loadTimeout { 20000 };

class BundleWatch final : public IBundleWatch, public std::enable_shared_from_this<BundleWatch> {
public:
    BundleWatch(HeadMode mode, std::shared_ptr<objectstore::IObjectStore> store, framework::IControlExecutor& control,
        std::shared_ptr<framework::Metrics> metrics, BundleWatchTimes times)
        : mode_(mode)
        , store_(std::move(store))
        , control_(control)
        , metrics_(std::move(metrics))
        , times_(times)
        , backoff_(times.initialRetryDelay, times.maxRetryDelay, framework::randomNumber())
        , random_(framework::randomNumber())
    {
    }

    ~BundleWatch() override { stop(); }

    BundlePointer current() const override { return current_; }
    framework::Channel<BundlePointer>& changed() override { return changed_; }

    void observeVersion(BundleVersion version) override
    {
        const std::lock_guard lock(mutex_);
        if (version <= observedVersion_)
            return;
        observedVersion_ = version;
        wake_.notify_all();
    }

    void start() override
    {
        thread_ = std::jthread([this](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                try {
                    run(stop);
                } catch (...) {
                    framework::reportException("the watch of the bundle");
                    pause(backoff_.next(std::nullopt), stop);
                }
            }
        });
    }

    void stop() override
    {
        thread_.request_stop();
        if (thread_.joinable())
            thread_.join();
    }

private:
    void run(const std::stop_token& stop)
    {
        while (!stop.stop_requested()) {
            const Result<void> result = runOnce(stop);
            if (stop.stop_requested())
                return;
            if (result) {
                recordSuccess();
                backoff_.reset();
                continue;
            }
            recordFailure(result.error());
            pause(backoff_.next(result.error().retryAfter), stop);
        }
    }

    Result<void> runOnce(const std::stop_token& stop)
    {
        if (isBehind())
            return readHead(stop);
        if (mode_ == HeadMode::Watch)
            return watchHead(stop);
        // Poll intervals are random already, so only reads after a notification need jitter.
        if (waitForNotification(stop))
            delayForReadJitter(stop);
        if (stop.stop_requested())
            return framework::success();
        return readHead(stop);
    }

    Result<void> readHead(const std::stop_token& stop)
    {
        BOOST_OUTCOME_TRY(object, store_->get(bundleHeadKey(), after(headTimeout)));
        if (object)
            return applyHead(*object, stop);
        if (mode_ == HeadMode::Watch && observedVersion() == BundleVersion())
            return watchHead(stop);
        return Error { ErrorCode::NotFound, "read bundle head", bundleHeadKey().value(),
            "no bundle has been rolled out yet" };
    }

    Result<void> watchHead(const std::stop_token& stop)
    {
        BOOST_OUTCOME_TRY(object, store_->watch(bundleHeadKey(), headObjectVersion_, after(times_.watch), stop));
        if (!object)
            return framework::success();
        delayForReadJitter(stop);
        return applyHead(*object, stop);
    }

    Result<void> applyHead(const StoredObject& object, const std::stop_token& stop)
    {
        BOOST_OUTCOME_TRY(head, parseBundleHead(object.value));
        // Prevents a return to models and counts that operators have replaced: the platform may show an older head,
        // from a lagging replica or after a restore. The minimum is the version that this process has loaded, or the
        // highest version that any peer has reported if it hasn't loaded one yet.
        if (head.version < minVersion()) {
            metrics_->count("lagoon_bundle_older_heads_total");
            return olderHead(head);
        }
        if (!loaded_ || head.version != loaded_->bundle->version) {
            BOOST_OUTCOME_TRYV(applyBundle(head, stop));
        }
        if (head.digest != loaded_->digest)
            return Error { ErrorCode::BadBundle, "read bundle head", bundleHeadKey().value(),
                "the head has another digest than the loaded bundle of the same version" };
        headObjectVersion_ = object.version;
        if (isBehind())
            return olderHead(head);
        return framework::success();
    }

    static Error olderHead(const BundleHead& head)
    {
        return Error { ErrorCode::PlatformUnavailable, "read bundle head", bundleHeadKey().value(),
            "the platform returned version " + std::to_string(head.version.value())
                + ", but a newer version is known" };
    }

    Result<void> applyBundle(const BundleHead& head, const std::stop_token& stop)
    {
        BOOST_OUTCOME_TRY(loaded, loadBundle(*store_, head, loaded_ ? &*loaded_ : nullptr, after(loadTimeout), stop));
        loaded_ = std::move(loaded);
        current_ = loaded_->bundle;
        metrics_->setGauge("lagoon_bundle_version", static_cast<double>(head.version.value()));
        metrics_->count("lagoon_bundle_changes_total");
        framework::logInfo("bundle", "version " + std::to_string(head.version.value()) + " is in force");
        control_.post([weak = weak_from_this(), bundle = loaded_->bundle] {
            if (const auto self = weak.lock())
                self->changed_.send(bundle);
        });
        return framework::success();
    }

    BundleVersion loadedVersion() const { return loaded_ ? loaded_->bundle->version : BundleVersion(); }
    BundleVersion minVersion() const { return loaded_ ? loadedVersion() : observedVersion(); }
    bool isBehind() const { return !loaded_ || observedVersion() > loadedVersion(); }

    BundleVersion observedVersion() const
    {
        const std::lock_guard lock(mutex_);
        return observedVersion_;
    }

    static Deadline after(Milliseconds duration) { return Deadline::after(framework::SystemClock().now(), duration); }

    Milliseconds randomDelay(Milliseconds minimum, Milliseconds maximum)
    {
        std::uniform_int_distribution<std::int64_t> distribution(minimum.count(), maximum.count());
        return Milliseconds(distribution(random_));
    }

    /// Prevents the whole fleet from reading a new bundle at the same time, which would exceed the number of calls that
    /// the platform serves in a second.
    void delayForReadJitter(const std::stop_token& stop)
    {
        if (!loaded_)
            return;
        const auto parts = static_cast<std::int64_t>(loaded_->manifest.parts.size());
        pause(randomDelay(Milliseconds(0), std::min(times_.readJitterPerPart * parts, times_.maxReadJitter)), stop);
    }

    bool waitForNotification(const std::stop_token& stop)
    {
        const Milliseconds wait = randomDelay(times_.poll * 2 / 3, times_.poll * 4 / 3);
        std::unique_lock lock(mutex_);
        return wake_.wait_for(lock, stop, wait, [this] { return observedVersion_ > loadedVersion(); });
    }

    void pause(Milliseconds wait, const std::stop_token& stop)
    {
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, stop, wait, [] { return false; });
    }

    void recordFailure(const Error& error)
    {
        const std::string code(framework::errorCodeText(error.code));
        metrics_->count("lagoon_bundle_read_failures_total", { { "code", code } });
        if (std::exchange(isReachable_, false))
            framework::logWarning("bundle", "failed to read the bundle: " + describe(error));
    }

    void recordSuccess()
    {
        if (!std::exchange(isReachable_, true))
            framework::logInfo("bundle", "reading the bundle succeeds again");
    }

    const HeadMode mode_;
    std::shared_ptr<objectstore::IObjectStore> store_;
    framework::IControlExecutor& control_;
    std::shared_ptr<framework::Metrics> metrics_;
    const BundleWatchTimes times_;
    framework::Channel<BundlePointer> changed_;
    std::atomic<BundlePointer> current_;

    mutable std::mutex mutex_;
    std::condition_variable_any wake_;
    /// The highest version that any peer has reported.
    BundleVersion observedVersion_;

    // The following members are used on `thread_` only.
    objectstore::Backoff backoff_;
    std::mt19937_64 random_;
    std::optional<LoadedBundle> loaded_;
    /// Version of the head object that `loaded_` was loaded from.
    ObjectVersion headObjectVersion_;
    bool isReachable_ = true;
    std::jthread thread_;
};

} // namespace

std::shared_ptr<IBundleWatch> makeBundleWatch(HeadMode mode, std::shared_ptr<objectstore::IObjectStore> store,
    framework::IControlExecutor& control, std::shared_ptr<framework::Metrics> metrics, BundleWatchTimes times)
{
    return std::make_shared<BundleWatch>(mode, std::move(store), control, std::move(metrics), times);
}

} // namespace lagoon::bundle
