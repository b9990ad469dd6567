/// Commands of the operator's tool.

#pragma once

#include "src/ctl/client.h"

#include <ostream>
#include <string>
#include <vector>

namespace crocusmill::ctl
{

enum class ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Refused = 3, // the server refused and gave a reason
    Conflict = 4, // another version or digest is active
    Unreachable = 5, // nothing was sent
    Unknown = 6, // the request was sent, but no answer was received
};

enum class Output { Text, Json };

struct Invocation
{
    std::vector<std::string> words; // the command and its arguments
    std::uint64_t version = 0; // zero: not given
    std::string digest; // empty: that of the trial document with this version
    bool wait = false;
    // Of `explain request`; empty: not given.
    std::string host;
    std::string path;
    std::string customer;
    std::string file;
    Output output = Output::Text;
};

/// Runs one command against the server of `client`.
[[nodiscard]] ExitCode runCommand(
    const Client &client, const Invocation &invocation, std::ostream &out, std::ostream &errors);

/// Checks a settings file without a server.
[[nodiscard]] ExitCode checkSettings(
    const std::string &file, Output output, std::ostream &out, std::ostream &errors);

[[nodiscard]] std::string commandHelp();

} // namespace crocusmill::ctl
