#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace lagoon::framework {

/// Notifies subscribers of changes: `send` calls them synchronously, in the order in which they subscribed. To be used
/// on one thread (the control thread); all subscriptions have to precede the first `send`.
template <typename... Arguments> class Channel {
public:
    using Subscriber = std::function<void(const Arguments&...)>;

    void subscribe(Subscriber subscriber) { subscribers_.push_back(std::move(subscriber)); }

    void send(const Arguments&... arguments) const
    {
        for (const Subscriber& subscriber : subscribers_)
            subscriber(arguments...);
    }

private:
    std::vector<Subscriber> subscribers_;
};

} // namespace lagoon::framework
