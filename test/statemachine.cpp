/// Commands and snapshots of the state machine; work is compared with a reference model.

#include <crocusmill/statemachine.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

namespace crocusmill
{

namespace
{

std::string documentText(std::uint64_t version, const std::string &host)
{
    return R"({"name": "rocola", "version": )" + std::to_string(version) + R"(, "hosts": [")" + host
        + R"("]})";
}

TryEnvironment trial(std::uint64_t version, const std::string &host = "rocola.test")
{
    const std::string text = documentText(version, host);
    return {EnvironmentName {"rocola"}, DocumentVersion {version}, digestOf(text), text,
        OperatorName {"ana"}};
}

PromoteEnvironment promotion(const TryEnvironment &trialCommand, const std::string &by = "ana")
{
    return {trialCommand.environment, trialCommand.version, trialCommand.digest, OperatorName {by}};
}

AdmitWork admission(const std::string &id, bool repeatable, bool exclusive)
{
    AdmitWork admit;
    admit.work = WorkId {id};
    admit.environment = EnvironmentName {"rocola"};
    admit.key = IdempotencyKey {"key-" + id};
    admit.digest = Digest {"d"};
    admit.repeatable = repeatable;
    admit.exclusive = exclusive;
    admit.owner = EntryEpoch {"e1"};
    return admit;
}

StartWork start(const std::string &id, const std::string &attempt)
{
    return {
        WorkId {id}, AttemptId {attempt}, UpstreamId {"u"}, Incarnation {"i"}, EntryEpoch {"e1"}};
}

/// Applies commands at consecutive log indexes.
class Applier
{
public:
    ApplyReply operator()(const Command &command)
    {
        index_ = next(index_);
        return state.apply(command, index_);
    }

    LogIndex index() const
    {
        return index_;
    }

    StateMachine state;

private:
    LogIndex index_;
};

/// Reference model of one piece of work and its attempts.
struct ReferenceModel
{
    bool admitted = false;
    bool ended = false;
    std::map<std::string, AttemptState> attempts;
    std::vector<std::string> order;

    bool canStart(bool repeatable, bool exclusive) const
    {
        if (!admitted || ended) {
            return false;
        }
        bool mayHaveRun = false;
        for (const std::string &attempt : order) {
            mayHaveRun = mayHaveRun || attempts.at(attempt) != AttemptState::NotRun;
        }
        if (!repeatable && mayHaveRun) {
            return false;
        }
        const bool isLastOpen =
            !order.empty() && attempts.at(order.back()) == AttemptState::Started;
        return !(exclusive && isLastOpen);
    }
};

} // namespace

TEST_CASE("promotion is a compare-and-set on version and digest")
{
    Applier apply;
    const TryEnvironment first = trial(2, "rocola.test");
    const TryEnvironment conflicting = trial(2, "other.test");
    CHECK(apply(first).error == StateError::None);
    CHECK(apply(conflicting).error == StateError::None);
    CHECK(apply(promotion(first, "ana")).error == StateError::None);

    const ApplyReply resend = apply(promotion(first, "ana"));
    CHECK(resend.error == StateError::None);
    CHECK(resend.repeated);

    const ApplyReply conflict = apply(promotion(conflicting, "luis"));
    CHECK(conflict.error == StateError::VersionConflict);
    REQUIRE(conflict.conflict.has_value());
    CHECK(conflict.conflict->digest == first.digest);
    CHECK(conflict.conflict->by == OperatorName {"ana"});

    CHECK(apply(trial(1)).error == StateError::VersionStale);
    const TryEnvironment later = trial(3);
    CHECK(apply(promotion(later)).error == StateError::NotTried);
    apply(later);
    CHECK(apply(promotion(later)).error == StateError::None);
    CHECK(apply(promotion(first)).error == StateError::VersionStale);
}

