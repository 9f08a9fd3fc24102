#ifndef TANAGERTRACK_CLI_EXIT_STATUS_HPP
#define TANAGERTRACK_CLI_EXIT_STATUS_HPP

namespace tanagertrack::cli
{

/// Exit statuses of the command-line tool; docs/cli.md lists them.
enum exit_status : int
{
    /// Done.
    exit_ok = 0,
    /// The command failed, or its subject is in a failed state.
    exit_failed = 1,
    /// Wrong arguments or an invalid local file.
    exit_usage = 2,
    /// The entry rejected the request and nothing ran.
    exit_not_run = 3,
    /// The request may have run; repeating it with the same key is safe.
    exit_may_have_run = 4,
    /// The entry can't be reached.
    exit_unreachable = 5
};

} // namespace tanagertrack::cli

#endif
