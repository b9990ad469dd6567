/// Boost.Describe descriptions of the membership structs for the codecs.

#pragma once

#include "src/wire/json.h"

#include <crocusmill/consensus.h>

namespace crocusmill
{

BOOST_DESCRIBE_ENUM(MemberRole, Voter, Learner)
BOOST_DESCRIBE_STRUCT(NodeAddress, (), (ip, port))
BOOST_DESCRIBE_STRUCT(Member, (), (id, vm, address, role))
BOOST_DESCRIBE_STRUCT(Membership, (), (members))

} // namespace crocusmill