TEST_CASE("a host belongs to one environment")
{
    Applier apply;
    const TryEnvironment mine = trial(1);
    apply(mine);
    apply(promotion(mine));
    TryEnvironment other = mine;
    other.environment = EnvironmentName {"arches"};
    other.document = R"({"name": "arches", "version": 1, "hosts": ["rocola.test"]})";
    other.digest = digestOf(other.document);
    CHECK(apply(other).error == StateError::HostTaken);
}

TEST_CASE("a key returns the work of the same request and refuses another body")
{
    Applier apply;
    CHECK(apply(admission("a", false, false)).error == StateError::None);
    AdmitWork again = admission("b", false, false);
    again.key = IdempotencyKey {"key-a"};
    const ApplyReply joined = apply(again);
    CHECK(joined.work == WorkId {"a"});
    CHECK(joined.repeated);
    again.digest = Digest {"other"};
    CHECK(apply(again).error == StateError::KeyReused);
}

TEST_CASE("a key whose work was proved not run may be used again")
{
    Applier apply;
    apply(admission("a", false, false));
    CHECK(apply(RevokeWork {WorkId {"a"}, false, {}}).error == StateError::None);
    CHECK(apply.state.findWork(WorkId {"a"})->execution() == Execution::NotRun);
    AdmitWork again = admission("b", false, false);
    again.key = IdempotencyKey {"key-a"};
    again.seen = apply.index();
    CHECK(apply(again).work == WorkId {"b"});
    CHECK(apply(start("a", "e1-1")).error == StateError::AlreadyEnded);
    CHECK(apply(start("b", "e1-2")).error == StateError::None);
}

TEST_CASE("a delayed request does not run after its key was reported as not run")
{
    Applier apply;
    AdmitWork delayed = admission("a", false, false);
    delayed.seen = apply.index();
    AdmitWork resubmitted = admission("b", false, false);
    resubmitted.key = delayed.key;
    apply(resubmitted);
    apply(RevokeWork {resubmitted.work, false, {}});
    CHECK(apply.state.findWork(resubmitted.work)->execution() == Execution::NotRun);
    const ApplyReply delayedReply = apply(delayed);
    CHECK(delayedReply.work == resubmitted.work);
    CHECK(delayedReply.repeated);
    CHECK(apply(start("a", "e1-1")).error == StateError::NoSuchWork);
}

TEST_CASE("a restored state knows which work a key belongs to")
{
    Applier apply;
    for (const char *id : {"b", "a"}) {
        AdmitWork admit = admission(id, false, false);
        admit.key = IdempotencyKey {"k"};
        admit.seen = apply.index();
        apply(admit);
        apply(RevokeWork {admit.work, false, {}});
    }
    StateMachine restored;
    REQUIRE(restored.restore(apply.state.snapshot()).has_value());
    const EnvironmentName environment {"rocola"};
    CHECK(apply.state.findWorkByKey(environment, IdempotencyKey {"k"})->id == WorkId {"a"});
    CHECK(restored.findWorkByKey(environment, IdempotencyKey {"k"})->id == WorkId {"a"});
}

TEST_CASE("an image does not change when the state changes")
{
    Applier apply;
    apply(admission("a", false, false));
    SubmitJob job;
    job.job = JobId {"j"};
    apply(job);
    const StateImage image = apply.state.image();
    const std::string before = apply.state.snapshot();
    apply(start("a", "e1-1"));
    apply(PlaceTasks {job.job, {{0, 1, WorkerId {"w"}, Incarnation {"i"}}}});
    apply(admission("b", false, false));
    CHECK(encodeImage(image) == before);
    CHECK(apply.state.snapshot() != before);
}

TEST_CASE("admitted work is not reported as not run while it may still start")
{
    Applier apply;
    apply(admission("a", false, false));
    CHECK(apply.state.findWork(WorkId {"a"})->execution() == Execution::Unknown);
    apply(start("a", "e1-1"));
    CHECK(apply(RevokeWork {WorkId {"a"}, false, {}}).error == StateError::AlreadyStarted);
    apply(EndAttempt {WorkId {"a"}, AttemptId {"e1-1"}, AttemptEnd::Lost});
    CHECK(apply(start("a", "e1-2")).error == StateError::AlreadyStarted);
    CHECK(apply(RevokeWork {WorkId {"a"}, false, {}}).error == StateError::None);
    CHECK(apply.state.findWork(WorkId {"a"})->execution() == Execution::Unknown);
}

