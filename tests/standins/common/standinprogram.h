#pragma once

#include "framework/checkedjson.h"
#include "standins/common/httpserver.h"

#include <boost/program_options.hpp>
#include <cpprest/json.h>
#include <functional>
#include <memory>
#include <string>

/// Common parts of the programs that stand in for real servers in tests.
namespace lagoon::standins {

class IStandin {
public:
    virtual ~IStandin() = default;
    /// Answers a request as the real server would. Called concurrently, on the thread of each connection.
    virtual void answer(Exchange&) = 0;
    /// Sets the faults given in the JSON of `POST /standin/faults`. Faults that it doesn't name keep their settings.
    virtual framework::Result<void> setFaults(const web::json::value&) = 0;
    /// Returns the JSON of `GET /standin/record`, which tells tests what the stand-in has received and done.
    virtual web::json::value record() = 0;
};

/// Additional fields of the ready line, such as endpoints, by name. The ready line is the JSON line that a program
/// prints to standard output once it accepts requests.
using ReadyLine = std::map<std::string, std::string>;
using StandinFactory
    = std::function<std::shared_ptr<IStandin>(const boost::program_options::variables_map&, ReadyLine&)>;

/// Parses the command line (the given options and `--listen`), starts the server, prints the ready line and serves
/// until SIGTERM, which ends the process. Returns the exit code after `--help` or an error.
int runStandin(const std::string& role, int argc, char** argv, const boost::program_options::options_description&,
    const StandinFactory&);

/// Parses a body as JSON. Returns null if it isn't JSON.
web::json::value parseBody(const std::string&);
void replyJson(Exchange&, int status, const web::json::value&);
/// Replies with `{"error": code}`.
void replyError(Exchange&, int status, const std::string& code);
/// Returns a text field, or "" if there is none.
std::string textField(const web::json::value&, const std::string& name);
/// Returns a number field, or 0 if there is none.
std::uint64_t numberField(const web::json::value&, const std::string& name);

} // namespace lagoon::standins
