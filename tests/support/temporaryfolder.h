#pragma once

#include <string>

namespace lagoon::testsupport {

/// A folder of its own that is removed with all it holds.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    std::string file(const std::string& name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

std::string readFile(const std::string& file);
void writeFile(const std::string& file, const std::string& text);

} // namespace lagoon::testsupport
