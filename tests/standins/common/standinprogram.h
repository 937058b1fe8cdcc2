#pragma once

#include "framework/checkedjson.h"
#include "standins/common/httpserver.h"

#include <boost/program_options.hpp>
#include <cpprest/json.h>
#include <functional>
#include <memory>
#include <string>

/// What the stand-ins' programs have in common.
namespace lagoon::standins {

class IStandin {
public:
    virtual ~IStandin() = default;
    /// Answers what the real system would answer. Called on a thread for each connection.
    virtual void answer(Exchange&) = 0;
    /// Sets the faults that the JSON of `POST /standin/faults` names; others stay as they are.
    virtual framework::Result<void> setFaults(const web::json::value&) = 0;
    /// JSON of `GET /standin/record`.
    virtual web::json::value record() = 0;
};

/// What a program says besides in its ready line: names and endpoints.
using ReadyLine = std::map<std::string, std::string>;
using StandinFactory
    = std::function<std::shared_ptr<IStandin>(const boost::program_options::variables_map&, ReadyLine&)>;

/// Reads the command line (`--listen` besides the options given), serves, prints the ready line and ends on SIGTERM.
/// Returns the exit code.
int runStandin(const std::string& role, int argc, char** argv, const boost::program_options::options_description&,
    const StandinFactory&);

/// The JSON of a body; null if it is none.
web::json::value parseBody(const std::string&);
void replyJson(Exchange&, int status, const web::json::value&);
/// `{"error": code}`.
void replyError(Exchange&, int status, const std::string& code);
/// The text field, or "" if there is none.
std::string textField(const web::json::value&, const std::string& name);
std::uint64_t numberField(const web::json::value&, const std::string& name);

} // namespace lagoon::standins
