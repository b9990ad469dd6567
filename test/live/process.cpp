/// Child processes of the live tests.

#include "test/live/process.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace crocusmill::live
{

Process::Process(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
        constexpr mode_t mode = 0600;
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
        ::dup2(log, STDERR_FILENO);
        ::dup2(log, STDOUT_FILENO);
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept
    : pid_(std::exchange(other.pid_, 0))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, 0);
    }
    return *this;
}

void Process::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void Process::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        wait();
    }
}

int Process::wait()
{
    int status = 0;
    if (pid_ <= 0) {
        return -1;
    }
    ::waitpid(pid_, &status, 0);
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Process::isRunning() const
{
    return pid_ > 0;
}

bool Process::isAlive() const
{
    siginfo_t ended {};
    return pid_ > 0
        && ::waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT) == 0
        && ended.si_pid == 0;
}

ByteCount Process::peakMemory() const
{
    constexpr std::string_view name = "VmHWM:";
    constexpr std::uint64_t bytesPerKibibyte = 1024;
    std::ifstream status {"/proc/" + std::to_string(pid_) + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(name)) {
            return ByteCount {std::stoull(line.substr(name.size())) * bytesPerKibibyte};
        }
    }
    return {};
}

std::size_t Process::openDescriptorCount() const
{
    const std::filesystem::directory_iterator descriptors {"/proc/" + std::to_string(pid_) + "/fd"};
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

} // namespace crocusmill::live
