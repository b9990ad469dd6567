/// Recovery of work that no entry carries any more; a part of the leader.

#pragma once

#include "src/services/interfaces.h"
#include "src/services/leadership.h"

#include <vector>

namespace crocusmill
{

class WorkRecovery
{
public:
    /// `lead` is null while this VM does not lead; both outlive this object.
    WorkRecovery(Journal &journal, const std::unique_ptr<Leadership> &leadership);

    /// Work whose entry is gone or has let its deadline pass: its attempt is settled, then another
    /// entry carries it on, or it is given up where nobody has the request.
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
