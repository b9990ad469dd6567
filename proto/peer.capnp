# Calls between crocusmill processes. Two VMs have one connection in each direction.

@0xd2a8f3b6c94e1705;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("crocusmill::rpc");

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
}

struct VoteRequest {
  preVote @0 :Bool;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
}

struct VoteReply {
  preVote @0 :Bool;
  granted @1 :Bool;
}

struct AppendRequest {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  commit @2 :UInt64;
  sentAt @3 :UInt64;
  entries @4 :List(LogEntry);
}

struct AppendReply {
  accepted @0 :Bool;
  index @1 :UInt64;
  sentAt @2 :UInt64;
  previous @3 :UInt64;
}

struct InstallRequest {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :Data;
  data @3 :Data;
  sentAt @4 :UInt64;
}

struct ConsensusMessage {
  from @0 :UInt64;
  to @1 :UInt64;
  term @2 :UInt64;
  union {
    voteRequest @3 :VoteRequest;
    voteReply @4 :VoteReply;
    appendRequest @5 :AppendRequest;
    appendReply @6 :AppendReply;
    installRequest @7 :InstallRequest;
  }
}

interface Peer {
  # Delivers one consensus message. The peer sends its reply by deliver() on its own connection.
  deliver @0 (message :ConsensusMessage) -> ();
  # Sends a control call; call and reply are tagged records. limitMs is the time that the caller
  # waits (zero: not stated) and callClass is a CallClass. Both are readable before the record.
  call @1 (request :Data, limitMs :UInt32, callClass :UInt8) -> (reply :Data);
}
