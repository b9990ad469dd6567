/// Open-loop load generator: sends the requests of a tape on schedule and reports the responses.
///
/// Wait times count from the scheduled send time, so a slow system cannot hide them by delaying the
/// sender (coordinated omission).

#include "bench/standin.h"
#include "bench/tape.h"
#include "src/net/forwarder.h"

#include <crocusmill/admission.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <map>

namespace crocusmill::bench
{

namespace
{

namespace options = boost::program_options;

struct LoadOptions
{
    TapeOptions tape;
    std::vector<NodeAddress> entries;
    Milliseconds quickDeadline {2'000};
    Milliseconds drainTimeout {15'000}; // wait for responses after the last arrival
    bool isDirect = false; // sends to a stand-in without an entry, to measure the cost of the hop
};

struct Outcome
{
    bool isAnswered = false;
    unsigned int status = 0;
    std::string execution;
    Microseconds latency {0};
};

/// Idle connections to one entry.
struct Pool
{
    NodeAddress to;
    std::deque<std::unique_ptr<beast::tcp_stream>> idle;
};

class LoadTest
{
public:
    explicit LoadTest(LoadOptions loadOptions)
        : options_(std::move(loadOptions))
        , tape_(makeTape(options_.tape))
        , outcomes_(tape_.size())
    {
        for (const NodeAddress &entry : options_.entries) {
            pools_.emplace_back().to = entry;
        }
    }

    void run()
    {
        asio::co_spawn(context_, sendAll(), asio::detached);
        context_.run();
    }

    boost::json::object report() const
    {
        boost::json::object root;
        root["seed"] = options_.tape.seed;
        root["crest"] = options_.tape.crest;
        root["without_heavy"] = options_.tape.withoutHeavy;
        root["capacity_per_second"] = capacityPerSecond(options_.tape);
        root["requests"] = tape_.size();
        constexpr std::array<std::pair<Phase, const char *>, 3> phases {
            {{Phase::Calm, "calm"}, {Phase::Crest, "crest"}, {Phase::After, "after"}}};
        constexpr std::array<std::pair<WorkClass, const char *>, 3> classes {
            {{WorkClass::Quick, "quick"}, {WorkClass::Deferrable, "deferrable"},
                {WorkClass::Heavy, "heavy"}}};
        for (const std::pair<Phase, const char *> &phase : phases) {
            boost::json::object described;
            for (const std::pair<WorkClass, const char *> &workClass : classes) {
                described[workClass.second] = describe(phase.first, workClass.first);
            }
            root[phase.second] = std::move(described);
        }
        return root;
    }

private:
    boost::json::object describe(Phase phase, WorkClass workClass) const
    {
        std::vector<double> waits;
        std::uint64_t count = 0;
        std::uint64_t inTime = 0;
        std::map<std::string, std::uint64_t> others;
        for (std::size_t i = 0; i < tape_.size(); ++i) {
            const Arrival &arrival = tape_[i];
            const Outcome &outcome = outcomes_[i];
            if (arrival.phase != phase || arrival.workClass != workClass) {
                continue;
            }
            ++count;
            if (outcome.status != 200) {
                ++others[outcome.isAnswered
                        ? std::to_string(outcome.status) + " " + outcome.execution
                        : "no answer"];
                continue;
            }
            const bool isLate =
                workClass == WorkClass::Quick && outcome.latency > options_.quickDeadline;
            inTime += isLate ? 0 : 1;
            constexpr double microsecondsPerMillisecond = 1000;
            waits.push_back(static_cast<double>((outcome.latency - arrival.service).count())
                / microsecondsPerMillisecond);
        }
        std::sort(waits.begin(), waits.end());
        boost::json::object described;
        described["count"] = count;
        described["answered"] = waits.size();
        described["in_time"] = inTime;
        for (const std::pair<const std::string, std::uint64_t> &other : others) {
            described["other " + other.first] = other.second;
        }
        constexpr std::array<std::pair<double, const char *>, 3> quantiles {
            {{0.5, "wait_p50_ms"}, {0.9, "wait_p90_ms"}, {0.99, "wait_p99_ms"}}};
        for (const std::pair<double, const char *> &quantile : quantiles) {
            if (!waits.empty()) {
                const std::size_t quantileIndex = static_cast<std::size_t>(
                    quantile.first * static_cast<double>(waits.size() - 1));
                described[quantile.second] = waits[quantileIndex];
            }
        }
        return described;
    }

    asio::awaitable<void> sendAll()
    {
        start_ = std::chrono::steady_clock::now() + std::chrono::milliseconds {200};
        asio::steady_timer timer {context_};
        for (std::size_t i = 0; i < tape_.size(); ++i) {
            const MonotonicTime due = start_ + tape_[i].at;
            if (due > std::chrono::steady_clock::now()) {
                timer.expires_at(due);
                co_await timer.async_wait(asio::use_awaitable);
            }
            asio::co_spawn(context_, sendOne(i), asio::detached);
        }
        timer.expires_after(options_.drainTimeout);
        co_await timer.async_wait(asio::use_awaitable);
        context_.stop();
    }

    asio::awaitable<std::unique_ptr<beast::tcp_stream>> connect(Pool &pool)
    {
        if (!pool.idle.empty()) {
            std::unique_ptr<beast::tcp_stream> stream = std::move(pool.idle.back());
            pool.idle.pop_back();
            co_return stream;
        }
        std::unique_ptr<beast::tcp_stream> stream = std::make_unique<beast::tcp_stream>(context_);
        boost::system::error_code error;
        const Tcp::endpoint endpoint {asio::ip::make_address(pool.to.ip), pool.to.port};
        co_await stream->async_connect(endpoint, errorInto(error));
        if (error) {
            co_return nullptr;
        }
        stream->socket().set_option(Tcp::no_delay(true), error);
        co_return stream;
    }

    HttpRequest makeRequest(const Arrival &arrival, std::size_t number) const
    {
        constexpr std::array<const char *, 3> paths {"/quotes", "/reconciliations", "/appraisals"};
        HttpRequest request {http::verb::post, paths.at(indexOf(arrival.workClass)), 11};
        request.set(http::field::host, "rocola.test");
        request.set(standin::serviceHeader, std::to_string(arrival.service.count()));
        if (options_.isDirect) {
            request.set(headers::attempt, "direct-" + std::to_string(number));
        }
        if (!arrival.key.empty()) {
            request.set(headers::idempotencyKey, arrival.key);
        }
        request.body() = R"({"disc":"La Flor de la Canela"})";
        request.prepare_payload();
        return request;
    }

    asio::awaitable<void> sendOne(std::size_t number)
    {
        const Arrival &arrival = tape_[number];
        Pool &pool = pools_[number % pools_.size()];
        std::unique_ptr<beast::tcp_stream> stream = co_await connect(pool);
        if (!stream) {
            co_return;
        }
        HttpRequest request = makeRequest(arrival, number);
        boost::system::error_code error;
        co_await http::async_write(*stream, request, errorInto(error));
        beast::flat_buffer buffer;
        HttpResponse response;
        if (!error) {
            co_await http::async_read(*stream, buffer, response, errorInto(error));
        }
        if (error) {
            co_return;
        }
        Outcome &outcome = outcomes_[number];
        outcome.isAnswered = true;
        outcome.status = response.result_int();
        outcome.latency = std::chrono::duration_cast<Microseconds>(
            std::chrono::steady_clock::now() - (start_ + arrival.at));
        if (outcome.status != 200) {
            const std::string &body = response.body();
            for (const char *execution : {"not_run", "unknown", "ran"}) {
                if (body.find("\"" + std::string {execution} + "\"") != std::string::npos) {
                    outcome.execution = execution;
                }
            }
        }
        pool.idle.push_back(std::move(stream));
    }

    LoadOptions options_;
    std::vector<Arrival> tape_;
    std::vector<Outcome> outcomes_;
    asio::io_context context_ {1};
    std::deque<Pool> pools_;
    MonotonicTime start_ {};
};

NodeAddress parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon),
        static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10))};
}

