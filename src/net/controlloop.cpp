/// Cap'n Proto's event loop on an io_context.

#include "src/net/controlloop.h"

#include <utility>
#include <vector>

namespace crocusmill
{

namespace
{

thread_local ControlLoop *currentLoop = nullptr;

} // namespace

/// Posts one run of Cap'n Proto's loop whenever it has something to do.
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
        if (runnable && !scheduled_) {
            schedule();
        }
    }

    void turn(const std::function<void()> &feed)
    {
        if (running_) {
            feed();
            return;
        }
        const bool before = std::exchange(scheduled_, true); // it runs here, not later
        feed();
        run();
        scheduled_ = before;
        if (!before && loop_.isRunnable()) {
            schedule();
        }
    }

    void atRest(std::function<void()> work)
    {
        atRest_.push_back(std::move(work));
        if (!running_ && !scheduled_) {
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
        scheduled_ = true;
        asio::post(context_, [this]() {
            scheduled_ = false;
            run();
        });
    }

    void run()
    {
        running_ = true;
        loop_.run();
        for (const std::function<void()> &work : std::exchange(atRest_, {})) {
            work();
        }
        running_ = false;
    }

    asio::io_context &context_;
    kj::EventLoop loop_;
    bool scheduled_ = false; // a run was posted, or is about to begin
    bool running_ = false;
    std::vector<std::function<void()>> atRest_;
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

void ControlLoop::turn(const std::function<void()> &feed)
{
    port_->turn(feed);
}

void ControlLoop::atRest(std::function<void()> work)
{
    port_->atRest(std::move(work));
}

void ControlLoop::run(const std::function<void()> &finish)
{
    currentLoop = this;
    kj::WaitScope scope {port_->loop()};
    const asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(context_);
    context_.run();
    finish();
    // Aborted operations hold Cap'n Proto's objects; let them go while the loop is current.
    context_.restart();
    context_.poll();
    currentLoop = nullptr;
}

void ControlLoop::stop()
{
    context_.stop();
}

} // namespace crocusmill
