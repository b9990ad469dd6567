/// A run as it was measured, from which the leader learns how workers and tasks behave.

#pragma once

#include <crocusmill/taskgraph.h>

#include <map>

namespace crocusmill
{

/// Tasks of the same kind behave alike: they have the same image or, without one, the same queue
/// and number of their step.
using StepKind = StrongValue<struct StepKindTag, std::string>;

[[nodiscard]] StepKind kindOf(const StepSpec &spec, const QueueName &queue, std::uint32_t step);

/// A run that has succeeded.
struct MeasuredRun
{
    StepKind kind;
    GraphId job;
    WorkerId worker;
    /// Measured time relative to the expected one; positive.
    double relativeTime = 1;
    /// For each kind that ran alongside it on the worker, which part of the run it did, 0 to 1.
    std::map<StepKind, double> companions;
};

} // namespace crocusmill