int runLoad(int argc, char **argv)
{
    LoadOptions loadOptions;
    std::vector<std::string> entries;
    std::int64_t calmMs = loadOptions.tape.calmBefore.count();
    std::int64_t crestMs = loadOptions.tape.crestTime.count();
    std::int64_t drainMs = loadOptions.drainTimeout.count();
    options::options_description description {"load"};
    description.add_options()(
        "entry", options::value<std::vector<std::string>>(&entries)->required(), "IP:PORT")(
        "seed", options::value<std::uint64_t>(&loadOptions.tape.seed), "seed of the tape")("slots",
        options::value<std::uint32_t>(&loadOptions.tape.slots), "slots of all upstreams together")(
        "calm", options::value<double>(&loadOptions.tape.calm), "load before and after the crest")(
        "crest", options::value<double>(&loadOptions.tape.crest), "load at the crest")(
        "calm-ms", options::value<std::int64_t>(&calmMs), "duration of the calm before the crest")(
        "crest-ms", options::value<std::int64_t>(&crestMs), "duration of the crest")("drain-ms",
        options::value<std::int64_t>(&drainMs), "wait for responses after the last arrival")("arch",
        options::bool_switch(&loadOptions.tape.arch), "use the request mix of the arch desk")(
        "without-heavy", options::bool_switch(&loadOptions.tape.withoutHeavy),
        "the same tape without heavy work")("direct", options::bool_switch(&loadOptions.isDirect),
        "the entries are addresses of a stand-in");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    loadOptions.tape.calmBefore = Milliseconds {calmMs};
    loadOptions.tape.crestTime = Milliseconds {crestMs};
    loadOptions.drainTimeout = Milliseconds {drainMs};
    for (const std::string &entry : entries) {
        loadOptions.entries.push_back(parseAddress(entry));
    }
    LoadTest load {loadOptions};
    load.run();
    std::cout << boost::json::serialize(load.report()) << '\n';
    return 0;
}

} // namespace

} // namespace crocusmill::bench

int main(int argc, char **argv)
{
    try {
        return crocusmill::bench::runLoad(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
