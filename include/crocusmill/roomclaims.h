/// Room that steps keep on workers while they wait for tickets.
///
/// Load pattern: a ticket takes half a second, and in that time others take the room of the worker
/// that it is for. Gangs then ask again and again, and their requests keep those of others from
/// being answered. So a step that has found room on workers that it may use keeps it until the
/// answer. Pure; owned by the control thread.

#pragma once

#include <crocusmill/fleet.h>

#include <map>
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
    /// Gives the room of the step's claim back and returns its choices, for another attempt to
    /// place the step. noteGains() must follow.
    [[nodiscard]] std::vector<FleetChoice> withdraw(const TaskRef &step);
    /// Notes the gains of the withdrawn choices that the step has not claimed again.
    void noteGains(const TaskRef &step, const std::vector<FleetChoice> &withdrawn);
    /// Gives the room of the step's claim back to the fleet, if it has one.
    void release(const TaskRef &step);
    /// Releases the claims of all steps of a job.
    void release(const GraphId &graph);

    [[nodiscard]] bool contains(const TaskRef &step) const;
    /// Returns the number of steps with a claim.
    [[nodiscard]] std::size_t size() const;

private:
    struct Claim
    {
        StepSpec spec;
        std::vector<FleetChoice> choices;
    };

    void giveBack(const TaskRef &step, const Claim &claim);

    Fleet &fleet_;
    // Invariant: the choices of each claim take up room in fleet_.
    std::map<TaskRef, Claim> claims_;
};

} // namespace crocusmill
