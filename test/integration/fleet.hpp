#ifndef TANAGERTRACK_TEST_FLEET_HPP
#define TANAGERTRACK_TEST_FLEET_HPP

#include "cli/api_client.hpp"
#include "integration/process.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::test
{

/// Size and options of a fleet.
struct fleet_options
{
    int entries = 2;
    int engines = 2;
    int services = 0;

    /// Command line options of each engine stand-in.
    std::vector<std::string> engine_options;

    /// YAML text appended to the settings file of each entry.
    std::string entry_settings;

    /// Indented YAML lines added to the key "front" of each entry.
    std::string front_settings;
};

/// Runs entries and stand-ins as processes on free loopback ports, with ticket
/// 1 applied and all entries ready. Owns the processes and the temporary folder
/// with their settings and output; the destructor kills the processes. If a
/// check of the test has failed, the folder is kept and its name is printed.
class fleet
{
public:
    /// Throws std::runtime_error if a step of the start fails or takes
    /// longer than 20 s.
    explicit fleet(fleet_options options);
    ~fleet();

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Sends a request with the team's key to the listener for callers of an
    /// entry. Entries are numbered from 1.
    cli::api_answer call(int entry, const cli::api_request& request) const;

    /// Sends a request with the operator's key to the listener for operators of
    /// an entry.
    cli::api_answer call_operator(int entry,
                                  const cli::api_request& request) const;

    /// Returns a request for ticket 2, which sets the state of a target to
    /// leaving.
    cli::api_request make_leaving_ticket(const std::string& target) const;

    /// Submits a job and returns its id; repeats the submission for up to 20 s
    /// while the answer is 503. Throws std::runtime_error if it isn't accepted.
    std::string submit(int entry, const std::string& key,
                       const std::string& lines) const;

    /// Returns the state of a job; an empty object if the call fails.
    boost::json::object job(int entry, const std::string& id) const;

    /// Returns the number of items of a job that have a result.
    std::int64_t finished_items(int entry, const std::string& id) const;

    /// Waits until a job has the status. Returns false if it doesn't have it
    /// within `timeout`; the job's last state is then printed.
    bool wait_for_job(int entry, const std::string& id, std::string_view status,
                      std::chrono::seconds timeout) const;

    /// Returns the lines of a job's results by custom_id.
    std::multimap<std::string, std::string>
    results(int entry, const std::string& id) const;

    /// Returns the name of the entry that runs a job ("entry-1"), according to
    /// `entry`.
    std::string runner_of(int entry, const std::string& id) const;

    /// Sets faults of a stand-in ("store", "engine-1", "service-1") from a JSON
    /// object. Throws std::runtime_error if the stand-in rejects it.
    void set_fault(const std::string& stand_in, const std::string& json) const;

    /// Returns the counters and lists of a stand-in (GET /control/seen).
    boost::json::object seen(const std::string& stand_in) const;

    /// Returns the sum of a counter of GET /control/seen over all engines.
    std::int64_t engines_total(std::string_view counter) const;

    /// Returns the port of an entry's listener for callers.
    int caller_port(int entry) const;

    /// Returns a process by its name ("entry-1", "engine-1").
    process& process_of(const std::string& name);

    /// Starts a daemon, after killing it if it still runs.
    void restart(const std::string& daemon);

private:
    void choose_ports();
    void start_stand_ins();
    void start_daemons();
    void apply_ticket();
    void start(const std::string& name, std::vector<std::string> arguments);
    void start_stand_in(const std::string& name, int port,
                        std::vector<std::string> arguments);

    /// Returns true if GET `path` gets status 200.
    bool responds(int port, const std::string& path) const;

    fleet_options options_;
    std::string folder_;
    int base_port_ = 0;
    std::map<std::string, int> stand_in_ports_;
    std::map<std::string, process> processes_;
};

/// Bearer keys that a fleet accepts from its team and from its operators.
constexpr std::string_view team_key = "example-key-consegne";
constexpr std::string_view operator_key = "example-operator-key-fondazione";

/// Returns a chat request with one message, for an answer of `tokens` tokens.
cli::api_request chat(const std::string& content, int tokens,
                      bool stream = false);

/// Returns the body of such a chat request.
std::string chat_body(const std::string& content, int tokens,
                      bool stream = false);

/// Returns the joined text of the chunks of a streamed chat answer; empty if
/// the answer does not end with "[DONE]".
std::string streamed_text(const std::string& body);

/// Returns the lines of a job of `count` chat items: item N has the custom_id
/// "item-N" and the content "crate N".
std::string job_lines(int count, int tokens);

/// Checks that each item of a job of job_lines() has exactly one result, with
/// the complete answer to its own content, and that there are no other results.
void check_results(const std::multimap<std::string, std::string>& results,
                   int count, int tokens);

} // namespace tanagertrack::test

#endif
