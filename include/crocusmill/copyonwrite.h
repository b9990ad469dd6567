/// Copy-on-write value that a state image shares with the thread that modifies the state.

#pragma once

#include <atomic>
#include <memory>

namespace crocusmill
{

/// Value modified by one thread. Values returned by share() never change; any thread may read them.
template <typename T> class CopyOnWrite
{
public:
    explicit CopyOnWrite(T value)
        : value_(std::make_shared<T>(std::move(value)))
    {
    }

    [[nodiscard]] const T &operator*() const
    {
        return *value_;
    }

    [[nodiscard]] const T *operator->() const
    {
        return value_.get();
    }

    /// Returns the value for modification, after copying it if it is shared.
    [[nodiscard]] T &edit()
    {
        if (value_.use_count() > 1) {
            value_ = std::make_shared<T>(*value_);
        } else {
            // Makes the reads of the last other owner happen before the edit.
            std::atomic_thread_fence(std::memory_order_acquire);
        }
        return *value_;
    }

    [[nodiscard]] std::shared_ptr<const T> share() const
    {
        return value_;
    }

private:
    std::shared_ptr<T> value_;
};

} // namespace crocusmill
