/// JSON encoding of the membership.

#include "src/wire/membershipcodec.h"

#include "src/wire/membershipjson.h"

namespace crocusmill
{

std::string encodeMembership(const Membership &membership)
{
    return encodeStruct(membership);
}

Result<Membership> decodeMembership(std::string_view text)
{
    return decodeStruct<Membership>(text);
}

} // namespace crocusmill
