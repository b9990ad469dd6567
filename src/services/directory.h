/// The leader's table of upstreams, with a version for each change so that entries are sent only
/// what is new to them. Pure; owned by the control thread.

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
    /// Versions of a later leader are higher than all of an earlier one.
    explicit Directory(Term term);

    struct Record
    {
        Announcement announcement;
        std::uint32_t number = 0;
        std::uint64_t version = 0;
        MonotonicTime lastHeardAt;
        bool isGone = false;
    };

    /// Takes an announcement in; returns the upstream's number.
    std::uint32_t onAnnouncement(const Announcement &announcement, MonotonicTime now);
    void recordHeard(std::uint32_t number, MonotonicTime now);
    /// Marks those not heard since `before` as gone and returns them.
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
    std::vector<UpstreamId> idsByNumber_; // an upstream's number is its place here
};

} // namespace crocusmill
