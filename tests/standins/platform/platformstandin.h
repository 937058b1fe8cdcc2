#pragma once

#include "standins/common/standinprogram.h"
#include "standins/platform/objecttable.h"
#include "standins/platform/vmtable.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace lagoon::standins {

/// The platform's object API and VM list. Faults:
/// - `mode`: `up`, `refuse` (503) or `hang` (no answer until it is up again, then the connection is closed)
/// - `slow_ms`: each call takes so much longer
/// - `lose_answers` `{"count", "prefix"}`: so many applied writes of keys with the prefix get no answer
/// - `vms_frozen`, `vms_late_ms`: the list stays as it is; changes show later
///
/// `PUT /standin/vms` sets the list.
class PlatformStandin final : public IStandin {
public:
    void answer(Exchange&) override;
    framework::Result<void> setFaults(const web::json::value&) override;
    web::json::value record() override;

private:
    enum class Mode : std::uint8_t { Up, Refuse, Hang };

    void answerObject(Exchange&, const std::string& key);
    void get(Exchange&, const std::string& key);
    void watch(Exchange&, const std::string& key);
    void put(Exchange&, const std::string& key);
    void remove(Exchange&, const std::string& key);
    void list(Exchange&);
    void listVms(Exchange&);
    void setVms(Exchange&);

    void countCall(const std::string& kind);
    /// Waits out slowness and a hang; true if the call has been answered by a fault.
    bool injectOutage(Exchange&);
    bool tryTakeAnswerLoss(const std::string& key);
    void finishWrite(Exchange&, const std::string& key, WriteOutcome, std::uint64_t version);

    std::mutex mutex_;
    std::condition_variable changed_;
    ObjectTable objects_;
    VmTable vms_;
    Mode mode_ = Mode::Up;
    framework::Milliseconds callDelay_ { 0 };
    framework::Milliseconds vmListDelay_ { 0 };
    std::uint64_t answersToLose_ = 0;
    std::string answerLossPrefix_;
    std::uint64_t lostAnswers_ = 0;
    std::map<std::string, std::uint64_t> calls_;
};

} // namespace lagoon::standins
