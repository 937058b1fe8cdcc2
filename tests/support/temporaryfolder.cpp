#include "support/temporaryfolder.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lagoon::testsupport {

TemporaryFolder::TemporaryFolder()
    : path_((std::filesystem::temp_directory_path() / "lagoontest-XXXXXX").string())
{
    if (!mkdtemp(path_.data()))
        throw std::runtime_error("failed to create a temporary folder");
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string readFile(const std::string& file)
{
    std::ostringstream text;
    text << std::ifstream(file, std::ios::binary).rdbuf();
    return text.str();
}

void writeFile(const std::string& file, const std::string& text)
{
    std::ofstream stream(file, std::ios::binary);
    stream << text;
}

} // namespace lagoon::testsupport
