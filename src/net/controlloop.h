/// Event loop of the control thread: an io_context that also drives Cap'n Proto's event loop.
///
/// All Cap'n Proto objects are used on this thread only.

#pragma once

#include "src/net/asio.h"

#include <kj/async.h>

#include <functional>
#include <memory>

namespace crocusmill
{

class ControlLoop
{
public:
    ControlLoop();
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /// Returns the loop of the calling thread, which must be a control thread.
    [[nodiscard]] static ControlLoop &current();

    [[nodiscard]] asio::io_context &context();
    /// Runs `handler` and then Cap'n Proto's loop until it has no events, without another iteration
    /// of the io_context. If called from within Cap'n Proto's loop, runs only `handler`.
    void runToIdle(const std::function<void()> &handler);
    /// Runs `work` as soon as Cap'n Proto's loop has no more events. Call it on this thread only.
    void whenIdle(std::function<void()> work);
    /// Runs the loop on the calling thread, which becomes the control thread, until stop().
    /// Calls `finish` at the end on that thread, where Cap'n Proto objects can still be destroyed.
    void run(const std::function<void()> &finish);
    /// Thread-safe.
    void stop();

private:
    class Port;

    asio::io_context context_ {1};
    std::unique_ptr<Port> port_;
};

/// Runs `begin` on the control thread with a callback that resumes the awaiting coroutine on its
/// own executor. `begin` must call the callback exactly once. Pass a named object: g++ 12 destroys
/// closures and aggregates twice if they are temporaries of a co_await expression.
template <typename T>
[[nodiscard]] asio::awaitable<T> callOnControlThread(
    asio::io_context &control, std::function<void(std::function<void(T)>)> begin)
{
    return asio::async_initiate<const asio::use_awaitable_t<>, void(T)>(
        [&control](auto handler, std::function<void(std::function<void(T)>)> started) {
            using Handler = decltype(handler);
            const std::shared_ptr<Handler> shared = std::make_shared<Handler>(std::move(handler));
            std::function<void(T)> done = [shared](T value) {
                const asio::any_io_executor executor = asio::get_associated_executor(*shared);
                asio::post(executor,
                    [shared, moved = std::move(value)]() mutable { (*shared)(std::move(moved)); });
            };
            asio::post(control, [started = std::move(started), done = std::move(done)]() mutable {
                started(std::move(done));
            });
        },
        asio::use_awaitable, std::move(begin));
}

} // namespace crocusmill
