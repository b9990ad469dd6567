/// Finds where messages end.

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
/// A larger buffer is given back once it is empty.
constexpr std::size_t keptWords = 8ULL * 1024;

} // namespace

void FrameBuffer::append(std::string_view bytes)
{
    const std::size_t needed = (end_ + bytes.size() + wordBytes - 1) / wordBytes;
    if (needed > words_.size()) {
        // What was taken makes room first, so that the buffer grows with what is open alone.
        words_.erase(words_.begin(), words_.begin() + static_cast<std::ptrdiff_t>(first_));
        end_ -= first_ * wordBytes;
        first_ = 0;
        words_.resize(std::max(words_.size(), (end_ + bytes.size()) / wordBytes + 1));
    }
    std::memcpy(reinterpret_cast<char *>(words_.data()) + end_, bytes.data(), bytes.size());
    end_ += bytes.size();
}

bool FrameBuffer::take(kj::Array<capnp::word> &message, std::uint64_t most)
{
    const std::size_t whole = end_ / wordBytes - first_;
    if (whole == 0) {
        return false;
    }
    const capnp::word *begin = reinterpret_cast<const capnp::word *>(words_.data() + first_);
    const std::size_t expected =
        capnp::expectedSizeInWordsFromPrefix(kj::ArrayPtr<const capnp::word> {begin, whole});
    KJ_REQUIRE(expected <= most, "a message is too long");
    if (expected > whole) {
        return false;
    }
    message = kj::heapArray<capnp::word>(expected);
    std::memcpy(message.begin(), begin, expected * wordBytes);
    first_ += expected;
    if (first_ * wordBytes == end_) {
        first_ = 0;
        end_ = 0;
        if (words_.size() > keptWords) {
            words_ = {};
        }
    }
    return true;
}

} // namespace crocusmill
