#ifndef TANAGERTRACK_CLI_EXIT_STATUS_HPP
#define TANAGERTRACK_CLI_EXIT_STATUS_HPP

namespace tanagertrack::cli
{

/// Exit statuses of the command-line tool; docs/cli.md lists them.
enum exit_status : int
{
    /// The command succeeded.
    exit_ok = 0,
    /// The command failed, or the job that it watched was cancelled or has
    /// failed or unknown items.
    exit_failed = 1,
    /// Wrong arguments or an invalid local file.
    exit_usage = 2,
    /// The entry rejected the request and ran no part of it.
    exit_not_run = 3,
    /// The request may have run. It is safe to repeat it with the same
    /// idempotency key.
    exit_may_have_run = 4,
    /// No connection to the entry could be established.
    exit_unreachable = 5
};

} // namespace tanagertrack::cli

#endif
