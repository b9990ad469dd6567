/// Lines on their way to a file descriptor, written in batches by a thread of their own.
///
/// Adding never waits for the descriptor; what does not fit is left out.

#pragma once

#include <crocusmill/ids.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace crocusmill
{

struct LogQueueLimits
{
    std::size_t maxLines = 4'096; // that wait
    /// A line waits no longer than this for others to be written with.
    Milliseconds maxBatchDelay {20};
    /// So much is written without waiting for more.
    ByteCount maxBatchBytes {32ULL * 1024};
};

class LogQueue
{
public:
    LogQueue(int descriptor, LogQueueLimits limits);
    /// Writes what waits.
    ~LogQueue();
    LogQueue(const LogQueue &) = delete;
    LogQueue &operator=(const LogQueue &) = delete;

    /// Any thread. `line` ends with its line break; an urgent one isn't kept for others.
    /// False when there was no room, or after stop().
    [[nodiscard]] bool add(std::string_view line, bool urgent);
    /// Writes what waits and takes no more.
    void stop();

private:
    void run();
    void write(std::string_view text) const;

    const int descriptor_;
    const LogQueueLimits limits_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::string pending_; // whole lines
    std::size_t pendingLineCount_ = 0; // Invariant: those in waiting_; at most limits_.lines
    bool isUrgent_ = false;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace crocusmill
