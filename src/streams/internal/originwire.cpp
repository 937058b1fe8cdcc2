#include "streams/originwire.h"

#include <algorithm>
#include <cstring>
#include <memory>

namespace lagoon::streams {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

std::uint32_t wireTime(Milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

wire::fb::AttemptKey toStruct(const AttemptKey& attempt)
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::memcpy(&high, attempt.bytes().data(), sizeof high);
    std::memcpy(&low, attempt.bytes().data() + sizeof high, sizeof low);
    return { high, low };
}

AttemptKey fromStruct(const wire::fb::AttemptKey& key)
{
    AttemptKey::Bytes bytes {};
    const std::uint64_t high = key.high();
    const std::uint64_t low = key.low();
    std::memcpy(bytes.data(), &high, sizeof high);
    std::memcpy(bytes.data() + sizeof high, &low, sizeof low);
    return AttemptKey(bytes);
}

/// Returns the origin's number in the frame, from 1, and adds it to the frame if it isn't there; 0 for an unknown one.
std::uint32_t numberOf(const std::optional<StreamOrigin>& origin, wire::fb::StreamOriginsT& body)
{
    if (!origin)
        return 0;
    for (std::size_t index = 0; index < body.versions.size(); ++index) {
        const wire::fb::ServiceVersionT& listed = *body.versions[index];
        if (listed.service == origin->service.value() && listed.version == origin->version.name())
            return static_cast<std::uint32_t>(index + 1);
    }
    auto added = std::make_unique<wire::fb::ServiceVersionT>();
    added->service = origin->service.value();
    added->version = origin->version.name();
    body.versions.push_back(std::move(added));
    return static_cast<std::uint32_t>(body.versions.size());
}

} // namespace

wire::Message toWire(const OriginUpdate& update, SteadyTime now)
{
    wire::fb::StreamOriginsT body;
    for (const DispatchRecord& record : update.dispatches) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - record.at);
        body.dispatches.emplace_back(toStruct(record.attempt), record.dispatch, wireTime(age),
            wireTime(record.keptUntil.remaining(now)), numberOf(record.origin, body));
    }
    for (const AttemptKey& attempt : update.asked)
        body.asked.push_back(toStruct(attempt));
    for (const AttemptKey& attempt : update.unknown)
        body.unknown.push_back(toStruct(attempt));
    return wire::message(std::move(body));
}

OriginUpdate fromWire(const wire::fb::StreamOriginsT& body, SteadyTime now)
{
    OriginUpdate update;
    for (const wire::fb::DispatchedTo& dispatched : body.dispatches) {
        const std::uint32_t number = dispatched.version();
        if (number > body.versions.size())
            continue;
        DispatchRecord record { fromStruct(dispatched.attempt()), dispatched.dispatch(), std::nullopt,
            now - Milliseconds(dispatched.ms_ago()),
            framework::Deadline::after(now, std::min(maxRecordAge, Milliseconds(dispatched.keep_ms()))) };
        if (number > 0) {
            const wire::fb::ServiceVersionT& listed = *body.versions[number - 1];
            record.origin
                = StreamOrigin { framework::ServiceName(listed.service), catalog::SoftwareVersion(listed.version) };
        }
        update.dispatches.push_back(std::move(record));
    }
    for (const wire::fb::AttemptKey& attempt : body.asked)
        update.asked.push_back(fromStruct(attempt));
    for (const wire::fb::AttemptKey& attempt : body.unknown)
        update.unknown.push_back(fromStruct(attempt));
    return update;
}

} // namespace lagoon::streams
