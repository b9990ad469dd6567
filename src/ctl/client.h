/// HTTP client of the operator's tool for the operators' port of one VM.

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

/// Makes the function visible to argument-dependent lookup for the errors of this namespace.
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

    /// Sends one request and waits for the answer, at most 10 seconds in all. Errors: ClientError.
    [[nodiscard]] Result<Answer> request(
        const std::string &method, const std::string &target, const std::string &body) const;

private:
    NodeAddress server_;
    std::string token_;
    std::string operatorName_;
};

/// Parses `IP:PORT`. Errors: BadAddress.
[[nodiscard]] Result<NodeAddress> parseServer(const std::string &text);

} // namespace crocusmill::ctl
