#ifndef TANAGERTRACK_CLI_OPERATOR_COMMANDS_HPP
#define TANAGERTRACK_CLI_OPERATOR_COMMANDS_HPP

#include "cli/command.hpp"

#include <vector>

namespace tanagertrack::cli
{

/// Returns the commands `ticket apply|status`, `target list` and `status`.
std::vector<command> operator_commands();

} // namespace tanagertrack::cli

#endif
