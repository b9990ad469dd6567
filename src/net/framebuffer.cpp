/// Buffering and framing of messages.

#include "src/net/framebuffer.h"

#include <capnp/serialize.h>
#include <kj/debug.h>

#include <algorithm>
#include <cstring>

namespace crocusmill
{

namespace
{

constexpr std::size_t wordBytes = sizeof(std::uint64_t);
/// A buffer larger than this is freed when it becomes empty.
constexpr std::size_t maxRetainedWords = 8ULL * 1024;

} // namespace

void FrameBuffer::append(std::string_view bytes)
{
    const std::size_t needed = (endByte_ + bytes.size() + wordBytes - 1) / wordBytes;
    if (needed > words_.size()) {
        // Drops the words already taken, so that the buffer grows only with unread data.
        words_.erase(words_.begin(), words_.begin() + static_cast<std::ptrdiff_t>(firstWord_));
        endByte_ -= firstWord_ * wordBytes;
        firstWord_ = 0;
        words_.resize(std::max(words_.size(), (endByte_ + bytes.size()) / wordBytes + 1));
    }
    std::memcpy(reinterpret_cast<char *>(words_.data()) + endByte_, bytes.data(), bytes.size());
    endByte_ += bytes.size();
}

bool FrameBuffer::takeMessage(kj::Array<capnp::word> &message, std::uint64_t maxWords)
{
    const std::size_t completeWords = endByte_ / wordBytes - firstWord_;
    if (completeWords == 0) {
        return false;
    }
    const capnp::word *begin = reinterpret_cast<const capnp::word *>(words_.data() + firstWord_);
    const std::size_t expected = capnp::expectedSizeInWordsFromPrefix(
        kj::ArrayPtr<const capnp::word> {begin, completeWords});
    KJ_REQUIRE(expected <= maxWords, "a message is too long");
    if (expected > completeWords) {
        return false;
    }
    message = kj::heapArray<capnp::word>(expected);
    std::memcpy(message.begin(), begin, expected * wordBytes);
    firstWord_ += expected;
    if (firstWord_ * wordBytes == endByte_) {
        firstWord_ = 0;
        endByte_ = 0;
        if (words_.size() > maxRetainedWords) {
            words_ = {};
        }
    }
    return true;
}

} // namespace crocusmill
