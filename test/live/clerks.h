/// Callers that resubmit what hangs and an operator who promotes, beside whatever else a test does.

#pragma once

#include "test/live/cluster.h"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace crocusmill::live
{

/// What one caller was told about one key, in order.
struct Told
{
    std::string key;
    std::string target;
    std::string body;
    std::vector<HttpReply> replies;
};

/// Callers that resubmit what hangs, with the same key, to another entry.
class Clerks
{
public:
    Clerks(const Cluster &cluster, std::uint32_t vms, std::uint64_t seed)
        : cluster_(cluster)
        , vms_(vms)
    {
        for (int number = 0; number < callerCount; ++number) {
            threads_.emplace_back([this, number, seed]() { run(number, seed); });
        }
    }

    std::vector<Told> stop()
    {
        stopping_ = true;
        for (std::thread &thread : threads_) {
            thread.join();
        }
        threads_.clear();
        return told_;
    }

    ~Clerks()
    {
        static_cast<void>(stop());
    }

private:
    void run(int number, std::uint64_t seed)
    {
        std::mt19937_64 random {seed * 1'000 + static_cast<std::uint64_t>(number)};
        for (int i = 0; !stopping_; ++i) {
            Told told;
            told.key = "clerk-" + std::to_string(number) + "-" + std::to_string(i);
            told.body = "body of " + told.key;
            submit(told, random);
            const std::lock_guard<std::mutex> lock {mutex_};
            told_.push_back(std::move(told));
        }
    }

    void submit(Told &told, std::mt19937_64 &random)
    {
        static const std::vector<std::string> targets {"/once", "/once", "/appraisals", "/quotes"};
        told.target = targets[random() % targets.size()];
        const std::string time = std::to_string(1'000 * (5 + random() % 150));
        HeaderList headers {{std::string {standin::serviceHeader}, time}};
        if (told.target != "/quotes") {
            headers.emplace_back("Idempotency-Key", told.key);
        }
        for (int turn = 0; turn < mostSubmissions; ++turn) {
            const std::uint32_t vm = 1 + static_cast<std::uint32_t>(random() % vms_);
            constexpr Milliseconds patience {3'000};
            told.replies.push_back(
                cluster_.call(vm, "POST", told.target, told.body, headers, patience));
            const HttpReply &reply = told.replies.back();
            const bool settled = reply.status == 200 || reply.execution() == "not_run";
            if (settled || told.target == "/quotes") {
                return;
            }
        }
    }

    static constexpr int callerCount = 5;
    static constexpr int mostSubmissions = 4;

    const Cluster &cluster_;
    std::uint32_t vms_;
    std::atomic<bool> stopping_ {false};
    std::mutex mutex_;
    std::vector<Told> told_;
    std::vector<std::thread> threads_;
};

/// An operator who promotes one version after the other and remembers the last that was confirmed.
class Operator
{
public:
    Operator(const Cluster &cluster, std::uint32_t vms)
        : cluster_(cluster)
        , vms_(vms)
        , thread_([this]() { run(); })
    {
    }

    ~Operator()
    {
        stop();
    }

    void stop()
    {
        stopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    std::uint64_t confirmed() const
    {
        return confirmed_;
    }

private:
    void run()
    {
        constexpr Milliseconds pause {250};
        std::string hosts;
        for (std::uint64_t version = 2; !stopping_; ++version) {
            hosts += R"(, "v)" + std::to_string(version) + R"(.test")";
            const std::uint32_t vm = 1 + static_cast<std::uint32_t>(version % vms_);
            if (cluster_.promote(vm, rocolaDocument(version, hosts), version).status == 200) {
                confirmed_ = version;
            }
            std::this_thread::sleep_for(pause);
        }
    }

    const Cluster &cluster_;
    std::uint32_t vms_;
    std::atomic<bool> stopping_ {false};
    std::atomic<std::uint64_t> confirmed_ {1};
    std::thread thread_;
};

} // namespace crocusmill::live
