#ifndef TANAGERTRACK_TEST_BATCH_EXPLORER_HPP
#define TANAGERTRACK_TEST_BATCH_EXPLORER_HPP

#include "batch/at_most_once_calls.hpp"
#include "batch/intake.hpp"
#include "batch/job_log.hpp"
#include "batch/result_recorder.hpp"
#include "batch/results.hpp"
#include "batch/text_store.hpp"
#include "support/event_loop.hpp"
#include "support/fake_store.hpp"
#include "support/ticking_clock.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tanagertrack::test
{

/// Limit on the waiting tokens of the explorer's route.
constexpr std::uint64_t explorer_max_waiting_tokens = 100;

/// What a caller has observed of a job, over all its submissions of this job.
struct job_history
{
    /// Tokens of each item.
    std::vector<std::uint32_t> tokens;
    unsigned submissions = 0;

    /// Submissions refused with `execution::not_run`.
    unsigned refused_not_run = 0;
    bool accepted = false;
    bool cancel_confirmed = false;

    /// State of the job as reported to callers by any process: later reads must
    /// not fall behind it.
    bool reported_accepted = false;
    bool reported_cancelled = false;
    std::size_t reported_results = 0;

    /// Results that counted in the first state that was reported as cancelled.
    std::optional<std::size_t> reported_final_results;
};

/// What callers have observed of a call that runs at most once.
struct call_history
{
    /// Attempts that were allowed to run the call, without those that were
    /// reported as not run.
    std::set<std::string> granted_attempts;

    /// Attempts whose answer was reported.
    std::set<std::string> reported_attempts;
};

/// How often a seed reached the situations that the checks are about.
struct explorer_coverage
{
    unsigned accepted = 0;
    unsigned results = 0;
    unsigned reassigned = 0;
    unsigned repeated_calls = 0;

    /// Submissions whose outcome was unknown at their deadline.
    unsigned unknown_outcomes = 0;

    /// Reads of a job's state or results that succeeded.
    unsigned reads = 0;

    /// Times that records before a complete checkpoint were dropped.
    unsigned expiries = 0;
};

/// The batch components of one process, without the runner: the explorer
/// decides when an item ends.
class explorer_process
{
public:
    /// With `reads_late`, the process reads the log only for its callers once
    /// it has caught up.
    explorer_process(boost::asio::io_context& context, fake_store& store,
                     const std::string& name, bool reads_late)
        : alive(std::make_shared<bool>(true)),
          jobs(context, make_service(store.service(), alive),
               log_settings(name, reads_late)),
          texts(context, make_service(store.service(), alive),
                text_settings(name)),
          recorder(context, jobs, texts, std::chrono::milliseconds(0)),
          intake(context, jobs), results(context, jobs, texts),
          calls(context, jobs)
    {
    }

    ~explorer_process()
    {
        kill();
    }

    /// Simulates the loss of the process: it sends no more calls to the store
    /// and handles no more results of earlier calls.
    void kill()
    {
        *alive = false;
        jobs.stop();
    }

    std::shared_ptr<bool> alive;
    batch::job_log jobs;
    batch::text_store texts;
    batch::result_recorder recorder;
    batch::intake intake;
    batch::results results;
    batch::at_most_once_calls calls;

    /// Items whose end was passed to the recorder: job and index.
    std::set<std::pair<std::string, std::uint32_t>> finished_items;

private:
    template<typename Handler>
    static auto call_if_alive(const std::shared_ptr<bool>& alive, Handler done)
    {
        return [alive, done = std::move(done)](const auto& result)
        {
            if (*alive)
                done(result);
        };
    }

    /// Returns a service that does nothing once `alive` is false.
    static store::store_service make_service(const store::store_service& from,
                                             const std::shared_ptr<bool>& alive)
    {
        auto out = from;
        out.append = [from, alive](const auto& call, auto done)
        {
            if (*alive)
                from.append(call, call_if_alive(alive, std::move(done)));
        };
        out.read = [from, alive](const auto& call, auto done)
        {
            if (*alive)
                from.read(call, call_if_alive(alive, std::move(done)));
        };
        return out;
    }

    /// All retry pauses are zero, and held reads end only on new records, so
    /// that a seed's run does not depend on the clock.
    static batch::job_log_settings log_settings(const std::string& name,
                                                bool reads_late)
    {
        batch::job_log_settings settings;
        settings.member = name;
        if (reads_late)
            settings.reading.min_interval = std::chrono::hours(1);
        settings.reading.wait = std::chrono::hours(1);
        settings.reading.max_confirmation = std::chrono::hours(1);
        settings.reading.retry = {std::chrono::milliseconds(0),
                                  std::chrono::milliseconds(0)};
        settings.writing.retry = settings.reading.retry;
        return settings;
    }

    static batch::text_store_settings text_settings(const std::string& name)
    {
        batch::text_store_settings settings;
        settings.member = name;
        settings.partitions = 2;
        settings.writing.retry = {std::chrono::milliseconds(0),
                                  std::chrono::milliseconds(0)};
        return settings;
    }
};

/// Randomized test of the batch state under faults. Takes random steps with
/// several processes, their callers and a store that loses, delays and refuses
/// calls, and checks the guarantees of the batch service. The whole run is a
/// function of the seed. Not thread-safe.
class explorer
{
public:
    explicit explorer(std::uint64_t seed);
    ~explorer();

    /// Runs the steps and the checks. Returns a description of the first
    /// violation, or an empty string.
    std::string run(unsigned steps);

    explorer_coverage coverage;

    /// Returns one line for each step that was taken: what was done, and the
    /// calls to the store, handlers and records up to then.
    const std::string& trace() const
    {
        return trace_;
    }

private:
    // Random choices. They are drawn in a fixed order, so that a seed can be
    // replayed.
    std::size_t random_below(std::size_t n);
    bool with_probability(double p);
    explorer_process& random_process();

    // Steps.
    void run_step();
    void run_some_handlers();
    void add_to_trace(std::string_view what);
    void submit_job();
    void finish_item();
    void cancel_job();
    void read_state();
    void read_results();
    void reassign_job();
    void request_call();
    void report_call();
    void append_item_intent();
    void restart_process();
    void append_checkpoint();
    void expire_records();
    void start_process(std::size_t index);
    void inject_store_faults();
    batch::job_listener make_listener(const std::string& name);

    // Checks.
    void finish_pending_calls();
    void check_invariants();
    void check_jobs(const state::job_table& reference);
    void check_processes(const state::job_table& reference);
    void check_texts(const state::job_table& reference);
    void collect_records();
    state::job_table fold_log();

    /// Stores the description of a violation; the first one is kept.
    void report_violation(const std::string& description);

    /// Declared first, as the other members read the time.
    ticking_clock clock_;
    std::mt19937_64 random_;
    std::string trace_;
    std::size_t handlers_run_ = 0;

    /// Probability that an append meets a fault; half of it for a read.
    double fault_share_ = 0;
    std::string violation_;
    boost::asio::io_context context_;
    fake_store store_{context_};
    std::vector<std::unique_ptr<explorer_process>> processes_;
    std::vector<std::unique_ptr<explorer_process>> killed_processes_;
    unsigned processes_started_ = 0;
    std::map<std::string, job_history> jobs_;
    std::map<std::string, call_history> calls_;
    unsigned call_attempts_ = 0;

    /// All records of the topic of jobs, including those that have expired.
    std::vector<std::string> job_records_;

    /// Finds the newest checkpoint that is complete in `job_records_`.
    state::checkpoint_reader checkpoints_;

    /// Calls that were allowed to run and whose outcome was not reported yet:
    /// call and attempt.
    std::vector<std::pair<std::string, std::string>> running_calls_;

    /// Item at each position of a job's results, as first seen at any process.
    std::map<std::pair<std::string, std::size_t>, std::uint32_t>
        observed_results_;

    /// Number of granted intents to run an item at most once, by job and index.
    std::map<std::pair<std::string, std::uint32_t>, unsigned>
        granted_item_intents_;
};

} // namespace tanagertrack::test

#endif
