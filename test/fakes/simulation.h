/// Virtual time: what happens in which order, drawn from one seed.

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

    void after(Milliseconds delay, std::function<void()> what)
    {
        at(now_ + delay, std::move(what));
    }

    void at(MonotonicTime when, std::function<void()> what)
    {
        events_.emplace(std::max(when, now_), std::move(what));
    }

    void runUntil(MonotonicTime end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = events_.begin()->first;
            const std::function<void()> what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
        now_ = end;
    }

    /// From `least` to `most`, both included.
    [[nodiscard]] Milliseconds between(int least, int most)
    {
        return Milliseconds {number(least, most)};
    }

    [[nodiscard]] int number(int least, int most)
    {
        const std::uint64_t span =
            static_cast<std::uint64_t>(most) - static_cast<std::uint64_t>(least) + 1;
        return least + static_cast<int>(random_() % span);
    }

    [[nodiscard]] bool chance(int percent)
    {
        return number(1, 100) <= percent;
    }

private:
    MonotonicTime now_ {Milliseconds {1'000'000}};
    std::mt19937_64 random_;
    // Events of the same moment come in the order in which they were added.
    std::multimap<MonotonicTime, std::function<void()>> events_;
};

} // namespace crocusmill::fakes
