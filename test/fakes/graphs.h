/// Builders of jobs and steps for tests.

#pragma once

#include <crocusmill/taskgraph.h>

#include <string>

namespace crocusmill::fakes
{

inline StepSpec stepOf(std::uint32_t tasks, std::uint32_t cores = 1)
{
    constexpr std::uint32_t milliPerCore = 1000;
    StepSpec step;
    step.tasks = tasks;
    step.size.milliCores = cores * milliPerCore;
    step.estimate = Milliseconds {1'000};
    return step;
}

inline GraphSpec graphOf(const std::string &id, std::vector<StepSpec> steps)
{
    GraphSpec spec;
    spec.id = GraphId {id};
    spec.steps = std::move(steps);
    spec.queue = QueueName {"quotes"};
    spec.service = ServiceName {"matching"};
    spec.attempts = 2;
    return spec;
}

} // namespace crocusmill::fakes
