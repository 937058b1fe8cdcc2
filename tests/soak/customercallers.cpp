#include "soak/customercallers.h"

#include "soak/caller.h"
#include "support/waitfor.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;
using web::json::value;

struct Customer {
    std::string name;
    /// Units in a second; 0 means no limit.
    double perSecond = 0;
    double burst = 0;
    bool countsTokens = false;
    std::size_t callers = 0;
    /// The longest pause of a caller between two requests.
    std::uint64_t pauseRangeMs = 0;
    /// Whether all that it asks for is well below its quota.
    bool isModest = false;
};

/// Positions in `customers`.
constexpr std::size_t changing = 3;
constexpr std::size_t unknown = 4;
const std::vector<Customer> customers {
    { "greedy", 8, 8, false, 3, 60, false },
    { "tokens", 24, 12, true, 2, 60, false },
    { "modest", 60, 30, false, 1, 600, true },
    { "changing", 0, 0, false, 1, 100, false },
    { "unknown", 0, 0, false, 1, 200, false },
    { "unlimited", 0, 0, false, 0, 0, false },
};

/// What the requests of a customer whose tokens count use, with the header and without.
constexpr int statedTokens = 4;
constexpr int plainTokens = 2;
/// What operators are promised: in each window of this length no more than quota and burst, a tenth more, and the
/// tolerance.
constexpr Milliseconds window { 8000 };
constexpr double excess = 1.1;
constexpr double tolerance = 12;
constexpr Milliseconds deadline { 1500 };
constexpr Milliseconds callTimeout { 4500 };
constexpr std::uint64_t stepsPerKey = 8;
/// A router in touch knows of a change after this time.
constexpr Milliseconds timeToTell { 3000 };

/// What a request used of its customer's quota.
struct Use {
    SteadyTime sentAt {};
    SteadyTime ranAt {};
    double cost = 0;
};

double mostInWindow(const std::vector<Use>& uses)
{
    double most = 0;
    for (const Use& first : uses) {
        double used = 0;
        for (const Use& use : uses)
            used += use.sentAt >= first.sentAt && use.ranAt <= first.sentAt + window ? use.cost : 0;
        most = std::max(most, used);
    }
    return most;
}

std::string keyOf(const std::string& name, std::size_t number)
{
    return fleet::keyMark + name + "-" + std::to_string(number);
}

value configured(const Customer& customer, std::size_t key)
{
    value json;
    json["name"] = value::string(customer.name);
    json["priority"] = value::number(1);
    json["api-keys"][0] = value::string(keyOf(customer.name, key));
    if (customer.perSecond <= 0)
        return json;
    json["unit"] = value::string(customer.countsTokens ? "tokens" : "requests");
    json["plain-tokens"] = value::number(plainTokens);
    json["rate-per-s"] = value::number(customer.perSecond);
    json["burst"] = value::number(customer.burst);
    return json;
}

value configuredAll(std::size_t changingKey)
{
    value json = value::array();
    for (std::size_t index = 0; index < customers.size(); ++index) {
        if (index != unknown)
            json[json.size()] = configured(customers[index], index == changing ? changingKey : 1);
    }
    return json;
}

/// Whether the attempt's request states its tokens.
bool statesTokens(const std::string& attempt) { return attempt.back() % 2 == 0; }

std::string attemptOf(const Customer& customer, std::size_t caller, std::size_t count)
{
    return "c." + customer.name + "." + std::to_string(caller) + "." + std::to_string(count);
}

/// The customer of an attempt; the callers of `LoadGenerator` and the run's probes are of the unlimited one.
std::string customerOf(const std::string& attempt)
{
    if (!attempt.starts_with("c."))
        return "unlimited";
    return attempt.substr(2, attempt.find('.', 2) - 2);
}

double costOf(const Customer& customer, const std::string& attempt)
{
    if (!customer.countsTokens)
        return 1;
    return statesTokens(attempt) ? statedTokens : plainTokens;
}

