/// The commands of the operator's tool.

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
    Refused = 3, // the server said no, and why
    Conflict = 4, // another version or digest is in force
    Unreachable = 5, // nothing was sent
    Unknown = 6, // sent, and no answer came
};

enum class Output { Text, Json };

struct Invocation
{
    std::vector<std::string> words; // the command and its arguments
    std::uint64_t version = 0; // zero: not given
    std::string digest; // empty: the one that was tried under the version
    bool wait = false;
    Output output = Output::Text;
};

[[nodiscard]] ExitCode runCommand(
    const Client &client, const Invocation &invocation, std::ostream &out, std::ostream &errors);

/// Checks a settings file without a server.
[[nodiscard]] ExitCode checkSettings(
    const std::string &file, Output output, std::ostream &out, std::ostream &errors);

[[nodiscard]] std::string commandHelp();

} // namespace crocusmill::ctl
