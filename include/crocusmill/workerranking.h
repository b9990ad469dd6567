/// Order among the workers that have room for a step, beyond best fit.

#pragma once

#include <crocusmill/ids.h>

#include <cstdint>

namespace crocusmill
{

class WorkerRanking
{
public:
    WorkerRanking() = default;
    WorkerRanking(const WorkerRanking &) = delete;
    WorkerRanking &operator=(const WorkerRanking &) = delete;
    virtual ~WorkerRanking() = default;

    /// Returns the rank of the worker for the step. Workers with lower ranks are chosen first, and
    /// 0 is the lowest. A worker with a high rank is still used if no other has room.
    [[nodiscard]] virtual std::uint32_t rankOf(const WorkerId &worker) const = 0;
};

} // namespace crocusmill
