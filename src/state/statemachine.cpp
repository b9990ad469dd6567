/// Environments, and the common part of the state machine.

#include <crocusmill/statemachine.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr std::size_t keptTrials = 8;

ApplyReply failed(StateError error)
{
    ApplyReply reply;
    reply.error = error;
    return reply;
}

const TriedDocument *findTried(
    const EnvironmentState &environment, DocumentVersion version, const Digest &digest)
{
    for (const TriedDocument &tried : environment.tried) {
        if (tried.version == version && tried.digest == digest) {
            return &tried;
        }
    }
    return nullptr;
}

PromotionConflict conflictWith(const TriedDocument &document)
{
    return {document.version, document.digest, document.by};
}

} // namespace

std::string_view ErrorText<StateError>::text(StateError error)
{
    switch (error) {
    case StateError::None:
        return "no error";
    case StateError::Undecodable:
        return "a record that this version does not know";
    case StateError::VersionConflict:
        return "the same version with another digest is in force";
    case StateError::VersionStale:
        return "a higher version is in force";
    case StateError::NotTried:
        return "no document with this version and digest was tried";
    case StateError::HostTaken:
        return "another environment has one of the hosts";
    case StateError::KeyReused:
        return "the key belongs to work with another body";
    case StateError::NoSuchWork:
        return "no such work";
    case StateError::AlreadyStarted:
        return "the work has started";
    case StateError::AlreadyEnded:
        return "the work has ended";
    case StateError::PreviousAttemptLives:
        return "the previous attempt may still run";
    case StateError::NoSuchAttempt:
        return "no such attempt";
    case StateError::NoSuchJob:
        return "no such job";
    case StateError::JobExists:
        return "the job exists";
    case StateError::OverQuota:
        return "the team's quota is used up";
    case StateError::WrongPlacement:
        return "the tasks cannot be placed like this";
    }
    return "unknown state error";
}

ApplyReply StateMachine::apply(const Command &command, LogIndex index)
{
    applying_ = index;
    return std::visit([this](const auto &body) { return on(body); }, command);
}

bool StateMachine::hostTaken(const Document &document) const
{
    for (const std::pair<const EnvironmentName, Document> &known : documents_) {
        if (known.first == document.name) {
            continue;
        }
        const std::vector<std::string> &taken = known.second.hosts;
        for (const std::string &host : document.hosts) {
            if (std::count(taken.begin(), taken.end(), host) > 0) {
                return true;
            }
        }
    }
    return false;
}

void StateMachine::cacheDocument(const EnvironmentState &environment)
{
    if (!environment.production) {
        return;
    }
    Checked<Document> checked = parseDocument(environment.production->document);
    if (Document *document = std::get_if<Document>(&checked)) {
        documents_[environment.name] = std::move(*document);
    }
}

const Document *StateMachine::production(const EnvironmentName &environment) const
{
    const auto found = documents_.find(environment);
    return found == documents_.end() ? nullptr : &found->second;
}

ApplyReply StateMachine::on(const TryEnvironment &command)
{
    const Checked<Document> checked = parseDocument(command.document);
    const Document *document = std::get_if<Document>(&checked);
    if (document == nullptr) {
        return failed(StateError::NotTried);
    }
    if (hostTaken(*document)) {
        return failed(StateError::HostTaken);
    }
    EnvironmentState &environment = environments_[command.environment];
    environment.name = command.environment;
    if (environment.production && environment.production->version > command.version) {
        ApplyReply reply = failed(StateError::VersionStale);
        reply.conflict = conflictWith(*environment.production);
        return reply;
    }
    const bool known = findTried(environment, command.version, command.digest) != nullptr;
    std::erase_if(environment.tried, [&command](const TriedDocument &tried) {
        return tried.version == command.version && tried.digest == command.digest;
    });
    environment.tried.push_back(
        {command.version, command.digest, command.document, command.by, applying_});
    if (environment.tried.size() > keptTrials) {
        environment.tried.erase(environment.tried.begin());
    }
    configurationIndex_ = applying_;
    ApplyReply reply;
    reply.repeated = known;
    return reply;
}

ApplyReply StateMachine::on(const PromoteEnvironment &command)
{
    const auto found = environments_.find(command.environment);
    if (found == environments_.end()) {
        return failed(StateError::NotTried);
    }
    EnvironmentState &environment = found->second;
    if (environment.production) {
        const TriedDocument &inForce = *environment.production;
        ApplyReply reply;
        reply.conflict = conflictWith(inForce);
        if (inForce.version > command.version) {
            reply.error = StateError::VersionStale;
            return reply;
        }
        if (inForce.version == command.version) {
            reply.repeated = inForce.digest == command.digest;
            reply.error = reply.repeated ? StateError::None : StateError::VersionConflict;
            return reply;
        }
    }
    const TriedDocument *tried = findTried(environment, command.version, command.digest);
    if (tried == nullptr) {
        return failed(StateError::NotTried);
    }
    const Checked<Document> checked = parseDocument(tried->document);
    if (hostTaken(std::get<Document>(checked))) {
        return failed(StateError::HostTaken);
    }
    environment.production = *tried;
    environment.production->by = command.by;
    environment.production->since = applying_;
    configurationIndex_ = applying_;
    cacheDocument(environment);
    return {};
}

const std::map<EnvironmentName, EnvironmentState> &StateMachine::environments() const
{
    return environments_;
}

LogIndex StateMachine::configurationIndex() const
{
    return configurationIndex_;
}

} // namespace crocusmill
