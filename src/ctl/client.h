/// Requests of the operator's tool to one VM's operators' port.

#pragma once

#include <crocusmill/consensus.h>
#include <crocusmill/error.h>

#include <string>

namespace crocusmill::ctl
{

enum class ClientError {
    BadAddress = 1,
    Unreachable,
    NoAnswer, // the request was written, so its outcome is unknown
};

} // namespace crocusmill::ctl

namespace crocusmill
{

template <> struct ErrorText<ctl::ClientError>
{
    static constexpr const char *category = "client";
    static std::string_view text(ctl::ClientError error);
};

} // namespace crocusmill

namespace crocusmill::ctl
{

/// Found by argument-dependent look-up for this namespace's errors.
using crocusmill::make_error_code;

struct Answer
{
    unsigned int status = 0;
    std::string body;
};

class Client
{
public:
    Client(NodeAddress server, std::string token, std::string operatorName);

    /// Errors: ClientError.
    [[nodiscard]] Result<Answer> request(
        const std::string &method, const std::string &target, const std::string &body) const;

private:
    NodeAddress server_;
    std::string token_;
    std::string operatorName_;
};

/// `IP:PORT`. Errors: BadAddress.
[[nodiscard]] Result<NodeAddress> parseServer(const std::string &text);

} // namespace crocusmill::ctl
