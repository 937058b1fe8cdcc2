#include "quarantinefixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace lagoon::quarantine {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

constexpr Milliseconds step { 10 };
constexpr Milliseconds restartTime { 3000 };
constexpr Milliseconds timeToCrash { 60 };

struct Scenario {
    int servers = 9;
    int seconds = 120;
    /// Ordinary requests per second, each with a fingerprint of its own, and how long they take.
    double ordinary = 20;
    Milliseconds ordinaryTime { 1500 };
    /// Requests per second that share one fingerprint.
    double popular = 0;
    Milliseconds popularTime { 60 };
    /// Copies per second of a request that crashes its servers.
    double poison = 0;
    /// Each of the servers crashes by itself so often per second, on average.
    double crashes = 0;
    /// All servers of the first half crash at the same moment, this often per second.
    double rackLosses = 0;
    /// How many servers a request is sent to at most, and how often its caller sends it again if all of them crash.
    int maxAttempts = 2;
    int callerRetries = 0;
};

struct Outcome {
    int poisonCrashes = 0;
    std::set<RequestFingerprint> wronglyQuarantined;
    int wrongRefusals = 0;
    int served = 0;
    int ended = 0;
    /// The longest time for which an innocent request was held back.
    Milliseconds longestWait { 0 };
};

/// A router and its servers in simulated time: requests are sent to a random server, retried once if their server
/// crashes, and held back or refused as the quarantine says.
class Simulation : private QuarantineFixture {
public:
    Simulation(const Scenario& scenario, unsigned seed)
        : scenario_(scenario)
        , random_(seed)
        , runs_(static_cast<std::size_t>(scenario.servers))
    {
        for (Server& server : runs_)
            server.run = newServer();
        quarantine->setServers(runs_.size());
    }

    Outcome play()
    {
        const SteadyTime end = clock.now() + std::chrono::seconds(scenario_.seconds);
        while (clock.now() < end) {
            arrive();
            crashByChance();
            sendWaiting();
            run();
            clock.advance(step);
        }
        return outcome_;
    }

private:
    struct Server {
        ServerRunId run;
        framework::Deadline upAt;
        bool isUnconfirmed = false;
        framework::Deadline confirmedAt;
    };

    struct Job {
        RequestFingerprint request;
        bool isPoison = false;
        Milliseconds takes { 0 };
        SteadyTime arrivedAt {};
        int attempts = 0;
        int callerRetries = 0;
        std::size_t server = 0;
        bool isRunning = false;
        SteadyTime sentAt {};
        std::shared_ptr<TrialGuard> trial;
    };

    bool happens(double perSecond)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < perSecond * static_cast<double>(step.count()) / 1000;
    }

    void add(const RequestFingerprint& fingerprint, Milliseconds takes, bool isPoison = false)
    {
        Job job;
        job.request = fingerprint;
        job.takes = takes;
        job.isPoison = isPoison;
        job.arrivedAt = clock.now();
        jobs_.push_back(std::move(job));
    }

    void arrive()
    {
        if (happens(scenario_.ordinary)) {
            RequestFingerprint::Bytes bytes {};
            std::uint64_t rest = ++ordinary_;
            for (std::size_t index = 1; index < bytes.size(); ++index) {
                bytes[index] = static_cast<std::uint8_t>(rest & 0xff);
                rest >>= 8;
            }
            add(RequestFingerprint(bytes), scenario_.ordinaryTime);
        }
        if (happens(scenario_.popular))
            add(request(100), scenario_.popularTime);
        if (happens(scenario_.poison))
            add(request(200), timeToCrash, true);
    }

    bool isUp(const Server& server) const { return server.upAt.hasPassed(clock.now()); }

    void crashServer(std::size_t index)
    {
        Server& server = runs_[index];
        if (!isUp(server))
            return;
        for (Job& job : jobs_) {
            if (!job.isRunning || job.server != index)
                continue;
            job.isRunning = false;
            cut(job.request, server.run, job.sentAt);
            job.trial.reset();
        }
        server.upAt = framework::Deadline::after(clock.now(), restartTime);
        server.isUnconfirmed = true;
        server.confirmedAt = framework::Deadline::after(clock.now(), Milliseconds(200));
    }

    void crashByChance()
    {
        for (std::size_t index = 0; index < runs_.size(); ++index) {
            if (happens(scenario_.crashes))
                crashServer(index);
        }
        if (!happens(scenario_.rackLosses))
            return;
        for (std::size_t index = 0; index < runs_.size() / 2; ++index)
            crashServer(index);
    }

    std::optional<std::size_t> chooseServer(const RequestFingerprint& fingerprint)
    {
        std::vector<std::size_t> up;
        std::vector<std::size_t> apart;
        for (std::size_t index = 0; index < runs_.size(); ++index) {
            if (!isUp(runs_[index]))
                continue;
            up.push_back(index);
            if (!quarantine->hasOtherTrial(runs_[index].run, fingerprint))
                apart.push_back(index);
        }
        const bool isSuspect = quarantine->standing(fingerprint) != nullptr;
        const bool isApart = isSuspect && (!apart.empty() || quarantine->mustRunApart(fingerprint));
        const std::vector<std::size_t>& from = isApart ? apart : up;
        if (from.empty())
            return std::nullopt;
        return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random_)];
    }

    void sendWaiting()
    {
        for (Job& job : jobs_) {
            if (job.isRunning)
                continue;
            const Admission admission = quarantine->admit(job.request);
            if (admission == Admission::Quarantined || job.attempts == scenario_.maxAttempts) {
                refuse(job, admission == Admission::Quarantined);
                continue;
            }
            if (admission == Admission::Wait) {
                if (!job.isPoison)
                    outcome_.longestWait = std::max(
                        outcome_.longestWait, std::chrono::duration_cast<Milliseconds>(clock.now() - job.arrivedAt));
                continue;
            }
            const auto server = chooseServer(job.request);
            if (!server)
                continue;
            ++job.attempts;
            job.server = *server;
            job.isRunning = true;
            job.sentAt = clock.now();
            if (admission == Admission::Trial)
                job.trial = quarantine->beginTrial(job.request, runs_[*server].run);
        }
        removeEnded();
    }

    void refuse(Job& job, bool isQuarantined)
    {
        if (!isQuarantined && job.callerRetries++ < scenario_.callerRetries) {
            job.attempts = 0;
            return;
        }
        job.takes = Milliseconds(-1);
        if (job.isPoison)
            return;
        ++outcome_.ended;
        if (!isQuarantined)
            return;
        ++outcome_.wrongRefusals;
        outcome_.wronglyQuarantined.insert(job.request);
    }

    void run()
    {
        for (Job& job : jobs_) {
            if (!job.isRunning || clock.now() - job.sentAt < job.takes)
                continue;
            if (job.isPoison) {
                ++outcome_.poisonCrashes;
                crashServer(job.server);
                continue;
            }
            job.isRunning = false;
            job.takes = Milliseconds(-1);
            job.trial.reset();
            quarantine->didServe(job.request);
            ++outcome_.served;
            ++outcome_.ended;
        }
        removeEnded();
        for (Server& server : runs_) {
            if (server.isUnconfirmed && server.confirmedAt.hasPassed(clock.now())) {
                quarantine->didEndRun(server.run, EndSign::Refused);
                server.isUnconfirmed = false;
                server.run = newServer();
            }
        }
    }

    void removeEnded()
    {
        std::erase_if(jobs_, [](const Job& job) { return job.takes.count() < 0; });
    }

    Scenario scenario_;
    std::mt19937 random_;
    std::vector<Server> runs_;
    std::vector<Job> jobs_;
    std::uint64_t ordinary_ = 0;
    Outcome outcome_;
};

