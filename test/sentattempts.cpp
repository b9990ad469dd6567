/// Attempts whose slots an entry holds.

#include "src/services/sentattempts.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

TEST_CASE("a slot is free once the attempt's work has left, and once only")
{
    SentAttempts attempts;
    const AttemptId answered {"e-1"};
    const AttemptId lost {"e-2"};
    attempts.sent(answered, RequestId {1}, UpstreamId {"u"}, Incarnation {"i"});
    attempts.sent(lost, RequestId {2}, UpstreamId {"u"}, Incarnation {"i"});
    CHECK_FALSE(attempts.departed(lost).has_value()); // its caller still waits
    CHECK(attempts.ended(answered, true) == RequestId {1});
    CHECK_FALSE(attempts.ended(answered, true).has_value());

    CHECK_FALSE(attempts.ended(lost, false).has_value());
    REQUIRE(attempts.lingering().size() == 1);
    CHECK(attempts.lingering().front().attempt == lost);
    CHECK(attempts.departed(lost) == RequestId {2});
    CHECK_FALSE(attempts.departed(lost).has_value());
    CHECK(attempts.lingering().empty());
}

} // namespace crocusmill
