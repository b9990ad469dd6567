/// Smoothed mean and deviation of answer times.

#include <crocusmill/answertimeout.h>

#include <algorithm>
#include <chrono>

namespace crocusmill
{

namespace
{

// Weights and factor of RFC 6298.
constexpr std::int64_t meanSamples = 8;
constexpr std::int64_t deviationSamples = 4;
constexpr std::int64_t deviationFactor = 4;
constexpr std::uint32_t maxDoublings = 8;

} // namespace

AnswerTimeout::AnswerTimeout(const AnswerTimeoutSettings &settings)
    : settings_(settings)
{
}

void AnswerTimeout::recordAnswer(Microseconds duration)
{
    if (!mean_) {
        mean_ = duration;
        deviation_ = duration / 2;
        return;
    }
    const Microseconds distance = std::chrono::abs(duration - *mean_);
    deviation_ += (distance - deviation_) / deviationSamples;
    *mean_ += (duration - *mean_) / meanSamples;
}

Milliseconds AnswerTimeout::timeout(std::uint32_t unansweredCount) const
{
    if (!mean_) {
        return settings_.maxTimeout;
    }
    const Milliseconds first =
        std::max(std::chrono::ceil<Milliseconds>(*mean_ + deviation_ * deviationFactor),
            settings_.minTimeout);
    return std::min(
        first * (1U << std::min(unansweredCount / 2, maxDoublings)), settings_.maxTimeout);
}

} // namespace crocusmill
