#include "wire/types/message.h"

#include <algorithm>
#include <flatbuffers/flatbuffers.h>

namespace lagoon::wire {

namespace {

using framework::Error;
using framework::ErrorCode;

/// Frames whose tables are nested deeper than this, or that contain more tables, are refused.
constexpr unsigned maxDepth = 8;
constexpr unsigned maxTables = 100000;

Error badFrame(std::string detail) { return Error { ErrorCode::BadFrame, "decode frame", "", std::move(detail) }; }

bool isTargetWellFormed(const std::unique_ptr<fb::TargetT>& target)
{
    return target && target->model.empty() != target->service.empty();
}

template <typename Table> bool hasId(const Table* table) { return table && table->id; }

template <typename Table> bool areNonNull(const std::vector<std::unique_ptr<Table>>& tables)
{
    return std::all_of(tables.begin(), tables.end(), [](const auto& table) { return table != nullptr; });
}

bool hasAllParts(const fb::EngineStateT& state) { return areNonNull(state.held) && areNonNull(state.expected); }

bool hasAllParts(const fb::CrashEvidenceT& evidence)
{
    return areNonNull(evidence.crashes) && areNonNull(evidence.trials) && areNonNull(evidence.clearances)
        && std::all_of(evidence.crashes.begin(), evidence.crashes.end(),
            [](const auto& crash) { return areNonNull(crash->suspects); });
}

/// Returns whether all ids and targets are present, since handlers dereference them without checks.
bool isComplete(const fb::BodyUnion& body)
{
    switch (body.type) {
    case fb::Body::Dispatch:
        return hasId(body.AsDispatch()) && isTargetWellFormed(body.AsDispatch()->target);
    case fb::Body::Cancel:
        return hasId(body.AsCancel());
    case fb::Body::Resolve:
        return hasId(body.AsResolve());
    case fb::Body::Refused:
        return hasId(body.AsRefused()) && body.AsRefused()->code < framework::errorCodeCount
            && body.AsRefused()->execution <= 1;
    case fb::Body::AnswerHead:
        return hasId(body.AsAnswerHead());
    case fb::Body::AnswerChunk:
        return hasId(body.AsAnswerChunk());
    case fb::Body::AnswerEnd:
        return hasId(body.AsAnswerEnd());
    case fb::Body::BidRequest:
        return isTargetWellFormed(body.AsBidRequest()->target);
    case fb::Body::Bid:
        return body.AsBid()->refusal < framework::errorCodeCount;
    case fb::Body::Load:
        return isTargetWellFormed(body.AsLoad()->target);
    case fb::Body::LoadResult:
        return body.AsLoadResult()->code < framework::errorCodeCount;
    case fb::Body::Wake:
        return isTargetWellFormed(body.AsWake()->target);
    case fb::Body::WakeResult:
        return isTargetWellFormed(body.AsWakeResult()->target) && body.AsWakeResult()->code < framework::errorCodeCount;
    case fb::Body::EngineState:
        return hasAllParts(*body.AsEngineState());
    case fb::Body::Wanted:
        return areNonNull(body.AsWanted()->models);
    case fb::Body::CrashEvidence:
        return hasAllParts(*body.AsCrashEvidence());
    case fb::Body::StreamOrigins:
        return areNonNull(body.AsStreamOrigins()->versions);
    case fb::Body::ServerPermits:
        return areNonNull(body.AsServerPermits()->limits) && areNonNull(body.AsServerPermits()->asked)
            && areNonNull(body.AsServerPermits()->answered);
    case fb::Body::CustomerQuotas:
        return areNonNull(body.AsCustomerQuotas()->asked) && areNonNull(body.AsCustomerQuotas()->returned)
            && areNonNull(body.AsCustomerQuotas()->charged);
    case fb::Body::Hello:
    case fb::Body::HelloAck:
    case fb::Body::Ping:
    case fb::Body::Pong:
    case fb::Body::Settle:
    case fb::Body::EngineLoad:
    case fb::Body::CustomerUse:
        return true;
    case fb::Body::NONE:
        return false;
    }
    return false;
}

} // namespace

std::vector<std::uint8_t> encode(const Message& message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::Frame::Pack(builder, &message));
    // FlatBuffers' own size prefix is not used, since it aligns the content for a buffer that includes the prefix,
    // while the reader's buffer contains the content alone.
    std::vector<std::uint8_t> bytes(lengthPrefixBytes + builder.GetSize());
    for (std::size_t index = 0; index < lengthPrefixBytes; ++index)
        bytes[index] = static_cast<std::uint8_t>(builder.GetSize() >> (8 * index));
    std::copy_n(builder.GetBufferPointer(), builder.GetSize(), bytes.begin() + lengthPrefixBytes);
    return bytes;
}

framework::Result<Message> decode(const std::uint8_t* bytes, std::size_t size)
{
    flatbuffers::Verifier verifier(bytes, size, maxDepth, maxTables);
    if (!fb::VerifyFrameBuffer(verifier))
        return badFrame("not a well-formed FlatBuffer");
    Message message;
    fb::GetFrame(bytes)->UnPackTo(&message);
    if (!isComplete(message.body))
        return badFrame("unknown type or missing part, type " + std::to_string(static_cast<int>(message.body.type)));
    return message;
}

std::string targetText(const fb::TargetT& target)
{
    if (!target.service.empty())
        return "service:" + target.service;
    return target.adapter.empty() ? target.model : target.model + "/" + target.adapter;
}

} // namespace lagoon::wire
