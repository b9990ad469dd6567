/// Child processes of the live tests.

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
    /// Starts a program and appends its standard output and standard error to a file.
    Process(const std::vector<std::string> &command, const std::string &logFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Sends SIGKILL and waits for the end of the process.
    void kill();
    /// Waits for the end of the process. Returns its exit code, or -1 if a signal ended it.
    int wait();
    [[nodiscard]] bool isRunning() const;

private:
    pid_t pid_ = 0;
};

} // namespace crocusmill::live
