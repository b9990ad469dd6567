/// Child processes of the live tests.

#include "test/live/process.h"

#include <csignal>
#include <fcntl.h>
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

} // namespace crocusmill::live
