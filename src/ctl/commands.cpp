/// Commands of the operator's tool: sends HTTP requests and prints answers as text or JSON.

#include "src/ctl/commands.h"

#include "src/ctl/table.h"

#include <boost/json.hpp>

#include <fstream>
#include <sstream>
#include <thread>

namespace crocusmill::ctl
{

namespace
{

constexpr Milliseconds waitTimeout {15'000};
constexpr Milliseconds waitPollInterval {50};
constexpr unsigned int conflictStatus = 409;
constexpr unsigned int outcomeUnknownStatus = 503;
constexpr unsigned int firstErrorStatus = 400;

struct Request
{
    std::string method;
    std::string target;
    std::string body;
};

struct Context
{
    const Client &client;
    const Invocation &invocation;
    std::ostream &out;
    std::ostream &errors;
};

ExitCode usage(Context &context)
{
    context.errors << commandHelp();
    return ExitCode::Usage;
}

ExitCode exitCodeFor(const std::error_code &error)
{
    return error == ClientError::NoAnswer ? ExitCode::Unknown : ExitCode::Unreachable;
}

ExitCode report(Context &context, const Result<Answer> &answer)
{
    if (!answer) {
        context.errors << answer.error().message() << '\n';
        return exitCodeFor(answer.error());
    }
    const Answer &response = answer.value();
    if (response.status >= firstErrorStatus) {
        context.errors << response.body << '\n';
        if (response.status == conflictStatus) {
            return ExitCode::Conflict;
        }
        return response.status == outcomeUnknownStatus ? ExitCode::Unknown : ExitCode::Refused;
    }
    if (context.invocation.output == Output::Json) {
        context.out << response.body << '\n';
    } else {
        printAsText(response.body, context.out);
    }
    return ExitCode::Done;
}

ExitCode send(Context &context, const Request &request)
{
    return report(context, context.client.request(request.method, request.target, request.body));
}

Result<boost::json::value> fetch(const Client &client, const std::string &target)
{
    BOOST_OUTCOME_TRY(const Answer answer, client.request("GET", target, {}));
    if (answer.status >= firstErrorStatus) {
        return ClientError::NoAnswer;
    }
    boost::system::error_code error;
    boost::json::value json = boost::json::parse(answer.body, error);
    if (error) {
        return ClientError::NoAnswer;
    }
    return json;
}

/// Returns the digests of the trial documents with this version.
std::vector<std::string> trialDigests(
    const boost::json::value &environments, const std::string &name, std::uint64_t version)
{
    std::vector<std::string> digests;
    for (const boost::json::value &environment : environments.as_array()) {
        if (environment.at("name").as_string() != std::string_view {name}) {
            continue;
        }
        for (const boost::json::value &trial : environment.at("tried").as_array()) {
            if (trial.at("version").to_number<std::uint64_t>() == version) {
                digests.emplace_back(trial.at("digest").as_string());
            }
        }
    }
    return digests;
}

bool hasEveryVmApplied(const boost::json::value &status, std::uint64_t index)
{
    for (const boost::json::value &vm : status.at("vms").as_array()) {
        if (vm.at("configuration").to_number<std::uint64_t>() < index) {
            return false;
        }
    }
    return true;
}

/// Waits until every VM that sends heartbeats reports the current configuration.
ExitCode waitUntilInForce(Context &context)
{
    const MonotonicTime deadline = std::chrono::steady_clock::now() + waitTimeout;
    std::uint64_t requiredIndex = 0;
    while (std::chrono::steady_clock::now() < deadline) {
        const Result<boost::json::value> status = fetch(context.client, "/v1/status");
        if (status) {
            if (requiredIndex == 0) {
                requiredIndex = status.value().at("configuration").to_number<std::uint64_t>();
            }
            if (hasEveryVmApplied(status.value(), requiredIndex)) {
                context.errors << "in force on every VM\n";
                return ExitCode::Done;
            }
        }
        std::this_thread::sleep_for(waitPollInterval);
    }
    context.errors << "promoted, but not confirmed by every VM in time\n";
    return ExitCode::Unknown;
}

ExitCode promote(Context &context, const std::string &name)
{
    const Invocation &invocation = context.invocation;
    if (invocation.version == 0) {
        return usage(context);
    }
    std::string digest = invocation.digest;
    if (digest.empty()) {
        const Result<boost::json::value> environments = fetch(context.client, "/v1/environments");
        if (!environments) {
            context.errors << environments.error().message() << '\n';
            return ExitCode::Unreachable;
        }
        const std::vector<std::string> digests =
            trialDigests(environments.value(), name, invocation.version);
        if (digests.size() != 1) {
            context.errors << digests.size()
                           << " documents were tried under this version; give --digest\n";
            return ExitCode::Refused;
        }
        digest = digests.front();
    }
    const boost::json::object body {{"version", invocation.version}, {"digest", digest}};
    const ExitCode promoted = send(
        context, {"POST", "/v1/environments/" + name + "/promote", boost::json::serialize(body)});
    if (promoted != ExitCode::Done || !invocation.wait) {
        return promoted;
    }
    return waitUntilInForce(context);
}

ExitCode startTrial(Context &context, const std::string &file)
{
    std::ifstream in {file};
    if (!in) {
        context.errors << "cannot read " << file << '\n';
        return ExitCode::Usage;
    }
    std::ostringstream content;
    content << in.rdbuf();
    return send(context, {"POST", "/v1/environments/trial", content.str()});
}

const boost::json::value *findByName(const boost::json::value &list, const std::string &name)
{
    for (const boost::json::value &item : list.as_array()) {
        if (item.at("name").as_string() == std::string_view {name}) {
            return &item;
        }
    }
    return nullptr;
}

ExitCode showEnvironment(Context &context, const std::string &name, bool difference)
{
    const Result<boost::json::value> environments = fetch(context.client, "/v1/environments");
    if (!environments) {
        context.errors << environments.error().message() << '\n';
        return ExitCode::Unreachable;
    }
    const boost::json::value *environment = findByName(environments.value(), name);
    if (environment == nullptr) {
        context.errors << "no such environment\n";
        return ExitCode::Refused;
    }
    if (!difference) {
        return report(context, Answer {200, boost::json::serialize(*environment)});
    }
    const boost::json::value *production = environment->as_object().if_contains("production");
    const boost::json::array &trials = environment->at("tried").as_array();
    context.out << "--- production\n"
                << (production == nullptr ? std::string {}
                                          : std::string {production->at("document").as_string()})
                << "\n+++ trial\n"
                << (trials.empty() ? std::string {}
                                   : std::string {trials.back().at("document").as_string()})
                << '\n';
    return ExitCode::Done;
}

ExitCode runEnvironment(Context &context, const std::vector<std::string> &words)
{
    const std::string &verb = words[1];
    if (verb == "list" && words.size() == 2) {
        return send(context, {"GET", "/v1/environments", {}});
    }
    if (words.size() != 3) {
        return usage(context);
    }
    if (verb == "trial") {
        return startTrial(context, words[2]);
    }
    if (verb == "promote") {
        return promote(context, words[2]);
    }
    if (verb == "show" || verb == "diff") {
        return showEnvironment(context, words[2], verb == "diff");
    }
    return usage(context);
}

/// A question changes nothing, so a lost answer is no unknown outcome.
ExitCode ask(Context &context, const Request &request)
{
    const ExitCode code = send(context, request);
    return code == ExitCode::Unknown ? ExitCode::Unreachable : code;
}

ExitCode explainRequest(Context &context)
{
    const Invocation &invocation = context.invocation;
    if (invocation.host.empty() || invocation.path.empty() || invocation.file.empty()) {
        return usage(context);
    }
    std::ifstream in {invocation.file};
    if (!in) {
        context.errors << "cannot read " << invocation.file << '\n';
        return ExitCode::Usage;
    }
    std::ostringstream content;
    content << in.rdbuf();
    boost::system::error_code error;
    const boost::json::value job = boost::json::parse(content.str(), error);
    if (error) {
        context.errors << invocation.file << " is not JSON\n";
        return ExitCode::Usage;
    }
    boost::json::object question {
        {"host", invocation.host}, {"path", invocation.path}, {"job", job}};
    if (!invocation.customer.empty()) {
        question["customer"] = invocation.customer;
    }
    return ask(context, {"POST", "/v1/explain", boost::json::serialize(question)});
}

ExitCode runExplain(Context &context, const std::vector<std::string> &words)
{
    if (words[1] == "job" && words.size() == 3) {
        return ask(context, {"GET", "/v1/explain/jobs/" + words[2], {}});
    }
    if (words[1] == "request" && words.size() == 2) {
        return explainRequest(context);
    }
    return usage(context);
}

struct SimpleCommand
{
    std::string_view noun;
    std::string_view verb;
    bool takesSubject;
    std::string_view method;
    std::string_view prefix;
    std::string_view suffix;
    std::string_view body;
};

/// Commands that send one request. The subject is inserted between prefix and suffix.
constexpr SimpleCommand simpleCommands[] = {
    {"vm", "list", false, "GET", "/v1/vms", "", ""},
    {"vm", "drain", false, "POST", "/v1/vm/drain", "", ""},
    {"state", "members", false, "GET", "/v1/members", "", ""},
    {"state", "replace", true, "POST", "/v1/members/", "/replace", ""},
    {"upstream", "list", false, "GET", "/v1/upstreams", "", ""},
    {"upstream", "drain", true, "POST", "/v1/upstreams/", "/drain", ""},
    {"upstream", "resume", true, "POST", "/v1/upstreams/", "/resume", ""},
    {"customer", "list", false, "GET", "/v1/customers", "", ""},
    {"worker", "list", false, "GET", "/v1/workers", "", ""},
    {"worker", "drain", true, "POST", "/v1/workers/", "/drain", ""},
    {"worker", "resume", true, "POST", "/v1/workers/", "/resume", ""},
    {"worker", "quarantine", true, "POST", "/v1/workers/", "/quarantine", "on"},
    {"worker", "release", true, "POST", "/v1/workers/", "/quarantine", "off"},
    {"job", "list", false, "GET", "/v1/jobs", "", ""},
    {"job", "cancel", true, "DELETE", "/v1/jobs/", "", ""},
    {"work", "show", true, "GET", "/v1/work/", "", ""},
    {"work", "cancel", true, "DELETE", "/v1/work/", "", ""},
    {"trace", "show", true, "GET", "/v1/traces/", "", ""},
};

ExitCode runSimple(Context &context, const std::vector<std::string> &words)
{
    for (const SimpleCommand &command : simpleCommands) {
        const std::size_t size = command.takesSubject ? 3 : 2;
        if (words[0] != command.noun || words[1] != command.verb || words.size() != size) {
            continue;
        }
        std::string target {command.prefix};
        if (command.takesSubject) {
            target += words[2] + std::string {command.suffix};
        }
        return send(context, {std::string {command.method}, target, std::string {command.body}});
    }
    return usage(context);
}

} // namespace

ExitCode runCommand(
    const Client &client, const Invocation &invocation, std::ostream &out, std::ostream &errors)
{
    Context context {client, invocation, out, errors};
    const std::vector<std::string> &words = invocation.words;
    if (words.size() == 1 && words[0] == "status") {
        return send(context, {"GET", "/v1/status", {}});
    }
    if (words.size() < 2) {
        return usage(context);
    }
    if (words[0] == "environment") {
        return runEnvironment(context, words);
    }
    if (words[0] == "explain") {
        return runExplain(context, words);
    }
    return runSimple(context, words);
}

std::string commandHelp()
{
    return R"(crocusmillctl [options] COMMAND

  status                               the VMs, what is in force on each, the leader
  environment trial FILE               put a document in force for the trial stage
  environment promote NAME --version N [--digest D] [--wait]
  environment list | show NAME | diff NAME
  vm list | drain                      drain: the VM asked, as by SIGTERM
  state members | replace VM
  upstream list | drain ID | resume ID
  customer list
  worker list | drain ID | resume ID | quarantine ID | release ID
  job list | cancel ID
  explain job ID                       where its waiting steps would go now, and why
  explain request --host H --path P [--customer NAME] --file JOB.json
                                       the same for a request, without sending it
  work show ID | cancel ID
  trace show ID
  settings check FILE

Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 conflict, 5 unreachable, 6 outcome unknown.
)";
}

} // namespace crocusmill::ctl
