/// Seeded arrival trace for load tests: time, class, service time and key of each request.

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
    std::uint32_t slots = 400; // total of all upstreams
    double calm = 0.5; // load as a share of the slots' capacity, outside the crest
    double crest = 1.5; // load at the crest
    Milliseconds calmBefore {8'000};
    Milliseconds ramp {1'000};
    Milliseconds crestTime {5'000};
    Milliseconds calmAfter {4'000};
    bool arch = false; // the mix of classes of the arch desk, whose clients resubmit requests
    bool withoutHeavy = false;
};

enum class Phase { Calm, Crest, After };

struct Arrival
{
    Microseconds at {0}; // since the start of the run
    WorkClass workClass = WorkClass::Quick;
    Microseconds service {0};
    Phase phase = Phase::Calm;
    std::string key; // idempotency key, empty for quick work
};

/// Returns the request rate per second at which all slots are exactly busy.
[[nodiscard]] double capacityPerSecond(const TapeOptions &options);

/// Generates the arrivals, ordered by time. Equal options give equal arrivals.
[[nodiscard]] std::vector<Arrival> makeTape(const TapeOptions &options);

} // namespace crocusmill::bench
