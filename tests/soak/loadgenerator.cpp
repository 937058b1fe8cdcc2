#include "soak/loadgenerator.h"

#include "fleet/fleet.h"

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// Beyond the deadline: a router has to answer by then.
constexpr Milliseconds patienceBeyond { 2000 };
/// One in so many requests, the caller ends its connection by itself, so that routers that come back get callers.
constexpr std::uint64_t requestsPerConnection = 20;
constexpr Milliseconds noRouterPause { 20 };

} // namespace

bool mayRepeat(const std::string& kind) { return kind == "/get/" || kind == "/resume/"; }

bool isStream(const std::string& kind) { return kind == "/model/" || kind == "/resume/"; }

LoadGenerator::LoadGenerator(
    const SoakSettings& settings, const RunParameters& parameters, const LoadBalancer& balancer)
    : settings_(settings)
    , parameters_(parameters)
    , balancer_(balancer)
{
    for (std::size_t number = 0; number < parameters_.callers; ++number)
        threads_.emplace_back([this, number] { loop(number); });
}

LoadGenerator::~LoadGenerator() { (void)stop(); }

std::vector<SentRequest> LoadGenerator::stop()
{
    isOver_ = true;
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
    return std::move(sent_);
}

void LoadGenerator::loop(std::size_t number)
{
    std::mt19937_64 random(settings_.seed * 1000 + number);
    Caller caller(parameters_.deadline + patienceBeyond);
    SentRequest sent;
    for (int request = 0; !isOver_; ++request) {
        if (!caller.isConnected()) {
            const auto choice = balancer_.choose(random);
            if (!choice || !caller.connect(choice->endpoint)) {
                std::this_thread::sleep_for(noRouterPause);
                continue;
            }
            sent.router = choice->router;
            sent.connectedAt = std::chrono::steady_clock::now();
        }
        sent.attempt
            = "s" + std::to_string(settings_.seed) + "-" + std::to_string(number) + "-" + std::to_string(request);
        const std::string asked = text(sent, random);
        sent.outcome = caller.ask(asked);
        {
            const std::lock_guard lock(mutex_);
            sent_.push_back(sent);
        }
        if (random() % requestsPerConnection == 0)
            caller.close();
        std::this_thread::sleep_for(Milliseconds(random() % 8));
    }
}

std::string LoadGenerator::text(SentRequest& sent, std::mt19937_64& random) const
{
    const std::string adapter = "warm/a1";
    sent.kind = requestKinds[random() % requestKinds.size()];
    fleet::CallerRequest made;
    made.method = sent.kind == "/get/" ? "GET" : "POST";
    made.target = sent.kind + sent.attempt;
    made.attempt = sent.attempt;
    made.deadlineMs = static_cast<int>(parameters_.deadline.count());
    made.keepsAlive = true;
    made.prompt = std::to_string(random() % 5) + ":50";
    if (isStream(sent.kind)) {
        const std::size_t which = random() % (parameters_.models.size() + 1);
        made.model = which < parameters_.models.size() ? parameters_.models[which] : adapter;
    }
    return made.text();
}

} // namespace lagoon::soak
