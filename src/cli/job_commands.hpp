#ifndef TANAGERTRACK_CLI_JOB_COMMANDS_HPP
#define TANAGERTRACK_CLI_JOB_COMMANDS_HPP

#include "cli/command.hpp"

#include <vector>

namespace tanagertrack::cli
{

/// Returns the commands `job submit|list|show|watch|results|cancel`.
std::vector<command> job_commands();

} // namespace tanagertrack::cli

#endif