fleet::CallerRequest requestOf(const std::string& attempt, const std::string& kind, const std::string& key)
{
    fleet::CallerRequest request;
    request.method = kind == "/get/" ? "GET" : "POST";
    request.target = kind + attempt;
    request.attempt = attempt;
    request.deadlineMs = static_cast<int>(deadline.count());
    request.headers = { { "X-Tenant", "unlimited" } };
    if (!key.empty())
        request.headers["Authorization"] = "Bearer " + key;
    if (statesTokens(attempt))
        request.headers["X-Token-Usage"] = "1," + std::to_string(statedTokens - 1);
    return request;
}

} // namespace

CustomerCallers::CustomerCallers(
    fleet::Fleet& fleet, const LoadBalancer& balancer, const SoakSettings& settings, RunLog& runLog)
    : fleet_(fleet)
    , balancer_(balancer)
    , settings_(settings)
    , runLog_(runLog)
{
    for (std::size_t customer = 0; customer < customers.size(); ++customer) {
        for (std::size_t number = 0; number < customers[customer].callers; ++number)
            threads_.emplace_back([this, customer, number] { sendLoop(customer, number); });
    }
}

CustomerCallers::~CustomerCallers() { stop(); }

void CustomerCallers::stop()
{
    isStopping_ = true;
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
}

void CustomerCallers::configure(fleet::Fleet& fleet)
{
    fleet.setQuotaTolerance(tolerance);
    fleet.putCustomers(configuredAll(1));
}

std::map<std::string, std::string> CustomerCallers::unlimitedHeaders()
{
    return { { "Authorization", "Bearer " + keyOf("unlimited", 1) } };
}

void CustomerCallers::changeKeys()
{
    if (runLog_.draw(stepsPerKey) != 0)
        return;
    replacedAt_.push_back(std::chrono::steady_clock::now());
    fleet_.putCustomers(configuredAll(++key_));
    runLog_.note("key replaced by number " + std::to_string(key_.load()));
}

void CustomerCallers::sendLoop(std::size_t customer, std::size_t number)
{
    std::mt19937_64 random(settings_.seed * 6421 + customer * 100 + number);
    const Customer& own = customers[customer];
    for (std::size_t count = 0; !isStopping_; ++count) {
        std::this_thread::sleep_for(Milliseconds(random() % own.pauseRangeMs));
        const auto router = balancer_.choose(random);
        Caller caller(callTimeout);
        if (!router || !caller.connect(router->endpoint))
            continue;
        Sent sent;
        sent.customer = customer;
        // Also keys that were taken away, and such as come next.
        sent.key = customer == changing ? key_ + 1 - random() % 3 : 1;
        sent.request.attempt = attemptOf(own, number, count);
        sent.request.kind = random() % 2 == 0 ? "/get/" : "/post/";
        sent.request.router = router->router;
        sent.request.connectedAt = std::chrono::steady_clock::now();
        const std::string key = customer == unknown && random() % 2 == 0 ? std::string() : keyOf(own.name, sent.key);
        sent.request.outcome = caller.call(requestOf(sent.request.attempt, sent.request.kind, key).text());
        const std::lock_guard lock(mutex_);
        sent_.push_back(std::move(sent));
    }
}

std::vector<fleet::ServerStandin::Run> CustomerCallers::runs() const
{
    std::vector<fleet::ServerStandin::Run> runs;
    std::vector<fleet::ServerStandin*> servers { &fleet_.plain1, &fleet_.plain2 };
    for (std::size_t index = 0; index < fleet_.engines(); ++index)
        servers.push_back(&fleet_.engine(index));
    for (const fleet::ServerStandin* const server : servers) {
        const auto ofServer = server->startedRuns();
        runs.insert(runs.end(), ofServer.begin(), ofServer.end());
    }
    std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    return runs;
}

void CustomerCallers::check(InvariantChecker& checker)
{
    const std::vector<fleet::ServerStandin::Run> all = runs();
    checkRuns(all);
    checkQuotas(all);
    checkAnswers(checker);
    checkLatestKeys();
}

