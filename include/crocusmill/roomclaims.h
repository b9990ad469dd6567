/// Room that steps keep on workers until they can start.
///
/// Load pattern: a ticket takes half a second, and in that time others take the room of the workers
/// that it is for; and small tasks take each core that comes free, so that there is never room for
/// all tasks of a gang at once. So a step that has found room on workers that it may use keeps it
/// until the answer, and a gang that could end in time collects room until it has enough. Pure;
/// owned by the control thread.

#pragma once

#include <crocusmill/fleet.h>

#include <map>
#include <optional>
#include <vector>

namespace crocusmill
{

class RoomClaims
{
public:
    /// `fleet` must outlive this object.
    explicit RoomClaims(Fleet &fleet);

    /// Takes the room of `choices` for the step, which must not have a claim.
    void claim(const StepDemand &demand, const std::vector<FleetChoice> &choices);
    /// The same for a step that collects room since `now`, or since an earlier collect() whose
    /// claim was withdrawn.
    void collect(
        const StepDemand &demand, const std::vector<FleetChoice> &choices, MonotonicTime now);
    /// Returns whether the step may collect room: all that do so are for at most a share of the
    /// cores of their service.
    [[nodiscard]] bool canCollect(const StepDemand &demand) const;

    /// Gives the room of the step's claim back and returns its choices, for another attempt to
    /// place the step. noteGains() must follow.
    [[nodiscard]] std::vector<FleetChoice> withdraw(const TaskRef &step);
    /// Notes the gains of the withdrawn choices that the step has not claimed again.
    void noteGains(const TaskRef &step, const std::vector<FleetChoice> &withdrawn);
    /// Gives the room of the step's claim back to the fleet, if it has one.
    void release(const TaskRef &step);
    /// Releases the claims of all steps of a job.
    void release(const GraphId &graph);
    /// Releases the claims of steps that have collected room since before `time`.
    void releaseCollectedBefore(MonotonicTime time);

    [[nodiscard]] bool contains(const TaskRef &step) const;
    /// Returns the number of steps with a claim.
    [[nodiscard]] std::size_t size() const;

private:
    struct Claim
    {
        ServiceName service;
        StepSpec spec;
        std::vector<FleetChoice> choices;
        std::optional<MonotonicTime> collectingSince;
    };

    [[nodiscard]] static std::uint64_t milliCoresOf(const StepSpec &spec);
    void take(const StepDemand &demand, const std::vector<FleetChoice> &choices,
        std::optional<MonotonicTime> collectingSince);
    void giveBack(const TaskRef &step, const Claim &claim);

    Fleet &fleet_;
    // Invariant: the choices of each claim take up room in fleet_.
    std::map<TaskRef, Claim> claims_;
    // When a step began to collect. Contains steps that collect, or whose claim is withdrawn.
    std::map<TaskRef, MonotonicTime> collectingSince_;
};

} // namespace crocusmill
