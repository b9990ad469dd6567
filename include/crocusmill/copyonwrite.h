/// A value that an image of the state may share with the thread that goes on changing it.

#pragma once

#include <atomic>
#include <memory>

namespace crocusmill
{

/// One thread edits; what share() gave out never changes and may be read on any thread.
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

    /// The value to change; a copy of its own where somebody shares it.
    [[nodiscard]] T &edit()
    {
        if (value_.use_count() > 1) {
            value_ = std::make_shared<T>(*value_);
        } else {
            // What the last sharer read happened before it let go.
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
