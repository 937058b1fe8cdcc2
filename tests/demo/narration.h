#pragma once

#include <string>
#include <utility>
#include <vector>

/// The output of the demonstration.
namespace lagoon::demo {

/// Prints the numbered title of a step.
void printTitle(const std::string& title);
void printLine(const std::string& text);
/// Prints each line of the text, indented.
void printBlock(const std::string& text);
/// Prints the samples of these metrics from a process's `/metrics`. `descriptions` contains each metric's name and the
/// text to print before its samples.
void printCounters(const std::string& ops, const std::vector<std::pair<std::string, std::string>>& descriptions);

} // namespace lagoon::demo
