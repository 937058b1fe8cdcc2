#include "standins/common/tcpacceptor.h"

namespace lagoon::standins {

using boost::asio::ip::tcp;
using framework::Endpoint;
using framework::Error;
using framework::ErrorCode;

framework::Result<tcp::endpoint> parseEndpoint(const Endpoint& endpoint)
{
    const std::string& text = endpoint.value();
    const std::size_t colon = text.rfind(':');
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    if (error || colon == std::string::npos)
        return Error { ErrorCode::BadSettings, "read endpoint", text, "expected address:port" };
    return tcp::endpoint(address, static_cast<unsigned short>(std::strtoul(text.c_str() + colon + 1, nullptr, 10)));
}

framework::Result<Endpoint> listenOn(tcp::acceptor& acceptor, const Endpoint& endpoint)
{
    BOOST_OUTCOME_TRY(requested, parseEndpoint(endpoint));
    boost::system::error_code error;
    acceptor.open(requested.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(requested, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return Error { ErrorCode::BadSettings, "listen", endpoint.value(), error.message() };
    return Endpoint(requested.address().to_string() + ":" + std::to_string(acceptor.local_endpoint().port()));
}

} // namespace lagoon::standins
