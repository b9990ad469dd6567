/// Cap'n Proto messages out of the bytes of a stream, however these were cut on their way.

#pragma once

#include <crocusmill/ids.h>

#include <capnp/common.h>
#include <kj/array.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace crocusmill
{

class FrameBuffer
{
public:
    void append(std::string_view bytes);

    /// True with a message in `message`; false: its end has not arrived yet.
    /// Throws kj::Exception when it states to be longer than `most`, in words.
    [[nodiscard]] bool take(kj::Array<capnp::word> &message, std::uint64_t maxWords);

private:
    // Words, as messages have to be aligned. Those from first_ on are not yet taken.
    std::vector<std::uint64_t> words_;
    std::size_t firstWord_ = 0; // a word
    std::size_t endByte_ = 0; // a byte
};

} // namespace crocusmill
