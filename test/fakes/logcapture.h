/// Captures the log records of a test. Without startLog(), they are text lines on standard error.

#pragma once

#include <catch2/catch.hpp>

#include <cstdio>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace crocusmill::fakes
{

/// Redirects standard error into a temporary file during its lifetime.
class LogCapture
{
public:
    LogCapture()
        : file_(std::tmpfile())
        , savedDescriptor_(::dup(STDERR_FILENO))
    {
        REQUIRE(file_ != nullptr);
        std::fflush(stderr);
        ::dup2(::fileno(file_), STDERR_FILENO);
    }

    ~LogCapture()
    {
        std::fflush(stderr);
        ::dup2(savedDescriptor_, STDERR_FILENO);
        ::close(savedDescriptor_);
        std::fclose(file_);
    }

    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /// Returns the records of one event so far, oldest first.
    std::vector<std::string> records(const std::string &event) const
    {
        std::fflush(stderr);
        std::string text;
        constexpr std::size_t blockBytes = 4096;
        std::string block(blockBytes, '\0');
        off_t offset = 0;
        ssize_t size = 0;
        while ((size = ::pread(::fileno(file_), block.data(), block.size(), offset)) > 0) {
            text.append(block, 0, static_cast<std::size_t>(size));
            offset += size;
        }
        std::vector<std::string> found;
        std::istringstream lines {text};
        for (std::string line; std::getline(lines, line);) {
            if (line.find(" " + event + " ") != std::string::npos) {
                found.push_back(line + " ");
            }
        }
        return found;
    }

private:
    std::FILE *file_;
    int savedDescriptor_;
};

/// Returns the value of an attribute of a record, as written; empty if it has none.
inline std::string valueIn(const std::string &record, const std::string &attribute)
{
    const std::string start = " " + attribute + "=";
    const std::size_t position = record.find(start);
    if (position == std::string::npos) {
        return {};
    }
    const std::size_t from = position + start.size();
    if (record[from] == '"') {
        return record.substr(from, record.find('"', from + 1) + 1 - from);
    }
    return record.substr(from, record.find(' ', from) - from);
}

} // namespace crocusmill::fakes
