/// Parser for one HTTP response: status, body and whether the connection can be reused.
///
/// Builds on Beast's basic_parser and stores no header fields: callers of workers don't read them.

#pragma once

#include "src/net/asio.h"

#include <crocusmill/ids.h>

#include <string>

namespace crocusmill
{

class AnswerParser final : public http::basic_parser<false>
{
public:
    explicit AnswerParser(ByteCount maxBodyBytes);

    /// Returns true if the end of the response can be detected without the end of the connection.
    /// Valid once the header is parsed.
    [[nodiscard]] bool isDelimited() const;
    [[nodiscard]] unsigned int status() const;
    [[nodiscard]] std::string takeBody();

private:
    using Error = boost::system::error_code;

    void on_request_impl(http::verb method, beast::string_view methodText,
        beast::string_view target, int version, Error &error) override;
    void on_response_impl(int code, beast::string_view reason, int version, Error &error) override;
    void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value,
        Error &error) override;
    void on_header_impl(Error &error) override;
    void on_body_init_impl(boost::optional<std::uint64_t> const &length, Error &error) override;
    std::size_t on_body_impl(beast::string_view body, Error &error) override;
    void on_chunk_header_impl(
        std::uint64_t size, beast::string_view extensions, Error &error) override;
    std::size_t on_chunk_body_impl(
        std::uint64_t remain, beast::string_view body, Error &error) override;
    void on_finish_impl(Error &error) override;

    unsigned int status_ = 0;
    std::string body_;
};

} // namespace crocusmill
