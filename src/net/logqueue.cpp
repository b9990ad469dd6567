/// Batches of log lines.

#include "src/net/logqueue.h"

#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace crocusmill
{

LogQueue::LogQueue(int descriptor, LogQueueLimits limits)
    : descriptor_(descriptor)
    , limits_(limits)
    , thread_([this]() { run(); })
{
}

LogQueue::~LogQueue()
{
    stop();
}

bool LogQueue::add(std::string_view line, bool urgent)
{
    bool wakes = false;
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        if (stops_ || lines_ >= limits_.lines) {
            return false;
        }
        const bool wasShort = waiting_.size() < limits_.batch.value();
        waiting_ += line;
        ++lines_;
        const bool isFull = wasShort && waiting_.size() >= limits_.batch.value();
        wakes = lines_ == 1 || isFull || (urgent && !isUrgent_);
        isUrgent_ = isUrgent_ || urgent;
    }
    if (wakes) {
        wake_.notify_one();
    }
    return true;
}

void LogQueue::stop()
{
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        stops_ = true;
    }
    wake_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void LogQueue::run()
{
    std::string batch;
    std::unique_lock<std::mutex> lock {mutex_};
    while (!stops_ || lines_ > 0) {
        wake_.wait(lock, [this]() { return stops_ || lines_ > 0; });
        wake_.wait_for(lock, limits_.gather,
            [this]() { return stops_ || isUrgent_ || waiting_.size() >= limits_.batch.value(); });
        std::swap(batch, waiting_);
        lines_ = 0;
        isUrgent_ = false;
        lock.unlock();
        write(batch);
        batch.clear();
        lock.lock();
    }
}

void LogQueue::write(std::string_view text) const
{
    while (!text.empty()) {
        const ssize_t written = ::write(descriptor_, text.data(), text.size());
        if (written >= 0) {
            text.remove_prefix(static_cast<std::size_t>(written));
        } else if (errno == EAGAIN) {
            constexpr int forever = -1;
            pollfd ready {descriptor_, POLLOUT, 0};
            ::poll(&ready, 1, forever);
        } else if (errno != EINTR) {
            return; // the descriptor is gone
        }
    }
}

} // namespace crocusmill
