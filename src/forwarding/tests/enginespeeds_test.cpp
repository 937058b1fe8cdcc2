#include "forwarding/enginespeed.h"
#include "forwarding/enginespeeds.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

namespace lagoon::forwarding {

namespace {

using catalog::MegaBytes;
using catalog::UpstreamRun;
using framework::Milliseconds;
using framework::ModelName;

constexpr std::uint64_t prompt = 8000;
constexpr std::size_t engineCount = 48;
constexpr std::size_t modelCount = 16;

UpstreamRun engineOf(std::size_t index) { return { catalog::InstanceId("i-" + std::to_string(index)), std::nullopt }; }

/// Each model has weights of a size of its own.
ReadModel modelOf(std::size_t index) { return { ModelName("m" + std::to_string(index)), MegaBytes(40000 + index) }; }

Milliseconds timeAt(double tokensPerMillisecond)
{
    return Milliseconds(15 + static_cast<std::int64_t>(static_cast<double>(prompt) / tokensPerMillisecond));
}

/// A fleet of which a quarter runs at less than half of the others' speed, with models that differ fourfold.
double trueSpeed(std::size_t engine, std::size_t model)
{
    const double ofEngine = engine % 4 == 0 ? 0.55 : 1.2;
    return promptTokensPerMillisecond * ofEngine / (model % 3 == 0 ? 4.0 : 1.0);
}

/// Each engine is used with three of the models only.
bool isUsed(std::size_t engine, std::size_t model) { return (engine * 5 + model) % modelCount < 3; }

void learn(EngineSpeeds& speeds, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t engine = 0; engine < engineCount; ++engine) {
            for (std::size_t model = 0; model < modelCount; ++model) {
                if (isUsed(engine, model))
                    speeds.didRead(engineOf(engine), modelOf(model), prompt, timeAt(trueSpeed(engine, model)));
            }
        }
    }
}

double estimateRatio(const EngineSpeeds& speeds, std::size_t engine, std::size_t model)
{
    return speeds.tokensPerMillisecond(engineOf(engine), modelOf(model)) / trueSpeed(engine, model);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineSpeedsTests)

BOOST_AUTO_TEST_CASE(withoutSamplesTheAssumedSpeedCounts)
{
    BOOST_TEST(EngineSpeeds().tokensPerMillisecond(engineOf(1), modelOf(1)) == promptTokensPerMillisecond);
}

BOOST_AUTO_TEST_CASE(pairsThatWereNeverUsedHaveAnEstimate)
{
    EngineSpeeds speeds;
    learn(speeds, 12);
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        for (std::size_t model = 0; model < modelCount; ++model) {
            const double ratio = estimateRatio(speeds, engine, model);
            BOOST_TEST((ratio > 0.7 && ratio < 1.4), "engine " << engine << ", model " << model << ": " << ratio);
        }
    }
}

BOOST_AUTO_TEST_CASE(slowEnginesAreToldApartAfterAFewRequests)
{
    EngineSpeeds speeds;
    learn(speeds, 2);
    for (std::size_t model = 0; model < modelCount; ++model)
        BOOST_TEST(speeds.tokensPerMillisecond(engineOf(0), modelOf(model)) * 1.3
            < speeds.tokensPerMillisecond(engineOf(1), modelOf(model)));
}

// Prevents an engine that was slow for a moment from being avoided for long.
BOOST_AUTO_TEST_CASE(aSlowMomentIsFollowedAndLeftWithinAFewRequests)
{
    EngineSpeeds speeds;
    learn(speeds, 12);
    constexpr std::size_t engine = 1;
    constexpr std::size_t model = 5;
    const auto read = [&](double slowness) {
        for (int request = 0; request < 4; ++request)
            speeds.didRead(engineOf(engine), modelOf(model), prompt, timeAt(trueSpeed(engine, model) / slowness));
    };
    read(2.5);
    BOOST_TEST(estimateRatio(speeds, engine, model) < 0.55);
    read(1);
    BOOST_TEST(estimateRatio(speeds, engine, model) > 0.8);
}

// Prevents a single time that was spent waiting for other routers' prompts from making an engine look stopped.
BOOST_AUTO_TEST_CASE(oneLongWaitChangesAnEstimateByItsBoundOnly)
{
    EngineSpeeds speeds;
    learn(speeds, 12);
    speeds.didRead(engineOf(1), modelOf(5), prompt, Milliseconds(60000));
    BOOST_TEST(estimateRatio(speeds, 1, 5) > 0.5);
}

// Answers the load of many rare models beside a few busy ones: a router sees each rare one too seldom to learn its
// speed.
BOOST_AUTO_TEST_CASE(aRareModelIsEstimatedByOthersOfItsSize)
{
    constexpr std::size_t sizes = 3;
    constexpr std::size_t busyModels = 9;
    constexpr std::size_t rareModels = 80;
    constexpr double slowness[sizes] { 0.11, 0.6, 1.2 };
    const auto model = [&](std::size_t index) {
        return ReadModel { ModelName("m" + std::to_string(index)), MegaBytes(40000 + 10000 * (index % sizes)) };
    };
    std::mt19937 random(5);
    std::lognormal_distribution<double> disturbance(0, 0.5);
    EngineSpeeds speeds;
    constexpr int times = 20;
    for (int time = 0; time < times; ++time) {
        const std::size_t index = random() % busyModels;
        const double speed = promptTokensPerMillisecond / slowness[index % sizes] / disturbance(random);
        speeds.didRead(engineOf(random() % engineCount), model(index), prompt, timeAt(speed));
    }
    std::vector<double> ratios;
    for (std::size_t index = busyModels; index < busyModels + rareModels; ++index) {
        const double actual = promptTokensPerMillisecond / slowness[index % sizes];
        ratios.push_back(speeds.tokensPerMillisecond(engineOf(index % engineCount), model(index)) / actual);
    }
    std::sort(ratios.begin(), ratios.end());
    BOOST_TEST(ratios[rareModels / 10] > 0.5);
    BOOST_TEST(ratios[rareModels * 9 / 10] < 2);
}

BOOST_AUTO_TEST_CASE(shortPromptsSayNothing)
{
    EngineSpeeds speeds;
    speeds.didRead(engineOf(1), modelOf(1), 400, Milliseconds(900));
    BOOST_TEST(speeds.engines() == 0U);
}

BOOST_AUTO_TEST_CASE(anEnginesSpeedEndsWithItsRunAndItsModelsIsKept)
{
    EngineSpeeds speeds;
    learn(speeds, 12);
    const double before = speeds.tokensPerMillisecond(engineOf(1), modelOf(3));
    speeds.forget(engineOf(0));
    speeds.forget(engineOf(0));
    BOOST_TEST(speeds.engines() == engineCount - 1);
    const double average = speeds.tokensPerMillisecond(engineOf(0), modelOf(3));
    BOOST_TEST(average > trueSpeed(0, 3));
    BOOST_TEST(average < before);
}

BOOST_AUTO_TEST_CASE(whatIsKeptIsBounded)
{
    EngineSpeeds speeds;
    for (std::size_t index = 0; index < 6000; ++index)
        speeds.didRead(engineOf(index), modelOf(index), prompt, Milliseconds(300));
    BOOST_TEST(speeds.engines() == 1024U);
    BOOST_TEST(speeds.models() == 4096U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
