#include "soak/loadgenerator.h"

#include "fleet/fleet.h"

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// A router has to answer within this time after the request's deadline.
constexpr Milliseconds timeoutBeyondDeadline { 2000 };
/// On average, a caller closes its connection after this many requests, so that restarted routers get callers again.
constexpr std::uint64_t requestsPerConnection = 20;
constexpr Milliseconds reconnectPause { 20 };

} // namespace

bool isRetryable(const std::string& kind) { return kind == "/get/" || kind == "/resume/"; }

bool isStream(const std::string& kind) { return kind == "/model/" || kind == "/resume/"; }

LoadGenerator::LoadGenerator(
    const SoakSettings& settings, const RunParameters& parameters, const LoadBalancer& balancer)
    : settings_(settings)
    , parameters_(parameters)
    , balancer_(balancer)
{
    for (std::size_t number = 0; number < parameters_.callers; ++number)
        threads_.emplace_back([this, number] { callLoop(number); });
}

LoadGenerator::~LoadGenerator() { (void)stop(); }

std::vector<SentRequest> LoadGenerator::stop()
{
    isStopping_ = true;
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
    return std::move(sent_);
}

void LoadGenerator::callLoop(std::size_t number)
{
    std::mt19937_64 random(settings_.seed * 1000 + number);
    Caller caller(parameters_.deadline + timeoutBeyondDeadline);
    SentRequest sent;
    for (int request = 0; !isStopping_; ++request) {
        if (!caller.isConnected()) {
            const auto choice = balancer_.choose(random);
            if (!choice || !caller.connect(choice->endpoint)) {
                std::this_thread::sleep_for(reconnectPause);
                continue;
            }
            sent.router = choice->router;
            sent.connectedAt = std::chrono::steady_clock::now();
        }
        sent.attempt
            = "s" + std::to_string(settings_.seed) + "-" + std::to_string(number) + "-" + std::to_string(request);
        const std::string requestText = drawRequest(sent, random);
        sent.outcome = caller.call(requestText);
        {
            const std::lock_guard lock(mutex_);
            sent_.push_back(sent);
        }
        if (random() % requestsPerConnection == 0)
            caller.close();
        std::this_thread::sleep_for(Milliseconds(random() % 8));
    }
}

std::string LoadGenerator::drawRequest(SentRequest& sent, std::mt19937_64& random) const
{
    const std::string adapter = "warm/a1";
    sent.kind = requestKinds[random() % requestKinds.size()];
    fleet::CallerRequest request;
    request.method = sent.kind == "/get/" ? "GET" : "POST";
    request.target = sent.kind + sent.attempt;
    request.attempt = sent.attempt;
    request.deadlineMs = static_cast<int>(parameters_.deadline.count());
    request.keepsAlive = true;
    request.headers = parameters_.headers;
    request.prompt = std::to_string(random() % 5) + ":50";
    if (isStream(sent.kind)) {
        const std::size_t which = random() % (parameters_.models.size() + 1);
        request.model = which < parameters_.models.size() ? parameters_.models[which] : adapter;
    }
    return request.text();
}

} // namespace lagoon::soak
