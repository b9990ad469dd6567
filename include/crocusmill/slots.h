/// Slots of upstreams: who may use how many, and until when.
///
/// The leader's SlotLedger grants each entry slots for a bounded time; the entry's SlotPool uses
/// them without a further hop. At every moment the slots that entries may use, and those that
/// earlier holders may still occupy, are together no more than the upstream declared. Pure: time
/// is passed in. Not thread-safe; owned by the control thread.

#pragma once

#include <crocusmill/commands.h>
#include <crocusmill/error.h>
#include <crocusmill/ids.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocusmill
{

enum class Stage { Production, Trial };

/// The service that an upstream belongs to.
struct ServiceKey
{
    EnvironmentName environment;
    Stage stage = Stage::Production;
    ServiceName service;

    auto operator<=>(const ServiceKey &) const = default;
};

/// What the ledger needs to know of an upstream's announcement.
struct UpstreamSlots
{
    UpstreamId id;
    ServiceKey service;
    SlotCount slots;
    bool draining = false;
    Incarnation incarnation;
    std::vector<AttemptId> running;
};

struct SlotLine
{
    UpstreamId upstream;
    SlotCount slots;

    auto operator<=>(const SlotLine &) const = default;
};

struct DemandLine
{
    ServiceKey service;
    std::uint32_t wanted = 0; // requests that wait or run
};

/// Part of an attempt's id: the entry process that made it.
[[nodiscard]] EntryEpoch epochOf(const AttemptId &attempt);
[[nodiscard]] AttemptId makeAttemptId(const EntryEpoch &epoch, std::uint64_t number);

struct SlotTimes
{
    /// How long an entry may use a grant, counted from when it asked.
    Milliseconds grantLife {3000};
    /// Added by the leader for clocks that run at different rates.
    Milliseconds driftMargin {500};
};

class SlotLedger
{
public:
    /// A new leader knows nothing of earlier grants: until the longest of them is over, entries
    /// keep what they report and nobody gets more.
    SlotLedger(SlotTimes times, MonotonicTime now);

    void updateUpstream(const UpstreamSlots &upstream, MonotonicTime now);
    /// An operator's wish, between two announcements of the upstream.
    void setDraining(const UpstreamId &upstream, bool draining);
    /// The upstream said farewell or was not heard for its time to live.
    void markGone(const UpstreamId &upstream);

    /// An entry's report of what it holds: every line when `full`, else those that changed.
    void updateEntry(const EntryEpoch &entry, bool full, const std::vector<SlotLine> &held,
        const std::vector<DemandLine> &demand, MonotonicTime now);
    /// Slots that the entry may use from now on, where that differs from what it last reported.
    [[nodiscard]] std::vector<SlotLine> grant(const EntryEpoch &entry, MonotonicTime now);

    /// False once expire() has taken back what the entry held; its next report must be full.
    [[nodiscard]] bool hasEntry(const EntryEpoch &entry) const;
    /// Takes back what entries hold that were not heard for the life of a grant.
    void expire(MonotonicTime now);

    /// The most slots that may be occupied on an upstream now; never above what it declared,
    /// unless it has since declared fewer.
    [[nodiscard]] SlotCount occupied(const UpstreamId &upstream) const;

private:
    struct Holder
    {
        // Invariant: at least what the entry may use at this moment.
        std::uint32_t upperBound = 0;
        std::uint32_t limit = 0; // last told to the entry
        bool expired = false; // counted until an announcement shows that its work has left
    };
    struct Upstream
    {
        UpstreamSlots announced;
        bool alive = true;
        std::map<EntryEpoch, Holder> holders;
        std::map<EntryEpoch, std::uint32_t> targets;
    };
    struct EntryState
    {
        MonotonicTime lastReport;
        std::map<ServiceKey, std::uint32_t> demand;
    };

    [[nodiscard]] std::uint32_t occupiedSlots(const Upstream &upstream) const;
    [[nodiscard]] std::uint32_t orphanedAttemptCount(const Upstream &upstream) const;
    void removeExpiredHolders(Upstream &upstream);
    void rebalance(const ServiceKey &service);
    [[nodiscard]] std::map<EntryEpoch, std::uint32_t> targetShares(
        const ServiceKey &service, std::uint32_t slots) const;
    void assignFreeSlots(
        const std::vector<Upstream *> &upstreams, std::map<EntryEpoch, std::int64_t> &deficits);
    static void moveSurplusSlots(
        const std::vector<Upstream *> &upstreams, std::map<EntryEpoch, std::int64_t> &deficits);

    SlotTimes times_;
    MonotonicTime graceEnds_;
    std::map<UpstreamId, Upstream> upstreams_;
    std::map<EntryEpoch, EntryState> entries_;
    std::set<ServiceKey> servicesToRebalance_; // services whose targets are to be worked out again
};

enum class SlotError {
    NoneFree = 1,
    GrantExpired,
    UnknownUpstream,
};

template <> struct ErrorText<SlotError>
{
    static constexpr const char *category = "slots";
    static std::string_view text(SlotError error);
};

/// Place of an upstream in a pool; it stays the same for the pool's life.
using SlotHandle = StrongValue<struct SlotHandleTag, std::uint32_t>;

/// An entry's slots.
class SlotPool
{
public:
    /// The upstream's place; made when it has none yet.
    [[nodiscard]] SlotHandle handleOf(const UpstreamId &upstream);
    [[nodiscard]] std::uint32_t free(SlotHandle upstream) const
    {
        const Slots &slots = slots_[upstream.value()];
        return slots.inUse >= slots.limit ? 0 : slots.limit - slots.inUse;
    }
    /// What the entry holds there: what it may use, or what it still uses if that is more.
    [[nodiscard]] std::uint32_t held(SlotHandle upstream) const
    {
        const Slots &slots = slots_[upstream.value()];
        return slots.limit > slots.inUse ? slots.limit : slots.inUse;
    }

    /// Takes over a grant that was asked for at `asked` and is good for `life` from then on. Once
    /// a grant has run out, what it allowed is gone: a later one counts from nothing.
    void applyGrant(const std::vector<SlotLine> &lines, MonotonicTime requestedAt,
        Milliseconds validity, MonotonicTime now);
    /// The upstream takes no new work from this entry until the next grant.
    void close(const UpstreamId &upstream);

    /// Takes one slot. Errors: NoneFree, GrantExpired, UnknownUpstream.
    [[nodiscard]] Result<void> acquire(const UpstreamId &upstream, MonotonicTime now);
    void release(const UpstreamId &upstream);

    [[nodiscard]] std::uint32_t limit(const UpstreamId &upstream) const;
    [[nodiscard]] bool valid(MonotonicTime now) const;

    /// What is held: every upstream when `full`, else those that changed since acknowledged().
    [[nodiscard]] std::vector<SlotLine> report(bool full, MonotonicTime now);
    /// The leader has the lines that were reported.
    void acknowledge(const std::vector<SlotLine> &reported);

private:
    struct Slots
    {
        std::uint32_t limit = 0;
        std::uint32_t inUse = 0;
    };

    void clearExpiredLimits(MonotonicTime now);

    [[nodiscard]] const Slots *find(const UpstreamId &upstream) const;

    std::map<UpstreamId, SlotHandle> handles_;
    // Invariant: acquire() never lets inUse pass limit; a lowered limit leaves inUse to fall.
    std::vector<Slots> slots_; // by handle
    std::map<UpstreamId, std::uint32_t> acknowledged_;
    MonotonicTime validUntil_ {};
};

} // namespace crocusmill
