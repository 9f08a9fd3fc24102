#ifndef TANAGERTRACK_COMMON_RESULT_CODE_HPP
#define TANAGERTRACK_COMMON_RESULT_CODE_HPP

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace tanagertrack::common
{

/// Whether rejected or failed work was executed, as far as it is known.
enum class execution : std::uint8_t
{
    not_run,
    ran,
    may_have_run
};

/// Returns "not_run", "ran" or "may_have_run".
std::string_view to_string(execution value);

/// Result codes. docs/errors.md lists them, and a test compares the page with
/// this table.
///
/// Columns: name, number, HTTP status, execution, text.
#define TANAGERTRACK_RESULT_CODES(ROW)                                         \
    ROW(ok, 0, 200, ran, "success")                                            \
    ROW(malformed_json, 1001, 400, not_run, "the body is not valid JSON")      \
    ROW(invalid_utf8, 1002, 400, not_run, "the body is not valid UTF-8")       \
    ROW(invalid_request, 1003, 400, not_run,                                   \
        "a field is missing, has the wrong type or is out of range")           \
    ROW(line_too_long, 1004, 413, not_run,                                     \
        "a line of the JSON Lines body is over the limit")                     \
    ROW(body_too_large, 1005, 413, not_run, "the body is over the limit")      \
    ROW(headers_too_large, 1006, 431, not_run,                                 \
        "the header fields are over the limit")                                \
    ROW(idempotency_key_required, 1007, 400, not_run,                          \
        "calls that may not be repeated need an Idempotency-Key header")       \
    ROW(idempotency_conflict, 1008, 409, not_run,                              \
        "the idempotency key was used before with other content")              \
    ROW(idempotency_key_expired, 1009, 409, not_run,                           \
        "the idempotency key is older than the period for which keys are "     \
        "known")                                                               \
    ROW(duplicate_custom_id, 1010, 400, not_run,                               \
        "two items of the job have the same custom_id")                        \
    ROW(too_many_items, 1011, 413, not_run,                                    \
        "the job has more items than the limit")                               \
    ROW(invalid_team_key, 1101, 401, not_run,                                  \
        "the bearer key is missing or unknown")                                \
    ROW(forbidden, 1102, 403, not_run, "the key does not permit this call")    \
    ROW(unknown_model, 1103, 404, not_run, "no such model")                    \
    ROW(unknown_service, 1104, 404, not_run, "no such service")                \
    ROW(unknown_job, 1105, 404, not_run, "no such job")                        \
    ROW(unknown_path, 1106, 404, not_run, "no such path")                      \
    ROW(method_not_allowed, 1107, 405, not_run,                                \
        "the path does not accept this method")                                \
    ROW(results_expired, 1108, 410, not_run, "the results are no longer kept") \
    ROW(rate_limited, 1201, 429, not_run, "the team is above its limit")       \
    ROW(overloaded, 1202, 503, not_run,                                        \
        "no capacity to start the request in time")                            \
    ROW(jobs_full, 1203, 429, not_run, "the job or item table is full")        \
    ROW(shutting_down, 1204, 503, not_run, "the process is stopping")          \
    ROW(log_unavailable, 1301, 503, not_run,                                   \
        "the platform's log does not accept records")                          \
    ROW(log_append_unknown, 1302, 503, may_have_run,                           \
        "the answer to an append was lost")                                    \
    ROW(log_offset_expired, 1303, 503, not_run,                                \
        "the log no longer keeps the requested offset")                        \
    ROW(no_partition_holder, 1304, 503, not_run,                               \
        "the batch partition has no known holder")                             \
    ROW(no_configuration, 1305, 503, not_run,                                  \
        "the process has no fleet configuration yet")                          \
    ROW(stale_claim, 1306, 503, not_run,                                       \
        "the work carries a replaced claim on its partition")                  \
    ROW(log_moved, 1307, 503, not_run,                                         \
        "the log does not end at the expected offset")                         \
    ROW(producer_fenced, 1308, 503, not_run,                                   \
        "a later writer has taken over the producer's name")                   \
    ROW(producer_sequence, 1309, 503, not_run,                                 \
        "the append does not follow the producer's last one")                  \
    ROW(log_full, 1310, 503, not_run, "the log has no room left")              \
    ROW(record_too_large, 1311, 413, not_run,                                  \
        "a record is larger than the platform's log takes")                    \
    ROW(configuration_stale, 1312, 503, not_run,                               \
        "the process cannot check whether the key is still valid")             \
    ROW(no_target, 1401, 503, not_run,                                         \
        "no live target serves the model or service")                          \
    ROW(target_refused, 1402, 503, not_run, "the target refused the work")     \
    ROW(target_failed, 1403, 502, may_have_run,                                \
        "the target failed after it was given the work")                       \
    ROW(target_rejected, 1404, 502, ran,                                       \
        "the target answered that the request can't be done")                  \
    ROW(connection_lost, 1405, 502, may_have_run,                              \
        "the connection was lost before the answer was complete")              \
    ROW(deadline_exceeded, 1406, 504, may_have_run,                            \
        "the deadline passed before the answer was complete")                  \
    ROW(deadline_before_start, 1407, 504, not_run,                             \
        "the deadline passed before the work was started")                     \
    ROW(outcome_unknown, 1408, 502, may_have_run,                              \
        "the work may have run; it is not sent again")                         \
    ROW(cancelled, 1409, 499, may_have_run, "the work was cancelled")          \
    ROW(preempted, 1410, 503, may_have_run,                                    \
        "the work gave its place to online work")                              \
    ROW(prompt_quarantined, 1411, 503, not_run,                                \
        "a part of the prompt has crashed targets")                            \
    ROW(answer_too_large, 1412, 502, ran,                                      \
        "the answer is larger than can be kept")                               \
    ROW(ticket_invalid, 1501, 400, not_run, "the ticket is not valid")         \
    ROW(ticket_stale, 1502, 409, not_run,                                      \
        "the ticket's number is not above the last accepted one for an "       \
        "object that it touches")                                              \
    ROW(ticket_conflict, 1503, 409, not_run,                                   \
        "the ticket's number was used before with other content")              \
    ROW(invalid_order, 1504, 409, not_run,                                     \
        "the order carries an old fencing number")                             \
    ROW(protocol_error, 1601, 502, may_have_run,                               \
        "the peer sent a message that is not valid")                           \
    ROW(ring_full, 1602, 503, not_run, "an internal ring is full")             \
    ROW(internal_error, 1603, 500, may_have_run, "internal error")

/// Result of an operation; converts to `std::error_code`.
enum class result_code : int
{
#define TANAGERTRACK_ROW(name, number, http, exec, text) name = number,
    TANAGERTRACK_RESULT_CODES(TANAGERTRACK_ROW)
#undef TANAGERTRACK_ROW
};

/// Row of the result code table.
struct result_info
{
    result_code code;
    std::string_view name;

    /// HTTP status of responses that report the code.
    unsigned http_status;
    execution ran;
    std::string_view text;
};

/// Returns all rows, in ascending order of their numbers.
std::span<const result_info> result_table();

/// Returns the row of a code, or that of internal_error for an unknown number.
const result_info& info(result_code code);

/// Returns the error category of the codes, named "tanagertrack".
const std::error_category& result_category();

/// Found by `std::error_code` through argument-dependent lookup.
std::error_code make_error_code(result_code code);

/// Returns the code in `ec`: ok if there is no error, internal_error for other
/// error categories.
result_code to_result_code(const std::error_code& ec);

} // namespace tanagertrack::common

template<>
struct std::is_error_code_enum<tanagertrack::common::result_code>
    : std::true_type
{
};

#endif
