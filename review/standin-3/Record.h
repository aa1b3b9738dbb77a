#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace Review {

using Clock = std::chrono::steady_clock;

/** Writes what was sent, answered and run to a file, one line each, with the seconds since the start of the case. */
class Record
{
public:
    explicit Record(const std::string &path) : file(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        std::fclose(this->file);
    }
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::fprintf(this->file, "%8.3f %s\n", this->seconds(), text.c_str());
        std::fflush(this->file);
    }
    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(Clock::now() - this->start).count();
    }

private:
    std::FILE *file;
    std::mutex mutex;
    Clock::time_point start = Clock::now();
};

} // namespace Review
