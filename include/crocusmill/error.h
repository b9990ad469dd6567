/// Typed errors based on std::error_code.
///
/// Each module declares an error enum and a specialisation of ErrorText, which makes the enum
/// convertible to std::error_code. Only the outermost layer turns an error into an HTTP response,
/// an exit code or a log line.

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

/// Specialised for each error enum; provides `category` and `text(E)`.
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
