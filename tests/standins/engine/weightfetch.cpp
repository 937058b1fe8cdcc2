#include "standins/engine/weightfetch.h"

#include <cpprest/http_client.h>
#include <thread>

namespace lagoon::standins {

namespace {

constexpr framework::Milliseconds maxTransferTime { 600000 };
constexpr framework::Milliseconds rateLimitWait { 100 };

} // namespace

bool fetchWeights(const std::string& url, const ReplicaKey& key)
{
    if (url.empty())
        return true;
    std::string path = "/v1/weights/" + key.model;
    if (!key.adapter.empty())
        path += "/" + key.adapter;
    path += "/" + key.version;
    web::http::client::http_client_config config;
    config.set_timeout(maxTransferTime);
    while (true) {
        try {
            web::http::client::http_client client(url, config);
            const auto response = client.request("GET", path).get();
            if (response.status_code() != 429)
                return response.status_code() == 200;
        } catch (const std::exception&) {
            return false;
        }
        std::this_thread::sleep_for(rateLimitWait);
    }
}

} // namespace lagoon::standins
