/// Tests of SentAttempts.

#include "src/services/sentattempts.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

TEST_CASE("a slot is freed exactly once, when the attempt's work has left the upstream")
{
    SentAttempts attempts;
    const AttemptId answered {"e-1"};
    const AttemptId lost {"e-2"};
    attempts.add(answered, RequestId {1}, UpstreamId {"u"}, Incarnation {"i"});
    attempts.add(lost, RequestId {2}, UpstreamId {"u"}, Incarnation {"i"});
    CHECK_FALSE(attempts.onDeparted(lost).has_value()); // its caller still waits
    CHECK(attempts.onEnded(answered, true) == RequestId {1});
    CHECK_FALSE(attempts.onEnded(answered, true).has_value());

    CHECK_FALSE(attempts.onEnded(lost, false).has_value());
    REQUIRE(attempts.lingeringAttempts().size() == 1);
    CHECK(attempts.lingeringAttempts().front().attempt == lost);
    CHECK(attempts.onDeparted(lost) == RequestId {2});
    CHECK_FALSE(attempts.onDeparted(lost).has_value());
    CHECK(attempts.lingeringAttempts().empty());
}

} // namespace crocusmill
