/// Encoding of control calls as tagged records.

#include "src/wire/calls.h"

#include "src/wire/binary.h"
#include "src/wire/calljson.h"

namespace crocusmill
{

std::string encodeCall(const Call &call)
{
    return encodeRecord(call);
}

Result<Call> decodeCall(std::string_view text)
{
    return decodeRecord<Call>(text);
}

std::string encodeReply(const Reply &reply)
{
    return encodeRecord(reply);
}

Result<Reply> decodeReply(std::string_view text)
{
    return decodeRecord<Reply>(text);
}

} // namespace crocusmill
