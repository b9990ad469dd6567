/// Placement of tasks, compared with plain sums of the reservations on each worker.

#include <crocusmill/placement.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t gigabyte = 1ULL << 30U;

PlacementWorker worker(std::uint32_t number, std::uint32_t cores, std::uint64_t gigabytes)
{
    PlacementWorker spec;
    spec.id = WorkerId {"w" + std::to_string(number)};
    spec.zone = AvailabilityZone {"z" + std::to_string(number % 3)};
    spec.rack = RackId {"r" + std::to_string(number / 8)};
    spec.incarnation = Incarnation {"i"};
    spec.capacity = {cores * 1000, ByteCount {gigabytes * gigabyte}, 0};
    return spec;
}

PlacementJob job(const std::string &id, JobClass jobClass, std::uint32_t tasks, std::uint32_t cores)
{
    PlacementJob requested;
    requested.id = JobId {id};
    requested.jobClass = jobClass;
    requested.size = {cores * 1000, ByteCount {gigabyte}, 0};
    for (std::uint32_t task = 0; task < tasks; ++task) {
        requested.waiting.push_back(task);
    }
    return requested;
}

} // namespace

TEST_CASE("a gang is placed as a whole or not at all and reserves nothing while it waits")
{
    Placement placement {PlacementPolicy::PackAndSpread};
    for (std::uint32_t i = 0; i < 4; ++i) {
        placement.setWorker(worker(i, 4, 64));
    }
    const PlacementResult first = placement.place(job("a", JobClass::Gang, 3, 4), 100);
    CHECK(first.chosen.size() == 3);
    const PlacementResult second = placement.place(job("b", JobClass::Gang, 2, 4), 100);
    CHECK(second.chosen.empty());
    CHECK(second.obstacle == PlacementObstacle::NoRoom);
    CHECK(placement.place(job("c", JobClass::Batch, 1, 4), 100).chosen.size() == 1);
}

TEST_CASE("a service spreads over zones and racks")
{
    Placement placement {PlacementPolicy::PackAndSpread};
    for (std::uint32_t i = 0; i < 24; ++i) {
        placement.setWorker(worker(i, 64, 256));
    }
    const PlacementResult placed = placement.place(job("s", JobClass::Service, 9, 1), 100);
    REQUIRE(placed.chosen.size() == 9);
    std::map<std::string, int> zones;
    std::map<std::string, int> racks;
    for (const ChosenWorker &chosen : placed.chosen) {
        const int number = std::stoi(chosen.worker.value().substr(1));
        ++zones[std::to_string(number % 3)];
        ++racks[std::to_string(number / 8)];
    }
    for (const std::pair<const std::string, int> &zone : zones) {
        CHECK(zone.second == 3);
    }
    CHECK(racks.size() == 3);
}

TEST_CASE("jobs that can never fit are reported at once")
{
    Placement placement {PlacementPolicy::PackAndSpread};
    placement.setWorker(worker(0, 4, 64));
    CHECK(placement.feasible(job("a", JobClass::Batch, 1, 5)) == PlacementObstacle::NeverFits);
    CHECK(placement.feasible(job("b", JobClass::Gang, 2, 4)) == PlacementObstacle::NeverFits);
    CHECK(placement.feasible(job("c", JobClass::Batch, 2, 4)) == PlacementObstacle::None);
}

TEST_CASE("a closed worker gets no new tasks")
{
    Placement placement {PlacementPolicy::PackAndSpread};
    placement.setWorker(worker(0, 4, 64));
    placement.removeWorker(WorkerId {"w0"});
    CHECK(placement.place(job("a", JobClass::Batch, 1, 1), 1).chosen.empty());
}

TEST_CASE("reservations never exceed the capacity of a worker")
{
    const bool holds = rc::check([](std::uint64_t seed) {
        std::mt19937_64 random {seed};
        Placement placement {PlacementPolicy::PackAndSpread};
        std::map<WorkerId, TaskSize> used; // reference: plain sums
        std::map<WorkerId, TaskSize> capacity;
        for (std::uint32_t i = 0; i < 8; ++i) {
            const PlacementWorker spec = worker(i, 2 + i, 4 + i);
            placement.setWorker(spec);
            capacity[spec.id] = spec.capacity;
            used[spec.id] = {};
        }
        struct RunningTask
        {
            PlacementJob job;
            WorkerId worker;
        };
        std::vector<RunningTask> running;
        for (int step = 0; step < 200; ++step) {
            if (random() % 3 > 0) {
                const JobClass jobClass = static_cast<JobClass>(random() % 3);
                PlacementJob requested = job(std::to_string(step), jobClass,
                    static_cast<std::uint32_t>(1 + random() % 4),
                    static_cast<std::uint32_t>(1 + random() % 3));
                const PlacementResult placed = placement.place(requested, 4);
                const bool gang = jobClass == JobClass::Gang;
                RC_ASSERT(!gang || placed.chosen.empty()
                    || placed.chosen.size() == requested.waiting.size());
                for (const ChosenWorker &chosen : placed.chosen) {
                    used[chosen.worker].milliCores += requested.size.milliCores;
                    used[chosen.worker].memory = ByteCount {
                        used[chosen.worker].memory.value() + requested.size.memory.value()};
                    running.push_back({requested, chosen.worker});
                }
            } else if (!running.empty()) {
                const std::size_t at = random() % running.size();
                const RunningTask ended = running[at];
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
                placement.release(ended.worker, ended.job.id, ended.job.jobClass, ended.job.size);
                used[ended.worker].milliCores -= ended.job.size.milliCores;
                used[ended.worker].memory =
                    ByteCount {used[ended.worker].memory.value() - ended.job.size.memory.value()};
            }
            for (const std::pair<const WorkerId, TaskSize> &item : used) {
                const TaskSize &limit = capacity[item.first];
                RC_ASSERT(item.second.milliCores <= limit.milliCores);
                RC_ASSERT(item.second.memory.value() <= limit.memory.value());
                RC_ASSERT(placement.freeOn(item.first).milliCores
                    == limit.milliCores - item.second.milliCores);
            }
        }
    });
    CHECK(holds);
}

} // namespace crocusmill
