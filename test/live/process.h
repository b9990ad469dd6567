/// Child processes of the live tests, ended by their own ids.

#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace crocusmill::live
{

class Process
{
public:
    Process() = default;
    /// Starts a program whose standard error goes to a file.
    Process(const std::vector<std::string> &command, const std::string &logFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Ends it at once.
    void kill();
    /// Waits for its end and returns its exit code; -1 when a signal ended it.
    int wait();
    [[nodiscard]] bool isRunning() const;

private:
    pid_t pid_ = 0;
};

} // namespace crocusmill::live
