/// Distribution of upstream slots among entries by time-limited grants.
///
/// The leader's SlotLedger grants each entry slots for a bounded time; the entry's SlotPool uses
/// them without asking the leader again. At any time, the slots that entries may use plus those
/// that earlier holders may still occupy never exceed what the upstream declared. No I/O: the
/// caller passes in the time. Not thread-safe; owned by the control thread.

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

/// Identifies a service in one stage of an environment.
struct ServiceKey
{
    EnvironmentName environment;
    Stage stage = Stage::Production;
    ServiceName service;

    auto operator<=>(const ServiceKey &) const = default;
};

/// The part of an upstream's announcement that concerns slots.
struct UpstreamSlots
{
    UpstreamId id;
    ServiceKey service;
    SlotCount slots;
    bool draining = false;
    Incarnation incarnation;
    std::vector<AttemptId> running;
};

/// Slots of one upstream that an entry holds or is granted.
struct SlotLine
{
    UpstreamId upstream;
    SlotCount slots;

    auto operator<=>(const SlotLine &) const = default;
};

/// Demand of an entry for slots of one service.
struct DemandLine
{
    ServiceKey service;
    std::uint32_t wanted = 0; // waiting and running requests
};

/// Returns the epoch of the entry process that created the attempt, which prefixes its id.
[[nodiscard]] EntryEpoch epochOf(const AttemptId &attempt);
[[nodiscard]] AttemptId makeAttemptId(const EntryEpoch &epoch, std::uint64_t number);

struct SlotTimes
{
    /// How long an entry may use a grant, counted from its request.
    Milliseconds grantLife {3000};
    /// Added by the leader to tolerate clocks that run at different rates.
    Milliseconds driftMargin {500};
};

/// The leader's record of slots held by each entry.
class SlotLedger
{
public:
    /// Starts with a grace period of one grant life plus the drift margin, since a new leader does
    /// not know earlier grants. Until it ends, entries keep what they report and get nothing more.
    SlotLedger(SlotTimes times, MonotonicTime now);

    /// Applies an upstream's announcement.
    void updateUpstream(const UpstreamSlots &upstream, MonotonicTime now);
    /// Sets the operator's drain request between two announcements of the upstream.
    void setDraining(const UpstreamId &upstream, bool draining);
    /// Marks an upstream that said farewell or stopped announcing itself as gone.
    void markGone(const UpstreamId &upstream);

    /// Applies an entry's report of the slots that it holds: all of them if `full`, otherwise only
    /// those that changed.
    void updateEntry(const EntryEpoch &entry, bool full, const std::vector<SlotLine> &held,
        const std::vector<DemandLine> &demand, MonotonicTime now);
    /// Returns the slots that the entry may use from now on, where they differ from its last report
    /// or grant.
    [[nodiscard]] std::vector<SlotLine> grant(const EntryEpoch &entry, MonotonicTime now);

    /// Returns false for a new entry and once expire() has dropped it; its next report must then be
    /// full.
    [[nodiscard]] bool hasEntry(const EntryEpoch &entry) const;
    /// Drops entries that have not reported for a grant life plus the drift margin. Their slots
    /// stay counted until an announcement shows which attempts still run.
    void expire(MonotonicTime now);

    /// Returns an upper bound of the slots in use on an upstream. It exceeds the declared slots
    /// only if the upstream has since declared fewer.
    [[nodiscard]] SlotCount occupied(const UpstreamId &upstream) const;

private:
    struct Holder
    {
        // Invariant: not less than what the entry may use now.
        std::uint32_t upperBound = 0;
        std::uint32_t limit = 0; // last sent to the entry
        bool expired = false; // counted until the next announcement
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
    std::set<ServiceKey> servicesToRebalance_;
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

/// Index of an upstream in a pool, stable for the pool's lifetime.
using SlotHandle = StrongValue<struct SlotHandleTag, std::uint32_t>;

/// Slots granted to an entry, and how many of them are in use.
class SlotPool
{
public:
    /// Returns the upstream's handle, creating it if needed.
    [[nodiscard]] SlotHandle handleOf(const UpstreamId &upstream);
    [[nodiscard]] std::uint32_t free(SlotHandle upstream) const
    {
        const Slots &slots = slots_[upstream.value()];
        return slots.inUse >= slots.limit ? 0 : slots.limit - slots.inUse;
    }
    /// Returns the slots held on the upstream: the limit, or the slots in use if those are more.
    [[nodiscard]] std::uint32_t held(SlotHandle upstream) const
    {
        const Slots &slots = slots_[upstream.value()];
        return slots.limit > slots.inUse ? slots.limit : slots.inUse;
    }

    /// Applies a grant that is valid for `validity` from `requestedAt`. If the previous grant has
    /// expired, all its limits are reset to 0 first.
    void applyGrant(const std::vector<SlotLine> &lines, MonotonicTime requestedAt,
        Milliseconds validity, MonotonicTime now);
    /// Stops new work on the upstream until the next grant.
    void close(const UpstreamId &upstream);

    /// Acquires one slot. Errors: NoneFree, GrantExpired, UnknownUpstream.
    [[nodiscard]] Result<void> acquire(const UpstreamId &upstream, MonotonicTime now);
    void release(const UpstreamId &upstream);

    [[nodiscard]] std::uint32_t limit(const UpstreamId &upstream) const;
    [[nodiscard]] bool valid(MonotonicTime now) const;

    /// Returns the slots held: all if `full`, otherwise those that changed since acknowledge().
    [[nodiscard]] std::vector<SlotLine> report(bool full, MonotonicTime now);
    /// Records that the leader received the reported lines.
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
    // Invariant: acquire() never raises inUse above limit; inUse may exceed a limit lowered later.
    std::vector<Slots> slots_; // indexed by handle
    std::map<UpstreamId, std::uint32_t> acknowledged_;
    MonotonicTime validUntil_ {};
};

} // namespace crocusmill
