#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace lagoon::framework {

/// A change notice: the owner sends, those that subscribed are called at once, in the order they subscribed.
/// Belongs to one thread (the control thread); subscribe before the first send.
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
