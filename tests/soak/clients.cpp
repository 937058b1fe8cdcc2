#include "soak/clients.h"

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

Clients::Clients(const SoakSettings& settings, const RunTerms& terms, const Rotation& rotation)
    : settings_(settings)
    , terms_(terms)
    , rotation_(rotation)
{
    for (std::size_t number = 0; number < terms_.callers; ++number)
        threads_.emplace_back([this, number] { loop(number); });
}

Clients::~Clients() { (void)stop(); }

std::vector<Sent> Clients::stop()
{
    isOver_ = true;
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
    return std::move(sent_);
}

void Clients::loop(std::size_t number)
{
    std::mt19937_64 random(settings_.seed * 1000 + number);
    Caller caller(terms_.deadline + patienceBeyond);
    Sent sent;
    for (int request = 0; !isOver_; ++request) {
        if (!caller.isConnected()) {
            const auto choice = rotation_.choose(random);
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

std::string Clients::text(Sent& sent, std::mt19937_64& random) const
{
    const std::string adapter = "warm/a1";
    sent.kind = requestKinds[random() % requestKinds.size()];
    fleet::CallerRequest made;
    made.method = sent.kind == "/get/" ? "GET" : "POST";
    made.target = sent.kind + sent.attempt;
    made.attempt = sent.attempt;
    made.deadlineMs = static_cast<int>(terms_.deadline.count());
    made.keepsAlive = true;
    made.prompt = std::to_string(random() % 5) + ":50";
    if (isStream(sent.kind)) {
        const std::size_t which = random() % (terms_.models.size() + 1);
        made.model = which < terms_.models.size() ? terms_.models[which] : adapter;
    }
    return made.text();
}

} // namespace lagoon::soak
