/// Cap'n Proto's event loop on an io_context.

#include "src/net/controlloop.h"

namespace crocusmill
{

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
        if (!runnable || scheduled_) {
            return;
        }
        scheduled_ = true;
        asio::post(context_, [this]() {
            scheduled_ = false;
            loop_.run();
        });
    }

    kj::EventLoop &loop()
    {
        return loop_;
    }

private:
    asio::io_context &context_;
    kj::EventLoop loop_;
    bool scheduled_ = false;
};

ControlLoop::ControlLoop()
    : port_(std::make_unique<Port>(context_))
{
}

ControlLoop::~ControlLoop() = default;

asio::io_context &ControlLoop::context()
{
    return context_;
}

void ControlLoop::run(const std::function<void()> &finish)
{
    kj::WaitScope scope {port_->loop()};
    const asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(context_);
    context_.run();
    finish();
    // Aborted operations hold Cap'n Proto's objects; let them go while the loop is current.
    context_.restart();
    context_.poll();
}

void ControlLoop::stop()
{
    context_.stop();
}

} // namespace crocusmill
