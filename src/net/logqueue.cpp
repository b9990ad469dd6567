/// Batching and writing of log lines.

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

bool LogQueue::add(std::string_view line, bool isUrgent)
{
    bool shouldWake = false;
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        if (isStopping_ || pendingLineCount_ >= limits_.maxLines) {
            return false;
        }
        const bool wasBelowBatchSize = pending_.size() < limits_.maxBatchBytes.value();
        pending_ += line;
        ++pendingLineCount_;
        const bool isFull = wasBelowBatchSize && pending_.size() >= limits_.maxBatchBytes.value();
        shouldWake = pendingLineCount_ == 1 || isFull || (isUrgent && !isUrgent_);
        isUrgent_ = isUrgent_ || isUrgent;
    }
    if (shouldWake) {
        wake_.notify_one();
    }
    return true;
}

void LogQueue::stop()
{
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        isStopping_ = true;
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
    while (!isStopping_ || pendingLineCount_ > 0) {
        wake_.wait(lock, [this]() { return isStopping_ || pendingLineCount_ > 0; });
        wake_.wait_for(lock, limits_.maxBatchDelay, [this]() {
            return isStopping_ || isUrgent_ || pending_.size() >= limits_.maxBatchBytes.value();
        });
        std::swap(batch, pending_);
        pendingLineCount_ = 0;
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
            return; // permanent write error
        }
    }
}

} // namespace crocusmill
