#ifndef TANAGERTRACK_API_PROMPT_PARTS_HPP
#define TANAGERTRACK_API_PROMPT_PARTS_HPP

#include "routing/prompt.hpp"

#include <boost/json/object.hpp>

#include <vector>

namespace tanagertrack::api
{

/// Returns the keys of the parts of a model request's prompt: one for each
/// message of a chat, and one for the whole prompt of a completion.
std::vector<routing::part_key>
read_prompt_parts(const boost::json::object& body);

} // namespace tanagertrack::api

#endif