constexpr unsigned seeds = 20;

void report(const char* name, unsigned seed, const Outcome& outcome)
{
    BOOST_TEST_MESSAGE(name << " seed " << seed << ": poison crashes " << outcome.poisonCrashes
                            << ", wrongly quarantined " << outcome.wronglyQuarantined.size() << " with "
                            << outcome.wrongRefusals << " refusals, served " << outcome.served << " of "
                            << outcome.ended << ", longest wait " << outcome.longestWait.count() << " ms");
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashStorms)

// Prevents innocent requests from being quarantined while many servers crash by themselves, also under a popular one.
BOOST_AUTO_TEST_CASE(noRequestIsQuarantinedInACrashStorm)
{
    Scenario scenario;
    scenario.popular = 20;
    scenario.crashes = 0.1;
    scenario.rackLosses = 0.1;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = Simulation(scenario, seed).play();
        report("storm", seed, outcome);
        BOOST_TEST(outcome.wrongRefusals == 0);
        BOOST_TEST(outcome.longestWait.count() <= 5000);
    }
}

// Prevents the requests that share the crashed servers with a poison request from being quarantined with it.
BOOST_AUTO_TEST_CASE(onlyThePoisonRequestIsQuarantined)
{
    Scenario scenario;
    scenario.popular = 20;
    scenario.poison = 2;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = Simulation(scenario, seed).play();
        report("poison", seed, outcome);
        BOOST_TEST(outcome.poisonCrashes <= 4);
        BOOST_TEST(outcome.wrongRefusals == 0);
    }
}

// Prevents long requests at few servers from being quarantined with the poison request that they often meet.
BOOST_AUTO_TEST_CASE(requestsThatOftenMeetThePoisonRequestAreNotQuarantined)
{
    Scenario scenario;
    scenario.servers = 3;
    scenario.ordinary = 5;
    scenario.ordinaryTime = Milliseconds(4000);
    scenario.poison = 5;
    scenario.crashes = 0.02;
    scenario.maxAttempts = 3;
    scenario.callerRetries = 5;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = Simulation(scenario, seed).play();
        report("few", seed, outcome);
        BOOST_TEST(outcome.poisonCrashes <= 6);
        BOOST_TEST(outcome.wrongRefusals == 0);
    }
}

// Both kinds mixed: a poison request in a crash storm.
BOOST_AUTO_TEST_CASE(aPoisonRequestIsFoundInACrashStorm)
{
    Scenario scenario;
    scenario.popular = 20;
    scenario.poison = 2;
    scenario.crashes = 0.05;
    scenario.rackLosses = 0.05;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = Simulation(scenario, seed).play();
        report("both", seed, outcome);
        BOOST_TEST(outcome.poisonCrashes <= 6);
        BOOST_TEST(outcome.wrongRefusals == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::quarantine
