#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace lagoon::framework {

/// A value of its own type, so that it can't be confused with others of the same representation. `Tag` only
/// distinguishes the types; there are no implicit conversions in either direction.
template <typename Tag, typename Representation> class StrongType {
public:
    StrongType() = default;
    explicit StrongType(Representation value)
        : value_(std::move(value))
    {
    }

    const Representation& value() const { return value_; }

    friend auto operator<=>(const StrongType&, const StrongType&) = default;
    friend std::ostream& operator<<(std::ostream& stream, const StrongType& id) { return stream << id.value_; }

private:
    Representation value_ {};
};

} // namespace lagoon::framework

template <typename Tag, typename Representation> struct std::hash<lagoon::framework::StrongType<Tag, Representation>> {
    std::size_t operator()(const lagoon::framework::StrongType<Tag, Representation>& id) const
    {
        return std::hash<Representation> {}(id.value());
    }
};
