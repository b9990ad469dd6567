/// Commands on environments, and the common part of the state machine.

#include <crocusmill/statemachine.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr std::size_t maxTrialDocuments = 8;

ApplyReply errorReply(StateError error)
{
    ApplyReply reply;
    reply.error = error;
    return reply;
}

const DocumentRecord *findTrial(
    const EnvironmentState &environment, DocumentVersion version, const Digest &digest)
{
    for (const DocumentRecord &trial : environment.tried) {
        if (trial.version == version && trial.digest == digest) {
            return &trial;
        }
    }
    return nullptr;
}

PromotionConflict conflictWith(const DocumentRecord &document)
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
    applyingIndex_ = index;
    return std::visit([this](const auto &body) { return applyCommand(body); }, command);
}

bool StateMachine::isHostTaken(const Document &document) const
{
    for (const std::pair<const EnvironmentName, Document> &entry : productionDocuments_) {
        if (entry.first == document.name) {
            continue;
        }
        const std::vector<std::string> &otherHosts = entry.second.hosts;
        for (const std::string &host : document.hosts) {
            if (std::count(otherHosts.begin(), otherHosts.end(), host) > 0) {
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
        productionDocuments_[environment.name] = std::move(*document);
    }
}

const Document *StateMachine::productionDocument(const EnvironmentName &environment) const
{
    const auto it = productionDocuments_.find(environment);
    return it == productionDocuments_.end() ? nullptr : &it->second;
}

ApplyReply StateMachine::applyCommand(const TryEnvironment &command)
{
    const Checked<Document> checked = parseDocument(command.document);
    const Document *document = std::get_if<Document>(&checked);
    if (document == nullptr) {
        return errorReply(StateError::NotTried);
    }
    if (isHostTaken(*document)) {
        return errorReply(StateError::HostTaken);
    }
    EnvironmentState &environment = environments_[command.environment];
    environment.name = command.environment;
    if (environment.production && environment.production->version > command.version) {
        ApplyReply reply = errorReply(StateError::VersionStale);
        reply.conflict = conflictWith(*environment.production);
        return reply;
    }
    const bool isRepeated = findTrial(environment, command.version, command.digest) != nullptr;
    std::erase_if(environment.tried, [&command](const DocumentRecord &trial) {
        return trial.version == command.version && trial.digest == command.digest;
    });
    environment.tried.push_back(
        {command.version, command.digest, command.document, command.by, applyingIndex_});
    if (environment.tried.size() > maxTrialDocuments) {
        environment.tried.erase(environment.tried.begin());
    }
    configurationIndex_ = applyingIndex_;
    ApplyReply reply;
    reply.repeated = isRepeated;
    return reply;
}

ApplyReply StateMachine::applyCommand(const PromoteEnvironment &command)
{
    const auto it = environments_.find(command.environment);
    if (it == environments_.end()) {
        return errorReply(StateError::NotTried);
    }
    EnvironmentState &environment = it->second;
    if (environment.production) {
        const DocumentRecord &current = *environment.production;
        ApplyReply reply;
        reply.conflict = conflictWith(current);
        if (current.version > command.version) {
            reply.error = StateError::VersionStale;
            return reply;
        }
        if (current.version == command.version) {
            reply.repeated = current.digest == command.digest;
            reply.error = reply.repeated ? StateError::None : StateError::VersionConflict;
            return reply;
        }
    }
    const DocumentRecord *trial = findTrial(environment, command.version, command.digest);
    if (trial == nullptr) {
        return errorReply(StateError::NotTried);
    }
    const Checked<Document> checked = parseDocument(trial->document);
    if (isHostTaken(std::get<Document>(checked))) {
        return errorReply(StateError::HostTaken);
    }
    environment.production = *trial;
    environment.production->by = command.by;
    environment.production->since = applyingIndex_;
    configurationIndex_ = applyingIndex_;
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
