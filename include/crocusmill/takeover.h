/// The order in which a new leader first calls the workers.
///
/// Load pattern: the leases of hundreds of workers expire within seconds, and each worker needs a
/// first call. Workers with the most placed tasks come first. Pure.

#pragma once

#include <crocusmill/announcement.h>
#include <crocusmill/graphregistry.h>

#include <vector>

namespace crocusmill
{

/// Sorts workers by the number of recorded placements, descending. The sort is stable.
void sortByPlacements(std::vector<WorkerHeartbeat> &workers, const GraphRegistry &graphs);

} // namespace crocusmill
