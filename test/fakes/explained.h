/// Questions about placements, and checks of the answers against what then happens.

#pragma once

#include "test/fakes/callingleader.h"

#include <crocusmill/placementreport.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace crocusmill::fakes
{

inline constexpr Milliseconds someRounds {100};

/// A submission: its job and, if it carries a key, the customer.
struct Request
{
    std::string path;
    std::vector<StepSpec> steps;
    std::string customer;
};

inline boost::json::object asJson(const StepSpec &step)
{
    boost::json::object json {{"tasks", step.tasks}, {"milli_cores", step.size.milliCores},
        {"memory_bytes", step.size.memory.value()}, {"accelerators", step.size.accelerators},
        {"expected_run_ms", step.estimate.count()}, {"gang", step.gang},
        {"most_per_worker", step.mostPerWorker}};
    if (!step.label.value().empty()) {
        json["label"] = step.label.value();
    }
    boost::json::array after;
    for (const std::uint32_t predecessor : step.after) {
        after.emplace_back(predecessor);
    }
    json["after"] = after;
    return json;
}

inline std::string questionAbout(const Request &request)
{
    boost::json::array steps;
    for (const StepSpec &step : request.steps) {
        steps.emplace_back(asJson(step));
    }
    boost::json::object question {{"host", "desk.example"}, {"path", request.path},
        {"job", boost::json::object {{"steps", steps}}}};
    if (!request.customer.empty()) {
        question["customer"] = request.customer;
    }
    return boost::json::serialize(question);
}

inline std::string listCustomers(CallingLeader &leader)
{
    const Reply reply = leader.peers.ask(OperatorCall {OperatorAction::ListCustomers, {}});
    return std::get<OperatorReply>(reply).body;
}

/// What a question must not change.
struct Effects
{
    std::string recorded;
    std::string usage;
    std::size_t starts = 0;
    std::size_t stops = 0;
    std::size_t holds = 0;
    int ticketRequests = 0;

    bool operator==(const Effects &) const = default;
};

inline Effects effectsOf(CallingLeader &leader)
{
    return {leader.journal.state().snapshot(), listCustomers(leader), leader.link.starts.size(),
        leader.link.stops.size(), leader.link.holds.size(), leader.office.requestCount};
}

/// Asks, and checks that this has no effect.
inline boost::json::object ask(CallingLeader &leader, const std::string &question)
{
    const Effects before = effectsOf(leader);
    const Reply reply = leader.peers.ask(OperatorCall {OperatorAction::Explain, question});
    const bool hasNoEffect = effectsOf(leader) == before;
    CHECK(hasNoEffect);
    const OperatorReply &answer = std::get<OperatorReply>(reply);
    REQUIRE(answer.found);
    return boost::json::parse(answer.body).as_object();
}

inline GraphReply submit(CallingLeader &leader, const Request &request)
{
    GraphCall call;
    call.action = GraphAction::Submit;
    call.host = "desk.example";
    call.path = request.path;
    if (!request.customer.empty()) {
        call.key = digestOf("key of " + request.customer);
    }
    call.spec = GraphSpec {};
    call.spec->steps = request.steps;
    return std::get<GraphReply>(leader.peers.ask(call));
}

inline const boost::json::object &stepOfReport(
    const boost::json::object &report, std::size_t step = 0)
{
    return report.at("steps").as_array().at(step).as_object();
}

inline std::string reasonIn(const boost::json::object &report)
{
    return std::string {stepOfReport(report).at("reason").as_string()};
}

inline std::uint64_t workersWith(const boost::json::object &report, const std::string &reason)
{
    const boost::json::value &workers = report.at("workers").as_array().at(0);
    return workers.at(reason).to_number<std::uint64_t>();
}

inline std::uint64_t startableIn(const boost::json::object &report)
{
    return stepOfReport(report).at("startable").to_number<std::uint64_t>();
}

/// Checks what is said about the tasks of a recorded job that did not start.
inline void checkWaiting(CallingLeader &leader, const std::string &id, const std::string &reason)
{
    const boost::json::object report = ask(leader, placementQuestionAbout(GraphId {id}));
    CHECK(report.at("recorded").as_bool());
    CHECK(startableIn(report) == 0);
    CHECK(reasonIn(report) == reason);
}

/// Asks about a request with one step, submits it and compares. Returns the report.
inline boost::json::object checkPrediction(
    CallingLeader &leader, const Request &request, const std::string &reason)
{
    INFO(request.path);
    boost::json::object report = ask(leader, questionAbout(request));
    const std::size_t before = leader.link.starts.size();
    REQUIRE(report.at("accepted").as_bool());
    CHECK(submit(leader, request).outcome == GraphOutcome::Done);
    leader.control.run_for(someRounds);
    const std::size_t started = leader.link.starts.size() - before;
    CHECK(startableIn(report) == started);
    CHECK(reasonIn(report) == reason);
    const std::string first {stepOfReport(report).at("first_worker").as_string()};
    CHECK(first == (started > 0 ? leader.link.starts[before].worker.id.value() : std::string {}));
    if (started < request.steps[0].tasks) {
        checkWaiting(leader, request.path.substr(request.path.rfind('/') + 1), reason);
    }
    return report;
}

} // namespace crocusmill::fakes
