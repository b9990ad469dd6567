/// Implementation of SlewedClock.

#include <crocusmill/slewedclock.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// The clock runs at most one part in this many faster or slower than the time that passes.
constexpr int slewDivisor = 20;

} // namespace

SlewedClock::SlewedClock(Elapsed elapsed, WallTime system)
    : readAt_(elapsed)
    , time_(system)
    , system_(system)
{
}

WallTime SlewedClock::read(Elapsed elapsed, WallTime system)
{
    const Elapsed passed = std::max(elapsed - readAt_, Elapsed {0});
    const Elapsed maxCorrection = passed / slewDivisor;
    system_ = system;
    const Elapsed error = system_ - (time_ + passed);
    time_ += passed + std::clamp(error, -maxCorrection, maxCorrection);
    readAt_ += passed;
    return std::chrono::floor<Milliseconds>(time_);
}

Milliseconds SlewedClock::systemLead() const
{
    return std::chrono::duration_cast<Milliseconds>(system_ - time_);
}

} // namespace crocusmill
