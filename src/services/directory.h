/// The leader's table of upstreams. Each change gets a version, so that entries receive only
/// changes that are new to them. Performs no I/O; control thread only.

#pragma once

#include "src/wire/calls.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocusmill
{

class Directory
{
public:
    /// Versions start from the term, so those of a later leader are higher.
    explicit Directory(Term term);

    struct Record
    {
        Announcement announcement;
        std::uint32_t number = 0;
        std::uint64_t version = 0;
        MonotonicTime lastHeardAt;
        bool isGone = false;
    };

    /// Applies an announcement and returns the upstream's number.
    std::uint32_t onAnnouncement(const Announcement &announcement, MonotonicTime now);
    void recordHeard(std::uint32_t number, MonotonicTime now);
    /// Marks upstreams last heard before `before` as gone and returns them.
    [[nodiscard]] std::vector<UpstreamId> markSilentGone(MonotonicTime before);
    void markGone(const UpstreamId &upstream);

    [[nodiscard]] const Record *find(const UpstreamId &upstream) const;
    [[nodiscard]] std::vector<DirectoryEntry> changedSince(std::uint64_t version) const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::set<UpstreamId> aliveUpstreams() const;
    [[nodiscard]] const std::map<UpstreamId, Record> &records() const;

private:
    std::uint64_t version_;
    std::map<UpstreamId, Record> records_;
    std::vector<UpstreamId> idsByNumber_; // the index is the upstream's number
};

} // namespace crocusmill
