#pragma once

#include <algorithm>
#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace lagoon::testsupport {

/// Parses the flags `--seconds N` and `--part NAME` of a benchmark; `--part` may be repeated. An absent flag leaves the
/// default in `Options` unchanged.
template <typename Options> Options parseBenchmarkOptions(int argc, char** argv)
{
    namespace po = boost::program_options;
    Options options;
    po::options_description description;
    description.add_options()("seconds", po::value(&options.seconds), "measuring time of each row in seconds")(
        "part", po::value(&options.parts), "part to measure, may be repeated");
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
