/// Parser callbacks that store the status and the body.

#include "src/net/answerparser.h"

namespace crocusmill
{

AnswerParser::AnswerParser(ByteCount maxBodyBytes)
{
    eager(true);
    body_limit(maxBodyBytes.value());
}

bool AnswerParser::isDelimited() const
{
    return chunked() || content_length()
        || status_ == static_cast<unsigned int>(http::status::no_content);
}

unsigned int AnswerParser::status() const
{
    return status_;
}

std::string AnswerParser::takeBody()
{
    return std::move(body_);
}

void AnswerParser::on_request_impl(http::verb /*method*/, beast::string_view /*methodText*/,
    beast::string_view /*target*/, int /*version*/, Error & /*error*/)
{
}

void AnswerParser::on_response_impl(
    int code, beast::string_view /*reason*/, int /*version*/, Error & /*error*/)
{
    status_ = static_cast<unsigned int>(code);
}

void AnswerParser::on_field_impl(http::field /*name*/, beast::string_view /*nameText*/,
    beast::string_view /*value*/, Error & /*error*/)
{
}

void AnswerParser::on_header_impl(Error & /*error*/)
{
}

void AnswerParser::on_body_init_impl(
    boost::optional<std::uint64_t> const &length, Error & /*error*/)
{
    if (length) {
        body_.reserve(*length); // the parser has already checked the length against the limit
    }
}

std::size_t AnswerParser::on_body_impl(beast::string_view body, Error & /*error*/)
{
    body_.append(body.data(), body.size());
    return body.size();
}

void AnswerParser::on_chunk_header_impl(
    std::uint64_t /*size*/, beast::string_view /*extensions*/, Error & /*error*/)
{
}

std::size_t AnswerParser::on_chunk_body_impl(
    std::uint64_t /*remain*/, beast::string_view body, Error & /*error*/)
{
    body_.append(body.data(), body.size());
    return body.size();
}

void AnswerParser::on_finish_impl(Error & /*error*/)
{
}

} // namespace crocusmill
