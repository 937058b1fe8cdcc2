#pragma once

#include "standins/common/standinprogram.h"
#include "standins/platform/objecttable.h"
#include "standins/platform/vmtable.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace lagoon::standins {

/// The platform's object API and VM list. Faults:
/// - `mode`: `up`, `refuse` (503) or `hang` (calls get no answer; their connections are closed when the mode changes)
/// - `slow_ms`: added to the time of each call
/// - `lose_answers` `{"count", "prefix"}`: the next `count` writes to keys with the prefix are applied but not
///   answered
/// - `vms_frozen`: whether the VM list that callers see stays as it is
/// - `vms_late_ms`: the time after which callers see a change of the VM list
///
/// `PUT /standin/vms` sets the VM list.
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
    /// Delays the call and applies the mode. Returns true if the call is over: refused, or its connection closed after
    /// a hang.
    bool injectOutage(Exchange&);
    /// Returns whether the answer to an applied write of this key is to be lost, and counts it.
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
