/// The control thread's loop: one io_context that also drives Cap'n Proto's event loop.
///
/// Everything of Cap'n Proto lives on this one thread.

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

    /// The loop that runs on the calling thread, which is a control thread.
    [[nodiscard]] static ControlLoop &current();

    [[nodiscard]] asio::io_context &context();
    /// Runs `feed`, and at once all that Cap'n Proto has to do because of it, so that this takes no
    /// further pass of the io_context. From within Cap'n Proto's loop: only `feed`.
    void runToIdle(const std::function<void()> &handler);
    /// Runs `work` once Cap'n Proto has nothing more to do for now; from any handler on this
    /// thread.
    void whenIdle(std::function<void()> work);
    /// Runs on the calling thread, which becomes the control thread, until stop().
    /// `finish` runs at the end on that thread, while Cap'n Proto's objects may still be dropped.
    void run(const std::function<void()> &finish);
    /// Safe from any thread.
    void stop();

private:
    class Port;

    asio::io_context context_ {1};
    std::unique_ptr<Port> port_;
};

/// Runs `begin` on the control thread with a callback that resumes the awaiting coroutine on its
/// own executor. `begin` calls it exactly once, and is a named object of the caller: g++ 12
/// destroys closures and aggregates that are temporaries of a co_await expression twice.
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
