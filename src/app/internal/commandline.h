#pragma once

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::app {

/// The words of one command: `--help`, its options and the words that have a place. Faults and help are printed.
class CommandLine {
public:
    /// `name` as in `bundle roll-out`; `usage` is what follows it.
    CommandLine(std::string name, const std::string& usage);

    boost::program_options::options_description_easy_init options() { return description_.add_options(); }
    /// The next word that isn't an option's goes to this one.
    void addPositional(const std::string& option);
    /// The exit code if there is nothing to run.
    std::optional<int> parse(const std::vector<std::string>& arguments);
    bool has(const std::string& option) const { return values_.count(option) > 0; }
    /// Says what is wrong with the words. Returns the exit code.
    int reportUsageError(const std::string& fault) const;

private:
    std::string name_;
    boost::program_options::options_description description_;
    boost::program_options::positional_options_description positionals_;
    boost::program_options::variables_map values_;
};

} // namespace lagoon::app
