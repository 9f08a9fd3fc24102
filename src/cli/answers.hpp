#ifndef TANAGERTRACK_CLI_ANSWERS_HPP
#define TANAGERTRACK_CLI_ANSWERS_HPP

#include "cli/api_client.hpp"

#include <boost/json/object.hpp>

#include <iosfwd>
#include <string_view>

namespace tanagertrack::cli
{

/// Prints why a call did not succeed, and returns the exit status for it.
/// Errors with a numbered code say whether the request ran.
int report_failure(const api_answer& answer, std::ostream& err);

/// Whether the entry says that nothing of the request ran.
bool is_refused_as_not_run(const api_answer& answer);

/// Whether the answer has a status from 200 to 299.
bool succeeded(const api_answer& answer);

/// The answer's body as an object; an empty one when it is no JSON object.
boost::json::object parse_object(std::string_view body);

/// Member as text: strings without quotes, others serialized, "-" if absent.
std::string member_text(const boost::json::object& from, std::string_view name);

/// Member of the nested object `group` as a number; 0 if absent.
std::uint64_t count_of(const boost::json::object& from, std::string_view group,
                       std::string_view name);

} // namespace tanagertrack::cli

#endif
