#include "demo/narration.h"

#include "support/httpcall.h"

#include <iostream>
#include <sstream>

namespace lagoon::demo {

namespace {

const std::string indent = "      ";

/// Whether the line is a sample of the metric, with or without labels.
bool isSampleOf(const std::string& line, const std::string& name)
{
    if (line.compare(0, name.size(), name) != 0 || line.size() == name.size())
        return false;
    return line[name.size()] == ' ' || line[name.size()] == '{';
}

} // namespace

void printTitle(const std::string& title)
{
    static int number = 0;
    std::cout << "\n" << ++number << ". " << title << "\n" << std::flush;
}

void printLine(const std::string& text) { std::cout << "   " << text << "\n" << std::flush; }

void printBlock(const std::string& text)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
        std::cout << indent << line << "\n";
    std::cout << std::flush;
}

void printCounters(const std::string& ops, const std::vector<std::pair<std::string, std::string>>& descriptions)
{
    const std::string metrics = testsupport::getFrom(ops, "/metrics").body;
    for (const auto& [name, description] : descriptions) {
        printLine(description + ":");
        std::istringstream lines(metrics);
        bool hasSample = false;
        for (std::string line; std::getline(lines, line);) {
            if (!isSampleOf(line, name))
                continue;
            printBlock(line);
            hasSample = true;
        }
        if (!hasSample)
            printBlock(name + ": no sample, so this has not happened");
    }
}

} // namespace lagoon::demo
