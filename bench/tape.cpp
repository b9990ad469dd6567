/// Poisson arrivals with one load crest.

#include "bench/tape.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace crocusmill::bench
{

namespace
{

constexpr double quickSeconds = 0.020;
constexpr double deferrableSeconds = 0.200;
constexpr double heavySeconds = 2.0;
constexpr double heavySigma = 0.5; // standard deviation of the logarithm
constexpr double stragglerShare = 0.01;
constexpr double stragglerFactor = 20;
constexpr double microsecondsPerSecond = 1e6;

struct Mix
{
    double quick;
    double deferrable;
    double heavy;
};

constexpr Mix defaultMix {0.85, 0.10, 0.05};
constexpr Mix archMix {0.88, 0.10, 0.02};

Mix mixOf(const TapeOptions &options)
{
    return options.arch ? archMix : defaultMix;
}

Microseconds asMicroseconds(double seconds)
{
    return Microseconds {static_cast<std::int64_t>(seconds * microsecondsPerSecond)};
}

class Sampler
{
public:
    explicit Sampler(const TapeOptions &options)
        : random_(options.seed)
        , mix_(mixOf(options))
    {
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double> {1 / mean}(random_);
    }

    WorkClass workClass()
    {
        const double sample = unit_(random_);
        if (sample < mix_.quick) {
            return WorkClass::Quick;
        }
        return sample < mix_.quick + mix_.deferrable ? WorkClass::Deferrable : WorkClass::Heavy;
    }

    Microseconds service(WorkClass workClass)
    {
        switch (workClass) {
        case WorkClass::Quick:
            return asMicroseconds(exponential(quickSeconds));
        case WorkClass::Deferrable:
            return asMicroseconds(exponential(deferrableSeconds));
        case WorkClass::Heavy:
            break;
        }
        const double median = std::log(heavySeconds) - heavySigma * heavySigma / 2;
        const double time = std::lognormal_distribution<double> {median, heavySigma}(random_);
        const bool straggler = unit_(random_) < stragglerShare;
        return asMicroseconds(straggler ? time * stragglerFactor : time);
    }

private:
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> unit_ {0, 1};
    Mix mix_;
};

struct LoadPoint
{
    double load;
    Phase phase;
};

LoadPoint loadPointAt(const TapeOptions &options, Milliseconds time)
{
    const Milliseconds rampEnd = options.calmBefore + options.ramp;
    const Milliseconds crestEnd = rampEnd + options.crestTime;
    if (time < options.calmBefore) {
        return {options.calm, Phase::Calm};
    }
    if (time < rampEnd) {
        const double share = static_cast<double>((time - options.calmBefore).count())
            / static_cast<double>(options.ramp.count());
        return {options.calm + share * (options.crest - options.calm), Phase::Crest};
    }
    return time < crestEnd ? LoadPoint {options.crest, Phase::Crest}
                           : LoadPoint {options.calm, Phase::After};
}

} // namespace

double capacityPerSecond(const TapeOptions &options)
{
    const Mix mix = mixOf(options);
    const double heavyMean = heavySeconds * (1 + stragglerShare * (stragglerFactor - 1));
    const double mean =
        mix.quick * quickSeconds + mix.deferrable * deferrableSeconds + mix.heavy * heavyMean;
    return options.slots / mean;
}

std::vector<Arrival> makeTape(const TapeOptions &options)
{
    Sampler sampler {options};
    const double capacity = capacityPerSecond(options);
    const Milliseconds end =
        options.calmBefore + options.ramp + options.crestTime + options.calmAfter;
    std::vector<Arrival> tape;
    double seconds = 0;
    std::uint64_t sequence = 0;
    for (;;) {
        const Milliseconds now {static_cast<std::int64_t>(seconds * 1000)};
        if (now >= end) {
            return tape;
        }
        const LoadPoint point = loadPointAt(options, now);
        seconds += sampler.exponential(1 / (capacity * point.load));
        Arrival arrival;
        arrival.at = asMicroseconds(seconds);
        arrival.workClass = sampler.workClass();
        arrival.service = sampler.service(arrival.workClass);
        arrival.phase = point.phase;
        if (arrival.workClass != WorkClass::Quick) {
            arrival.key = "tape-" + std::to_string(options.seed) + "-" + std::to_string(sequence);
        }
        ++sequence;
        if (!(options.withoutHeavy && arrival.workClass == WorkClass::Heavy)) {
            tape.push_back(std::move(arrival));
        }
    }
}

} // namespace crocusmill::bench
