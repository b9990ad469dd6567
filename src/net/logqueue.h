/// Bounded queue of lines that a separate thread writes to a file descriptor in batches.
///
/// add() never waits for the descriptor; lines that do not fit are dropped.

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
    std::size_t maxLines = 4'096; // limit of queued lines
    /// A line waits at most this long for a batch to fill.
    Milliseconds maxBatchDelay {20};
    /// A batch of this size is written at once.
    ByteCount maxBatchBytes {32ULL * 1024};
};

class LogQueue
{
public:
    LogQueue(int descriptor, LogQueueLimits limits);
    /// Calls stop().
    ~LogQueue();
    LogQueue(const LogQueue &) = delete;
    LogQueue &operator=(const LogQueue &) = delete;

    /// Queues `line`, which includes its line break. An urgent line is written without waiting for
    /// a batch to fill. Returns false if the queue is full or stopped. Thread-safe.
    [[nodiscard]] bool add(std::string_view line, bool isUrgent);
    /// Writes all queued lines; add() fails from then on.
    void stop();

private:
    void run();
    void write(std::string_view text) const;

    const int descriptor_;
    const LogQueueLimits limits_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::string pending_; // complete lines
    std::size_t pendingLineCount_ = 0; // Invariant: lines in pending_, at most limits_.maxLines
    bool isUrgent_ = false;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace crocusmill
