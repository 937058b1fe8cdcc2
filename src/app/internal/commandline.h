#pragma once

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::app {

/// Parses the arguments of one command: `--help`, its options and its positional arguments. Prints help and errors.
class CommandLine {
public:
    /// `name` is the full name, such as `bundle roll-out`; `usage` is the text after the name in the usage line.
    CommandLine(std::string name, const std::string& usage);

    boost::program_options::options_description_easy_init options() { return description_.add_options(); }
    /// Assigns the next positional argument to this option.
    void addPositional(const std::string& option);
    /// Parses the arguments. Returns the exit code if the command must not run, as help or an error was printed;
    /// std::nullopt otherwise.
    std::optional<int> parse(const std::vector<std::string>& arguments);
    bool has(const std::string& option) const { return values_.count(option) > 0; }
    /// Prints the error and the usage. Returns the exit code.
    int reportUsageError(const std::string& fault) const;

private:
    std::string name_;
    boost::program_options::options_description description_;
    boost::program_options::positional_options_description positionals_;
    boost::program_options::variables_map values_;
};

} // namespace lagoon::app
