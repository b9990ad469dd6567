/// Discrete-event simulation: virtual time and random numbers from one seed.

#pragma once

#include <crocusmill/ids.h>

#include <functional>
#include <map>
#include <random>

namespace crocusmill::fakes
{

class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : random_(seed)
    {
    }

    [[nodiscard]] MonotonicTime now() const
    {
        return now_;
    }

    void after(Milliseconds delay, std::function<void()> callback)
    {
        at(now_ + delay, std::move(callback));
    }

    void at(MonotonicTime time, std::function<void()> callback)
    {
        events_.emplace(std::max(time, now_), std::move(callback));
    }

    void runUntil(MonotonicTime end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = events_.begin()->first;
            const std::function<void()> callback = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            callback();
        }
        now_ = end;
    }

    /// Returns a random number of milliseconds from `minimum` to `maximum`, both included.
    [[nodiscard]] Milliseconds randomDuration(int minimum, int maximum)
    {
        return Milliseconds {randomNumber(minimum, maximum)};
    }

    [[nodiscard]] int randomNumber(int minimum, int maximum)
    {
        const std::uint64_t span =
            static_cast<std::uint64_t>(maximum) - static_cast<std::uint64_t>(minimum) + 1;
        return minimum + static_cast<int>(random_() % span);
    }

    [[nodiscard]] bool chance(int percent)
    {
        return randomNumber(1, 100) <= percent;
    }

private:
    MonotonicTime now_ {Milliseconds {1'000'000}};
    std::mt19937_64 random_;
    // Events of the same time run in the order in which they were added.
    std::multimap<MonotonicTime, std::function<void()>> events_;
};

} // namespace crocusmill::fakes