TEST_CASE("ended work is removed in the order of ending, together with its key")
{
    Applier apply;
    apply(admission("a", true, false));
    apply(RevokeWork {WorkId {"a"}, false, WallTime {Milliseconds {10}}});
    apply(ForgetEnded {WallTime {Milliseconds {10}}});
    CHECK(apply.state.findWork(WorkId {"a"}) != nullptr);
    apply(ForgetEnded {WallTime {Milliseconds {11}}});
    CHECK(apply.state.findWork(WorkId {"a"}) == nullptr);
    CHECK(
        apply.state.findWorkByKey(EnvironmentName {"rocola"}, IdempotencyKey {"key-a"}) == nullptr);
}

TEST_CASE("ended jobs are removed in the order of ending, running jobs are kept")
{
    Applier apply;
    for (const char *id : {"done", "cancelled", "running"}) {
        SubmitJob job;
        job.job = JobId {id};
        job.tasks = 2;
        apply(job);
        apply(PlaceTasks {job.job, {{0, 1, WorkerId {"w"}, Incarnation {"i"}}}});
    }
    CHECK(apply.state.waitingJobs().size() == 3);
    apply(PlaceTasks {JobId {"done"}, {{1, 1, WorkerId {"w"}, Incarnation {"i"}}}});
    CHECK(apply.state.waitingJobs().size() == 2);
    const WallTime ended {Milliseconds {10}};
    apply(EndTask {JobId {"done"}, 0, 1, TaskEnd::Succeeded, {}});
    apply(EndTask {JobId {"done"}, 1, 1, TaskEnd::Succeeded, ended});
    apply(CancelJob {JobId {"cancelled"}, ended});
    apply(EndTask {JobId {"cancelled"}, 0, 1, TaskEnd::Lost, ended});
    apply(CancelJob {JobId {"cancelled"}, ended});
    apply(ForgetEnded {ended});
    CHECK(apply.state.jobs().size() == 3);

    StateMachine restored;
    REQUIRE(restored.restore(apply.state.snapshot()).has_value());
    CHECK(restored.waitingJobs() == std::set<JobId> {JobId {"running"}});
    restored.apply(ForgetEnded {WallTime {Milliseconds {11}}}, LogIndex {100});
    CHECK(restored.jobs().size() == 1);
    CHECK(restored.jobs().contains(JobId {"running"}));
}

TEST_CASE("drains are part of the state and end by an operator's command")
{
    Applier apply;
    apply(DrainUpstream {UpstreamId {"u"}, true});
    apply(DrainWorker {WorkerId {"w"}, true});
    StateMachine restored;
    REQUIRE(restored.restore(apply.state.snapshot()).has_value());
    CHECK(restored.drainedUpstreams().contains(UpstreamId {"u"}));
    CHECK(restored.drainedWorkers().contains(WorkerId {"w"}));
    apply(DrainUpstream {UpstreamId {"u"}, false});
    apply(DrainWorker {WorkerId {"w"}, false});
    CHECK(apply.state.drainedUpstreams().empty());
    CHECK(apply.state.drainedWorkers().empty());
}

