#ifndef TANAGERTRACK_CLI_ANSWERS_HPP
#define TANAGERTRACK_CLI_ANSWERS_HPP

#include "cli/api_client.hpp"

#include <boost/json/object.hpp>

#include <iosfwd>
#include <string_view>

namespace tanagertrack::cli
{

/// Prints the reason why a call failed, and returns the `exit_status` for it.
/// The status follows from the "execution" member of the entry's error, or, if
/// there was no response, from whether the request was sent.
int report_failure(const api_answer& answer, std::ostream& err);

/// Returns true if the response is an error which states that the request was
/// not run.
bool is_refused_as_not_run(const api_answer& answer);

/// Returns true for an HTTP status from 200 to 299.
bool succeeded(const api_answer& answer);

/// Parses the body of a response. Returns an empty object if it is not a JSON
/// object.
boost::json::object parse_object(std::string_view body);

/// Returns a member as text: a string without quotes, "-" if the member is
/// absent or null, any other value as JSON.
std::string member_text(const boost::json::object& object,
                        std::string_view name);

/// Returns the number `name` of the nested object `group`; 0 if it is absent or
/// not a number.
std::uint64_t count_of(const boost::json::object& object,
                       std::string_view group, std::string_view name);

} // namespace tanagertrack::cli

#endif
