#include "app/internal/commandline.h"

#include "app/icommand.h"

#include <iostream>

namespace lagoon::app {

namespace options = boost::program_options;

CommandLine::CommandLine(std::string name, const std::string& usage)
    : name_(std::move(name))
    , description_("usage: lagoonrouter " + name_ + " " + usage)
{
    description_.add_options()("help", "print this help");
}

void CommandLine::addPositional(const std::string& option) { positionals_.add(option.c_str(), 1); }

int CommandLine::reportUsageError(const std::string& fault) const
{
    std::cerr << "lagoonrouter " << name_ << ": " << fault << "\n" << description_;
    return ExitUsage;
}

std::optional<int> CommandLine::parse(const std::vector<std::string>& arguments)
{
    try {
        const auto parsed
            = options::command_line_parser(arguments).options(description_).positional(positionals_).run();
        options::store(parsed, values_);
        if (has("help")) {
            std::cout << description_;
            return ExitSuccess;
        }
        options::notify(values_);
    } catch (const options::error& error) {
        return reportUsageError(error.what());
    }
    return std::nullopt;
}

} // namespace lagoon::app
