#include "app/internal/commandline.h"

#include "app/icommand.h"

#include <iostream>

namespace lagoon::app {

namespace options = boost::program_options;

CommandLine::CommandLine(std::string name, const std::string& usage)
    : name_(std::move(name))
    , described_("usage: lagoonrouter " + name_ + " " + usage)
{
    described_.add_options()("help", "print this");
}

void CommandLine::place(const std::string& option) { places_.add(option.c_str(), 1); }

int CommandLine::refuse(const std::string& fault) const
{
    std::cerr << "lagoonrouter " << name_ << ": " << fault << "\n" << described_;
    return ExitUsage;
}

std::optional<int> CommandLine::parse(const std::vector<std::string>& words)
{
    try {
        const auto parsed = options::command_line_parser(words).options(described_).positional(places_).run();
        options::store(parsed, values_);
        if (has("help")) {
            std::cout << described_;
            return ExitSuccess;
        }
        options::notify(values_);
    } catch (const options::error& error) {
        return refuse(error.what());
    }
    return std::nullopt;
}

} // namespace lagoon::app