void CustomerCallers::checkRuns(const std::vector<fleet::ServerStandin::Run>& runs) const
{
    for (const fleet::ServerStandin::Run& run : runs) {
        const std::string expected = customerOf(run.attempt);
        if (run.hasKey)
            runLog_.fail("a server got the key of " + run.attempt);
        if (expected == customers[unknown].name)
            runLog_.fail("ran without a known key: " + run.attempt + "\n" + fleet_.logLinesContaining(run.attempt));
        if (run.customer != expected)
            runLog_.fail(run.attempt + " ran as the customer \"" + run.customer + "\"");
    }
}

/// Requests count in a window in which they are both sent and run: one that waited long was granted before.
void CustomerCallers::checkQuotas(const std::vector<fleet::ServerStandin::Run>& runs) const
{
    std::map<std::string, SteadyTime> sentAt;
    {
        const std::lock_guard lock(mutex_);
        for (const Sent& sent : sent_)
            sentAt[sent.request.attempt] = sent.request.outcome.sentAt;
    }
    for (const Customer& customer : customers) {
        if (customer.perSecond <= 0)
            continue;
        std::vector<Use> uses;
        for (const fleet::ServerStandin::Run& run : runs) {
            if (customerOf(run.attempt) == customer.name)
                uses.push_back({ sentAt.at(run.attempt), run.at, costOf(customer, run.attempt) });
        }
        const double most = mostInWindow(uses);
        const double allowed
            = (customer.perSecond * std::chrono::duration<double>(window).count() + customer.burst) * excess
            + tolerance;
        const std::string text = customer.name + " used at most " + std::to_string(std::lround(most)) + " in 8 s of "
            + std::to_string(std::lround(allowed)) + " allowed";
        runLog_.note(text);
        if (most > allowed)
            runLog_.fail(text);
    }
}

void CustomerCallers::checkAnswers(InvariantChecker& checker) const
{
    const std::lock_guard lock(mutex_);
    for (const Sent& sent : sent_) {
        const int status = sent.request.outcome.status;
        const std::string& attempt = sent.request.attempt;
        if (customers[sent.customer].isModest && status == 429)
            runLog_.fail("refused below its quota: " + attempt + "\n" + fleet_.logLinesContaining('"' + attempt + '"'));
        if (sent.customer == unknown && status == 200)
            runLog_.fail("served without a known key: " + attempt);
        // The others may be told that their keys aren't known.
        if (status != 401)
            checker.check(sent.request);
        else if (sent.customer != changing && sent.customer != unknown)
            runLog_.fail("a valid key isn't known: " + attempt + "\n" + fleet_.logLinesContaining('"' + attempt + '"'));
        if (sent.customer == changing && status == 200)
            checkKey(sent);
    }
}

/// A key that was taken away may serve for as long as routers need to be told.
void CustomerCallers::checkKey(const Sent& sent) const
{
    const SentRequest& request = sent.request;
    if (sent.key == 0 || sent.key > replacedAt_.size() + 1)
        runLog_.fail("served with a key that never was valid: " + request.attempt);
    if (sent.key == 0 || sent.key > replacedAt_.size())
        return;
    const SteadyTime replacedAt = replacedAt_[sent.key - 1];
    if (request.outcome.sentAt > replacedAt + timeToTell
        && runLog_.wasInTouch(request.router, replacedAt, request.outcome.sentAt))
        runLog_.fail("served long after its key was taken away: " + request.attempt);
}

bool CustomerCallers::isAnswered(std::size_t router, std::size_t key, int status) const
{
    Caller caller(callTimeout);
    const std::string attempt = attemptOf(customers[changing], 9, 0);
    return caller.connect(fleet_.callers(router))
        && caller.call(requestOf(attempt, "/get/", keyOf(customers[changing].name, key)).text()).status == status;
}

/// Once all routers are in touch, each accepts the last key and no earlier one.
void CustomerCallers::checkLatestKeys() const
{
    for (std::size_t router = 0; router < settings_.routers; ++router) {
        if (!testsupport::isReached([&] { return isAnswered(router, key_, 200); }))
            runLog_.fail("the last key isn't accepted at router " + std::to_string(router));
        for (std::size_t key = 1; key < key_; ++key) {
            if (!testsupport::isReached([&] { return isAnswered(router, key, 401); }))
                runLog_.fail("a key that was taken away is accepted at router " + std::to_string(router));
        }
    }
}

} // namespace lagoon::soak
