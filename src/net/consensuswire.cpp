/// Encoding and decoding of consensus messages.

#include "src/net/consensuswire.h"

#include "src/net/peerstream.h"
#include "src/wire/membershipcodec.h"

namespace crocusmill
{

namespace
{

capnp::Data::Reader asData(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

std::string asText(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

void writeBody(const VoteRequest &body, rpc::ConsensusMessage::Builder out)
{
    rpc::VoteRequest::Builder request = out.initVoteRequest();
    request.setPreVote(body.preVote);
    request.setLastIndex(body.lastIndex.value());
    request.setLastTerm(body.lastTerm.value());
}

void writeBody(const VoteReply &body, rpc::ConsensusMessage::Builder out)
{
    rpc::VoteReply::Builder reply = out.initVoteReply();
    reply.setPreVote(body.preVote);
    reply.setGranted(body.granted);
}

void writeBody(const AppendRequest &body, rpc::ConsensusMessage::Builder out)
{
    rpc::AppendRequest::Builder request = out.initAppendRequest();
    request.setPreviousIndex(body.previousIndex.value());
    request.setPreviousTerm(body.previousTerm.value());
    request.setCommit(body.commit.value());
    request.setSentAt(body.sentAt);
    capnp::List<rpc::LogEntry>::Builder entries =
        request.initEntries(static_cast<unsigned int>(body.entries.size()));
    for (unsigned int i = 0; i < entries.size(); ++i) {
        const LogEntry &entry = body.entries[i];
        entries[i].setIndex(entry.index.value());
        entries[i].setTerm(entry.term.value());
        entries[i].setKind(static_cast<std::uint8_t>(entry.kind));
        entries[i].setPayload(asData(entry.payload));
    }
}

void writeBody(const AppendReply &body, rpc::ConsensusMessage::Builder out)
{
    rpc::AppendReply::Builder reply = out.initAppendReply();
    reply.setAccepted(body.accepted);
    reply.setIndex(body.index.value());
    reply.setPrevious(body.previous.value());
    reply.setSentAt(body.sentAt);
}

void writeBody(const InstallRequest &body, rpc::ConsensusMessage::Builder out)
{
    rpc::InstallRequest::Builder request = out.initInstallRequest();
    request.setIndex(body.snapshot->index.value());
    request.setTerm(body.snapshot->term.value());
    request.setMembership(asData(encodeMembership(body.snapshot->membership)));
    request.setData(asData(body.snapshot->data));
    request.setSentAt(body.sentAt);
}

Result<AppendRequest> readAppend(rpc::AppendRequest::Reader in)
{
    AppendRequest request;
    request.previousIndex = LogIndex {in.getPreviousIndex()};
    request.previousTerm = Term {in.getPreviousTerm()};
    request.commit = LogIndex {in.getCommit()};
    request.sentAt = in.getSentAt();
    LogIndex expected = next(request.previousIndex);
    for (const rpc::LogEntry::Reader entry : in.getEntries()) {
        const bool isKnownKind =
            entry.getKind() <= static_cast<std::uint8_t>(EntryKind::Membership);
        if (!isKnownKind || entry.getIndex() != expected.value()) {
            return PeerError::Undecodable;
        }
        request.entries.push_back({expected, Term {entry.getTerm()},
            static_cast<EntryKind>(entry.getKind()), asText(entry.getPayload())});
        expected = next(expected);
    }
    return request;
}

Result<InstallRequest> readInstall(rpc::InstallRequest::Reader in)
{
    Result<Membership> membership = decodeMembership(asText(in.getMembership()));
    if (!membership) {
        return PeerError::Undecodable;
    }
    InstallRequest request;
    request.sentAt = in.getSentAt();
    request.snapshot = std::make_shared<const Snapshot>(Snapshot {LogIndex {in.getIndex()},
        Term {in.getTerm()}, std::move(membership.value()), asText(in.getData())});
    return request;
}

} // namespace

void writeMessage(const Message &message, rpc::ConsensusMessage::Builder out)
{
    out.setFrom(message.from.value());
    out.setTo(message.to.value());
    out.setTerm(message.term.value());
    std::visit([&out](const auto &body) { writeBody(body, out); }, message.body);
}

Result<Message> readMessage(rpc::ConsensusMessage::Reader in)
{
    Message message;
    message.from = ReplicaId {in.getFrom()};
    message.to = ReplicaId {in.getTo()};
    message.term = Term {in.getTerm()};
    switch (in.which()) {
    case rpc::ConsensusMessage::VOTE_REQUEST:
        message.body = VoteRequest {in.getVoteRequest().getPreVote(),
            LogIndex {in.getVoteRequest().getLastIndex()},
            Term {in.getVoteRequest().getLastTerm()}};
        return message;
    case rpc::ConsensusMessage::VOTE_REPLY:
        message.body = VoteReply {in.getVoteReply().getPreVote(), in.getVoteReply().getGranted()};
        return message;
    case rpc::ConsensusMessage::APPEND_REQUEST: {
        BOOST_OUTCOME_TRY(message.body, readAppend(in.getAppendRequest()));
        return message;
    }
    case rpc::ConsensusMessage::APPEND_REPLY:
        message.body = AppendReply {in.getAppendReply().getAccepted(),
            LogIndex {in.getAppendReply().getIndex()}, LogIndex {in.getAppendReply().getPrevious()},
            in.getAppendReply().getSentAt()};
        return message;
    case rpc::ConsensusMessage::INSTALL_REQUEST: {
        BOOST_OUTCOME_TRY(message.body, readInstall(in.getInstallRequest()));
        return message;
    }
    }
    return PeerError::Undecodable;
}

} // namespace crocusmill
