/// Control calls as tagged JSON records.

#include "src/wire/calls.h"

#include "src/wire/calljson.h"

namespace crocusmill
{

std::string encodeCall(const Call &call)
{
    return encodeVariant(call);
}

Result<Call> decodeCall(std::string_view text)
{
    return decodeVariant<Call>(text);
}

std::string encodeReply(const Reply &reply)
{
    return encodeVariant(reply);
}

Result<Reply> decodeReply(std::string_view text)
{
    return decodeVariant<Reply>(text);
}

} // namespace crocusmill
