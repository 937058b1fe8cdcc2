#include "framework/processsettings.h"

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace lagoon::framework {

namespace {

constexpr std::size_t maxPortDigits = 5;

bool isPort(const std::string& text)
{
    if (text.empty() || text.size() > maxPortDigits)
        return false;
    if (text.find_first_not_of("0123456789") != std::string::npos)
        return false;
    return std::stoul(text) <= 65535;
}

} // namespace

ProcessIdentity readProcessIdentity(CheckedObject& settings)
{
    ProcessIdentity identity;
    identity.vm = VmName(settings.text("vm"));
    identity.site = SiteName(settings.text("site"));
    identity.failureDomain = FailureDomainName(settings.text("failure_domain"));
    return identity;
}

Endpoint readEndpoint(CheckedObject& settings, const std::string& key)
{
    const std::string text = settings.text(key);
    const std::size_t colon = text.rfind(':');
    boost::system::error_code error;
    if (colon != std::string::npos)
        boost::asio::ip::make_address(text.substr(0, colon), error);
    if (colon == std::string::npos || error || !isPort(text.substr(colon + 1)))
        settings.fail(key, "address:port with a numeric address");
    return Endpoint(text);
}

Milliseconds readShutdownGrace(CheckedObject& settings)
{
    const auto number = [](Milliseconds time) { return static_cast<std::uint64_t>(time.count()); };
    return Milliseconds(
        settings.numberOr("shutdown_grace_ms", number(defaultGrace), number(minGrace), number(maxGrace)));
}

Result<std::string> readSettingsText(const std::string& file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        return Error { ErrorCode::BadSettings, "read settings", file, "the file can't be opened" };
    text << stream.rdbuf();
    return text.str();
}

} // namespace lagoon::framework
