#pragma once

#include <string>
#include <utility>
#include <vector>

/// What the demonstration prints.
namespace lagoon::demo {

/// Begins a numbered part.
void printTitle(const std::string& title);
void printLine(const std::string& text);
/// Prints each line of a text indented.
void printBlock(const std::string& text);
/// The samples of a process's `/metrics` with these names, summed buckets left out, each with what it says.
void printCounters(const std::string& ops, const std::vector<std::pair<std::string, std::string>>& descriptions);

} // namespace lagoon::demo
