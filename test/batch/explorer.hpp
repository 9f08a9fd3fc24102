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

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagertrack::test
{

/// Bound on the waiting tokens of the explorer's route.
constexpr std::uint64_t explorer_limit = 100;

/// What a caller knows of a job that it submitted, over all its attempts.
struct job_history
{
    std::vector<std::uint32_t> tokens;
    unsigned attempts = 0;
    unsigned refused = 0;
    bool accepted = false;
    bool end_confirmed = false;
};

/// What is known of a call that may run once.
struct call_history
{
    /// Requests that were permitted to run it and did not take that back.
    std::set<std::string> granted;
    std::set<std::string> reported;
};

/// How often a seed came to what the promises are about.
struct explorer_coverage
{
    unsigned accepted = 0;
    unsigned results = 0;
    unsigned taken = 0;
    unsigned repeated_calls = 0;

    /// Submissions whose outcome was not known at their deadline.
    unsigned open_outcomes = 0;

    /// Times at which records expired that a reader has to do without.
    unsigned expiries = 0;
};

/// The batch state of one process, without what runs items: the explorer
/// decides when an item ends.
class explorer_node
{
public:
    explorer_node(boost::asio::io_context& context, fake_store& store,
                  const std::string& name)
        : alive(std::make_shared<bool>(true)),
          jobs(context, gated(store.service(), alive), log_settings(name)),
          texts(context, gated(store.service(), alive), text_settings(name)),
          recorder(context, jobs, texts, std::chrono::milliseconds(0)),
          submissions(context, jobs), reads(context, jobs, texts),
          calls(context, jobs)
    {
    }

    ~explorer_node()
    {
        kill();
    }

    /// The process is gone: it neither calls the store nor hears of it.
    void kill()
    {
        *alive = false;
        jobs.stop();
    }

    std::shared_ptr<bool> alive;
    batch::job_log jobs;
    batch::text_store texts;
    batch::result_recorder recorder;
    batch::intake submissions;
    batch::results reads;
    batch::at_most_once_calls calls;

    /// Items whose end was given to the recorder.
    std::set<std::pair<std::string, std::uint32_t>> ended_items;

private:
    template<typename Handler>
    static auto gate(const std::shared_ptr<bool>& alive, Handler done)
    {
        return [alive, done = std::move(done)](const auto& result)
        {
            if (*alive)
                done(result);
        };
    }

    static store::store_service gated(const store::store_service& from,
                                      const std::shared_ptr<bool>& alive)
    {
        auto out = from;
        out.append = [from, alive](const auto& call, auto done)
        {
            if (*alive)
                from.append(call, gate(alive, std::move(done)));
        };
        out.read = [from, alive](const auto& call, auto done)
        {
            if (*alive)
                from.read(call, gate(alive, std::move(done)));
        };
        return out;
    }

    /// Waits of no time, so that a seed does not depend on the clock.
    static batch::job_log_settings log_settings(const std::string& name)
    {
        batch::job_log_settings settings;
        settings.member = name;
        settings.reading.wait = std::chrono::hours(1);
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

/// Drives some processes, their callers and a store that loses, delays and
/// refuses calls through random steps, and checks the promises of the batch
/// service. All is a function of the seed.
class explorer
{
public:
    explicit explorer(std::uint64_t seed);
    ~explorer();

    /// Runs the steps and the checks. Returns the first broken promise, or
    /// nothing.
    std::string run(unsigned steps);

    explorer_coverage coverage;

private:
    using node = explorer_node;

    // Random numbers.
    std::size_t below(std::size_t n);
    bool chance(double p);
    node& any_node();

    // Steps.
    void step();
    void poll();
    void submit();
    void finish_item();
    void end_job();
    void take_job();
    void ask_call();
    void end_call();
    void ask_item();
    void restart_node();
    void write_checkpoint();
    void expire_records();
    void add_node(std::size_t place);
    void draw_fates();
    batch::job_listener make_listener(const std::string& name);

    // Checks.
    void settle();
    void check_end();
    void check_jobs(const state::job_table& truth);
    void check_nodes(const state::job_table& truth);
    void check_texts(const state::job_table& truth);
    void collect_records();
    state::job_table fold_log();
    void fail(const std::string& what);

    std::mt19937_64 random_;
    double fault_share_ = 0;
    std::string failure_;
    boost::asio::io_context context_;
    fake_store store_{context_};
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::unique_ptr<node>> dead_;
    unsigned started_ = 0;
    std::map<std::string, job_history> jobs_;
    std::map<std::string, call_history> calls_;
    unsigned attempts_ = 0;

    /// All records of the jobs, also those that have expired.
    std::vector<std::string> records_;

    /// Offset of the newest checkpoint that is complete in the log.
    state::checkpoint_reader checkpoints_;

    /// Permitted calls that are neither reported nor taken back: call,
    /// attempt, and the process.
    std::vector<std::pair<std::string, std::string>> running_calls_;

    /// Item at each position of a job that any process has shown.
    std::map<std::pair<std::string, std::size_t>, std::uint32_t> shown_;

    /// Processes that may run an item that may run once.
    std::map<std::pair<std::string, std::uint32_t>, unsigned> item_grants_;
};

} // namespace tanagertrack::test

#endif
