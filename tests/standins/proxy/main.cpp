#include "standins/proxy/faultproxy.h"

using namespace lagoon::standins;
using lagoon::framework::Endpoint;
namespace options = boost::program_options;

namespace {

/// The ready line reports the endpoint for the connections to forward as `proxy`.
std::shared_ptr<IStandin> makeProxy(const options::variables_map& values, ReadyLine& ready)
{
    const Framing framing = values["frames"].as<bool>() ? Framing::LengthPrefix : Framing::None;
    auto proxy = std::make_shared<FaultProxy>(Endpoint(values["to"].as<std::string>()), framing);
    const auto endpoint = proxy->start(Endpoint(values["proxy"].as<std::string>()));
    if (!endpoint.has_value())
        throw options::error(lagoon::framework::describe(endpoint.error()));
    ready["proxy"] = endpoint.value().value();
    return proxy;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description own("proxy");
    own.add_options()("proxy", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address:port for the connections to forward; --listen is the endpoint of the control interface")(
        "to", options::value<std::string>()->required(), "address:port that they are forwarded to")(
        "frames", options::bool_switch(), "split streams into frames, each with a length prefix of four bytes");
    return runStandin("faultproxy", argc, argv, own, makeProxy);
}
