/// How failures are typed and carried.
///
/// Each part declares an enum of its failures and one specialisation of ErrorText; from that the
/// enum converts to std::error_code. The edge alone turns an error into HTTP, an exit code or a
/// log line.

#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>
#include <system_error>

namespace crocusmill
{

template <typename T> using Result = boost::outcome_v2::std_result<T>;

using boost::outcome_v2::success;

/// Specialised for each error enum: `category` and `text(E)`.
template <typename E> struct ErrorText;

template <typename E>
concept DescribedError = requires(E error)
{
    {
        ErrorText<E>::category
        } -> std::convertible_to<std::string_view>;
    {
        ErrorText<E>::text(error)
        } -> std::convertible_to<std::string_view>;
};

template <DescribedError E> class ErrorCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return ErrorText<E>::category;
    }

    std::string message(int code) const override
    {
        return std::string {ErrorText<E>::text(static_cast<E>(code))};
    }
};

template <DescribedError E> std::error_code make_error_code(E error)
{
    static const ErrorCategory<E> category;
    return {static_cast<int>(error), category};
}

} // namespace crocusmill

template <crocusmill::DescribedError E> struct std::is_error_code_enum<E> : std::true_type
{
};
