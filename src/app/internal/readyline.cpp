#include "app/internal/readyline.h"

#include <cpprest/json.h>
#include <iostream>

namespace lagoon::app {

void printReadyLine(
    const std::string& role, const framework::VmName& vm, const std::map<std::string, framework::Endpoint>& endpoints)
{
    web::json::value line;
    line["ready"] = web::json::value::boolean(true);
    line["role"] = web::json::value::string(role);
    line["vm"] = web::json::value::string(vm.value());
    for (const auto& [name, endpoint] : endpoints)
        line[name] = web::json::value::string(endpoint.value());
    std::cout << line.serialize() << std::endl;
}

} // namespace lagoon::app
