/// Child processes of the live tests.

#pragma once

#include <crocusmill/ids.h>

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
    /// Returns whether the process has not ended, by itself or by a signal.
    [[nodiscard]] bool isAlive() const;
    /// Returns the largest resident memory that the process has had so far.
    [[nodiscard]] ByteCount peakMemory() const;
    /// Returns the number of descriptors that the process has open.
    [[nodiscard]] std::size_t openDescriptorCount() const;

private:
    pid_t pid_ = 0;
};

} // namespace crocusmill::live
