/// Integration of Cap'n Proto's event loop with an io_context.

#include "src/net/controlloop.h"

#include <utility>
#include <vector>

namespace crocusmill
{

namespace
{

thread_local ControlLoop *currentLoop = nullptr;

} // namespace

/// Posts a run of Cap'n Proto's loop to the io_context when the loop has events.
class ControlLoop::Port final : public kj::EventPort
{
public:
    explicit Port(asio::io_context &context)
        : context_(context)
        , loop_(*this)
    {
    }

    bool wait() override
    {
        context_.run_one();
        return false;
    }

    bool poll() override
    {
        context_.poll_one();
        return false;
    }

    void setRunnable(bool runnable) override
    {
        if (runnable && !isScheduled_) {
            schedule();
        }
    }

    void runToIdle(const std::function<void()> &handler)
    {
        if (isRunning_) {
            handler();
            return;
        }
        const bool wasScheduled = std::exchange(isScheduled_, true); // no run is posted
        handler();
        run();
        isScheduled_ = wasScheduled;
        if (!wasScheduled && loop_.isRunnable()) {
            schedule();
        }
    }

    void whenIdle(std::function<void()> work)
    {
        idleCallbacks_.push_back(std::move(work));
        if (!isRunning_ && !isScheduled_) {
            schedule();
        }
    }

    kj::EventLoop &loop()
    {
        return loop_;
    }

private:
    void schedule()
    {
        isScheduled_ = true;
        asio::post(context_, [this]() {
            isScheduled_ = false;
            run();
        });
    }

    void run()
    {
        isRunning_ = true;
        loop_.run();
        for (const std::function<void()> &work : std::exchange(idleCallbacks_, {})) {
            work();
        }
        isRunning_ = false;
    }

    asio::io_context &context_;
    kj::EventLoop loop_;
    bool isScheduled_ = false; // a run is posted or follows the current handler
    bool isRunning_ = false;
    std::vector<std::function<void()>> idleCallbacks_;
};

ControlLoop::ControlLoop()
    : port_(std::make_unique<Port>(context_))
{
}

ControlLoop::~ControlLoop() = default;

ControlLoop &ControlLoop::current()
{
    return *currentLoop;
}

asio::io_context &ControlLoop::context()
{
    return context_;
}

void ControlLoop::runToIdle(const std::function<void()> &handler)
{
    port_->runToIdle(handler);
}

void ControlLoop::whenIdle(std::function<void()> work)
{
    port_->whenIdle(std::move(work));
}

void ControlLoop::run(const std::function<void()> &finish)
{
    currentLoop = this;
    kj::WaitScope scope {port_->loop()};
    const asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(context_);
    context_.run();
    finish();
    // Aborted operations hold Cap'n Proto objects: release them while the loop is current.
    context_.restart();
    context_.poll();
    currentLoop = nullptr;
}

void ControlLoop::stop()
{
    context_.stop();
}

} // namespace crocusmill
