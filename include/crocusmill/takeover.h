/// In which order a new leader turns to the workers that it knows of.
///
/// Load pattern: hundreds of workers whose leases run out within seconds, and a first call to each.
/// Those with the most to lose come first. Pure.

#pragma once

#include <crocusmill/announcement.h>
#include <crocusmill/graphregistry.h>

#include <vector>

namespace crocusmill
{

/// Workers with the most recorded placements first; equal ones stay as they are.
void sortByPlacements(std::vector<WorkerHeartbeat> &workers, const GraphRegistry &graphs);

} // namespace crocusmill
