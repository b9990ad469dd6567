/// Recovery of work that no entry executes any more; part of the leader.

#pragma once

#include "src/services/interfaces.h"
#include "src/services/leadership.h"

#include <vector>

namespace crocusmill
{

class WorkRecovery
{
public:
    /// `leadership` holds null while this VM is not the leader. Both must outlive this object.
    WorkRecovery(Journal &journal, const std::unique_ptr<Leadership> &leadership);

    /// Recovers work whose entry is gone or has let its deadline pass: settles its attempt, then
    /// hands it over to another entry, or revokes it if it cannot continue.
    void step();

private:
    [[nodiscard]] std::vector<WorkId> abandonedWork() const;
    [[nodiscard]] bool canContinue(const Work &work) const;
    void recover(const Work &work);
    void revoke(const WorkId &id);
    void handOver(const WorkId &id);
    [[nodiscard]] EntryEpoch leastLoadedEntry() const;

    Journal &journal_;
    const std::unique_ptr<Leadership> &leadership_;
};

} // namespace crocusmill