TEST_CASE("work agrees with the reference model on random sequences of commands")
{
    const bool passed = rc::check([](std::uint64_t seed, bool repeatable, bool exclusive) {
        std::mt19937_64 random {seed};
        Applier apply;
        ReferenceModel model;
        for (int step = 0; step < 60; ++step) {
            const std::string attempt = "e1-" + std::to_string(random() % 5);
            const bool known = model.attempts.contains(attempt);
            switch (random() % 5) {
            case 0:
                apply(admission("a", repeatable, exclusive));
                model.admitted = true;
                break;
            case 1: {
                const ApplyReply reply = apply(start("a", attempt));
                if (!known) {
                    RC_ASSERT(
                        (reply.error == StateError::None) == model.canStart(repeatable, exclusive));
                }
                if (!known && reply.error == StateError::None) {
                    model.attempts[attempt] = AttemptState::Started;
                    model.order.push_back(attempt);
                }
                break;
            }
            case 2: {
                const bool lost = random() % 2 == 0;
                apply(EndAttempt {WorkId {"a"}, AttemptId {attempt},
                    lost ? AttemptEnd::Lost : AttemptEnd::NotRun});
                if (known && model.attempts[attempt] == AttemptState::Started) {
                    model.attempts[attempt] = lost ? AttemptState::Lost : AttemptState::NotRun;
                }
                break;
            }
            case 3: {
                const ApplyReply reply =
                    apply(FinishWork {WorkId {"a"}, AttemptId {attempt}, {}, {}});
                const bool finishes = model.admitted && !model.ended && known;
                RC_ASSERT((reply.error == StateError::None) == finishes);
                if (finishes) {
                    model.attempts[attempt] = AttemptState::Answered;
                    model.ended = true;
                }
                break;
            }
            default: {
                if (random() % 8 != 0) {
                    break;
                }
                const bool hasOpenAttempt =
                    std::any_of(model.attempts.begin(), model.attempts.end(),
                        [](const auto &entry) { return entry.second == AttemptState::Started; });
                const ApplyReply reply = apply(RevokeWork {WorkId {"a"}, false, {}});
                const bool revokes = model.admitted && !model.ended && !hasOpenAttempt;
                RC_ASSERT((reply.error == StateError::None) == revokes);
                model.ended = model.ended || revokes;
                break;
            }
            }
            StateMachine restored;
            RC_ASSERT(restored.restore(apply.state.snapshot()).has_value());
            RC_ASSERT(restored.snapshot() == apply.state.snapshot());
        }
    });
    CHECK(passed);
}

TEST_CASE("commands with any bytes in a body survive encoding")
{
    StoredAnswer answer;
    answer.status = 200;
    for (int byte = 0; byte < 256; ++byte) {
        answer.body.push_back(static_cast<char>(byte));
    }
    const FinishWork finish {WorkId {"a"}, AttemptId {"e-1"}, answer, {}};
    const Result<Command> decoded = decodeCommand(encodeCommand(Command {finish}));
    REQUIRE(decoded.has_value());
    CHECK(std::get<FinishWork>(decoded.value()).answer.body == answer.body);
    CHECK(decodeCommand(R"({"kind": "from_the_future", "body": {}})").has_error());
    CHECK(decodeCommand("{").has_error());
}

TEST_CASE("tasks are placed together or refused, and quotas limit a team's cores")
{
    Applier apply;
    TryEnvironment trialCommand = trial(1);
    trialCommand.document = R"({"name": "rocola", "version": 1, "hosts": ["h"],
        "teams": [{"name": "t", "quota": {"cores": 3}}]})";
    trialCommand.digest = digestOf(trialCommand.document);
    apply(trialCommand);
    apply(promotion(trialCommand));
    SubmitJob job;
    job.job = JobId {"j"};
    job.environment = EnvironmentName {"rocola"};
    job.team = TeamName {"t"};
    job.tasks = 4;
    job.size.milliCores = 1000;
    apply(job);
    PlaceTasks place {job.job, {}};
    for (std::uint32_t task = 0; task < 4; ++task) {
        place.placements.push_back({task, 1, WorkerId {"w"}, Incarnation {"i"}});
    }
    CHECK(apply(place).error == StateError::OverQuota);
    place.placements.pop_back();
    CHECK(apply(place).error == StateError::None);
    CHECK(apply.state.reservedCores(job.environment, job.team) == 3);
    CHECK(apply(place).error == StateError::WrongPlacement);
    apply(EndTask {job.job, 0, 1, TaskEnd::Succeeded, {}});
    CHECK(apply.state.reservedCores(job.environment, job.team) == 2);
}

} // namespace crocusmill
