#pragma once

#include <string>

namespace lagoon::testsupport {

/// A new temporary folder, which the destructor removes with its contents.
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
