/// Extracts Cap'n Proto messages from a byte stream that is split at arbitrary positions.

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

    /// Moves the next message into `message`. Returns false if it has not fully arrived.
    /// Throws kj::Exception if its header states a size above `maxWords`, in words.
    [[nodiscard]] bool takeMessage(kj::Array<capnp::word> &message, std::uint64_t maxWords);

private:
    // Stored as words because messages must be aligned.
    std::vector<std::uint64_t> words_;
    std::size_t firstWord_ = 0; // index of the first word that was not taken
    std::size_t endByte_ = 0; // end of the received data, in bytes
};

} // namespace crocusmill
