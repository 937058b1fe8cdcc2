#pragma once

#include <algorithm>
#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace lagoon::testsupport {

/// Reads `--seconds N` and `--part NAME...` of a benchmark into options that hold their defaults.
template <typename Options> Options parseBenchmarkOptions(int argc, char** argv)
{
    namespace po = boost::program_options;
    Options options;
    po::options_description description;
    description.add_options()("seconds", po::value(&options.seconds), "of each row")(
        "part", po::value(&options.parts), "which to measure");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    return options;
}

inline bool hasPart(const std::vector<std::string>& parts, const std::string& part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace lagoon::testsupport
