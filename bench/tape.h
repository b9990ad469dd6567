/// A seeded tape of arrivals: when, of which class, how long to serve, under which key.

#pragma once

#include <crocusmill/document.h>
#include <crocusmill/ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crocusmill::bench
{

struct TapeOptions
{
    std::uint64_t seed = 1;
    std::uint32_t slots = 400; // of all upstreams together
    double calm = 0.5; // share of the slots' capacity
    double crest = 1.5;
    Milliseconds calmBefore {8'000};
    Milliseconds ramp {1'000};
    Milliseconds crestTime {5'000};
    Milliseconds calmAfter {4'000};
    bool arch = false; // the arch desk's mix, with clerks who resubmit
    bool withoutHeavy = false;
};

enum class Phase { Calm, Crest, After };

struct Arrival
{
    Microseconds at {0}; // since the start of the run
    WorkClass workClass = WorkClass::Quick;
    Microseconds service {0};
    Phase phase = Phase::Calm;
    std::string key; // for work that may not be repeated
};

/// Requests a second that keep the slots exactly busy.
[[nodiscard]] double capacityPerSecond(const TapeOptions &options);

[[nodiscard]] std::vector<Arrival> makeTape(const TapeOptions &options);

} // namespace crocusmill::bench
