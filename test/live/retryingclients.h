/// Background load for tests: clients that retry requests and an operator who promotes versions.

#pragma once

#include "test/live/cluster.h"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace crocusmill::live
{

/// One request and the replies to all its submissions, in order.
struct Submission
{
    std::string key;
    std::string target;
    std::string body;
    std::vector<HttpReply> replies;
};

/// Clients that send each request with the same key to random entries, at most four times, until
/// a reply has status 200 or proves that the work did not run. Requests to /quotes are sent once.
class RetryingClients
{
public:
    RetryingClients(const Cluster &cluster, std::uint32_t vms, std::uint64_t seed)
        : cluster_(cluster)
        , vms_(vms)
    {
        for (int number = 0; number < callerCount; ++number) {
            threads_.emplace_back([this, number, seed]() { run(number, seed); });
        }
    }

    std::vector<Submission> stop()
    {
        isStopping_ = true;
        for (std::thread &thread : threads_) {
            thread.join();
        }
        threads_.clear();
        return submissions_;
    }

    ~RetryingClients()
    {
        static_cast<void>(stop());
    }

private:
    void run(int number, std::uint64_t seed)
    {
        std::mt19937_64 random {seed * 1'000 + static_cast<std::uint64_t>(number)};
        for (int i = 0; !isStopping_; ++i) {
            Submission submission;
            submission.key = "clerk-" + std::to_string(number) + "-" + std::to_string(i);
            submission.body = "body of " + submission.key;
            submit(submission, random);
            const std::lock_guard<std::mutex> lock {mutex_};
            submissions_.push_back(std::move(submission));
        }
    }

    void submit(Submission &submission, std::mt19937_64 &random)
    {
        static const std::vector<std::string> targets {"/once", "/once", "/appraisals", "/quotes"};
        submission.target = targets[random() % targets.size()];
        const std::string time = std::to_string(1'000 * (5 + random() % 150));
        HeaderList headers {{std::string {standin::serviceHeader}, time}};
        if (submission.target != "/quotes") {
            headers.emplace_back("Idempotency-Key", submission.key);
        }
        for (int attemptNumber = 0; attemptNumber < maxSubmissions; ++attemptNumber) {
            const std::uint32_t vm = 1 + static_cast<std::uint32_t>(random() % vms_);
            constexpr Milliseconds timeout {3'000};
            submission.replies.push_back(
                cluster_.call(vm, "POST", submission.target, submission.body, headers, timeout));
            const HttpReply &reply = submission.replies.back();
            const bool isSettled = reply.status == 200 || reply.execution() == "not_run";
            if (isSettled || submission.target == "/quotes") {
                return;
            }
        }
    }

    static constexpr int callerCount = 5;
    static constexpr int maxSubmissions = 4;

    const Cluster &cluster_;
    std::uint32_t vms_;
    std::atomic<bool> isStopping_ {false};
    std::mutex mutex_;
    std::vector<Submission> submissions_;
    std::vector<std::thread> threads_;
};

/// An operator who promotes consecutive versions and records the last confirmed version.
class PromotingOperator
{
public:
    PromotingOperator(const Cluster &cluster, std::uint32_t vms)
        : cluster_(cluster)
        , vms_(vms)
        , thread_([this]() { run(); })
    {
    }

    ~PromotingOperator()
    {
        stop();
    }

    void stop()
    {
        isStopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    std::uint64_t confirmedVersion() const
    {
        return confirmedVersion_;
    }

private:
    void run()
    {
        constexpr Milliseconds pause {250};
        std::string hosts;
        for (std::uint64_t version = 2; !isStopping_; ++version) {
            hosts += R"(, "v)" + std::to_string(version) + R"(.test")";
            const std::uint32_t vm = 1 + static_cast<std::uint32_t>(version % vms_);
            if (cluster_.promote(vm, rocolaDocument(version, hosts), version).status == 200) {
                confirmedVersion_ = version;
            }
            std::this_thread::sleep_for(pause);
        }
    }

    const Cluster &cluster_;
    std::uint32_t vms_;
    std::atomic<bool> isStopping_ {false};
    std::atomic<std::uint64_t> confirmedVersion_ {1};
    std::thread thread_;
};

} // namespace crocusmill::live
