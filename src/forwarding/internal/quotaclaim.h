#pragma once

#include "quotas/icustomerquotas.h"

#include <functional>
#include <optional>

namespace lagoon::forwarding {

struct JobSpec;

/// What one request uses of its customer's quota, from its receipt to its end.
class QuotaClaim {
public:
    explicit QuotaClaim(quotas::ICustomerQuotas&);
    /// Withdraws the draw if there is no reply yet.
    ~QuotaClaim();
    QuotaClaim(const QuotaClaim&) = delete;
    QuotaClaim& operator=(const QuotaClaim&) = delete;

    /// Asks for the request's part. Returns false, and does nothing, if its customer has no limit. The handler is
    /// called once, unless this object is destroyed before.
    [[nodiscard]] bool ask(const JobSpec&, std::function<void(const quotas::DrawReply&)>);
    bool isOpen() const { return pending_.has_value(); }
    /// The request is sent again after it may have run.
    void didRepeat();
    /// What was sent last has surely not run.
    void didNotRun();
    /// The request has its final answer.
    void didEnd(bool hasSurelyNeverRun);

private:
    void didReply(const quotas::DrawReply&, const std::function<void(const quotas::DrawReply&)>&);

    quotas::ICustomerQuotas& quotas_;
    std::optional<quotas::QuotaDraw> draw_;
    std::optional<quotas::DrawNumber> pending_;
    bool isGranted_ = false;
    bool hasRepeated_ = false;
    /// A repeat was charged that has not run.
    bool isRepeatUnused_ = false;
};

} // namespace lagoon::forwarding
