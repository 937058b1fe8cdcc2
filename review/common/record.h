#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace lagoon::review {

/// The record of a case: lines with the time since its start. Any thread may write.
class Record {
public:
    explicit Record(const std::string& file)
        : file_(file)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        const std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - start_;
        file_ << std::to_string(static_cast<long>(time.count())) << " ms " << text << '\n';
        file_.flush();
    }

private:
    const std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace lagoon::review
