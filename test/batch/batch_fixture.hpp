#ifndef TANAGERTRACK_TEST_BATCH_BATCH_FIXTURE_HPP
#define TANAGERTRACK_TEST_BATCH_BATCH_FIXTURE_HPP

#include "batch/at_most_once_calls.hpp"
#include "batch/intake.hpp"
#include "batch/job_log.hpp"
#include "batch/membership.hpp"
#include "batch/result_recorder.hpp"
#include "batch/results.hpp"
#include "batch/runner.hpp"
#include "batch/text_store.hpp"
#include "support/event_loop.hpp"
#include "support/fake_store.hpp"
#include "support/scripted_server.hpp"
#include "support/test_protocol.hpp"

#include <boost/test/unit_test.hpp>

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagertrack::test
{

/// What the processes of one test share: the event loop, the store and the
/// servers of the targets.
struct batch_cluster
{
    ~batch_cluster()
    {
        for (auto& it : servers)
            it.stop();
        run_ready(context);
    }

    scripted_server& add_server()
    {
        return servers.emplace_back(context);
    }

    void append(const proto::JobRecord& record)
    {
        store.model.append({"jobs", 0, {record.SerializeAsString()}},
                           common::clock::now());
        store.wake();
    }

    boost::asio::io_context context;
    fake_store store{context};
    std::list<scripted_server> servers;
    targets::target_protocol protocol = make_test_protocol();

    /// Replaces the random choices of the placement.
    routing::random_below always_zero = [](std::size_t)
    {
        return 0;
    };
};

inline store::follower_settings fast_follower_settings()
{
    store::follower_settings settings;
    settings.min_interval = std::chrono::milliseconds(0);
    settings.wait = std::chrono::milliseconds(50);
    settings.max_confirmation = std::chrono::milliseconds(500);
    settings.retry = {std::chrono::milliseconds(1),
                      std::chrono::milliseconds(5)};
    return settings;
}

/// Settings with which a follower that has caught up reads no record by itself:
/// its view of the log changes only by confirmations.
inline store::follower_settings held_follower_settings()
{
    auto settings = fast_follower_settings();
    settings.min_interval = std::chrono::hours(1);
    return settings;
}

inline batch::text_store_settings fast_text_settings(const std::string& member)
{
    batch::text_store_settings settings;
    settings.member = member;
    settings.writing.retry = fast_follower_settings().retry;
    return settings;
}

/// The batch components of one process, with short times.
struct batch_process
{
    explicit batch_process(
        batch_cluster& shared, std::string name = "m1",
        store::follower_settings reading = fast_follower_settings())
        : cluster(shared), member(std::move(name)),
          jobs(cluster.context, make_service(),
               make_log_settings(member, reading))
    {
        settings.check_interval = std::chrono::milliseconds(5);
        settings.record_interval = std::chrono::milliseconds(1);
        settings.progress.interval = std::chrono::milliseconds(1);
        settings.progress.max_unrecorded_run = std::chrono::milliseconds(1);
        settings.missing_route_timeout = std::chrono::milliseconds(50);
        add_route(3);
        jobs.start();
        runner.start();
    }

    ~batch_process()
    {
        // Items that can't be preempted end when their connections close.
        runner.hand_over([] {});
        for (auto& it : cluster.servers)
            it.close_all();
        run_ready(cluster.context);
        jobs.stop();
        for (const auto& id : target_ids)
            targets.remove(id);
        run_ready(cluster.context);
    }

    /// Returns a route for batch jobs of the host "h", which the service "s"
    /// runs.
    static fleet::route make_route(const std::string& name = "r",
                                   const std::string& path_prefix = "/")
    {
        fleet::route it;
        it.name = name;
        it.host = "h";
        it.path_prefix = path_prefix;
        it.kind = fleet::route_kind::batch;
        it.services = {{"s", 1}};
        it.max_attempts = 3;
        return it;
    }

    /// Sets a configuration with these routes.
    void configure(std::uint64_t version, std::vector<fleet::route> routes)
    {
        configuration = std::make_shared<fleet::configuration>(
            version, std::move(routes), std::vector<fleet::service>(),
            fleet::request_limits());
    }

    /// Sets a configuration with the route "r".
    void add_route(std::uint32_t max_attempts,
                   std::chrono::milliseconds expires_after = {},
                   std::uint64_t version = 1)
    {
        auto it = make_route();
        it.max_attempts = max_attempts;
        it.expires_after = expires_after;
        configure(version, {it});
    }

    /// Sets a configuration without routes.
    void remove_routes(std::uint64_t version)
    {
        configure(version, {});
    }

    void add_target(const std::string& id, const scripted_server& server,
                    std::uint32_t slots = 8)
    {
        target_ids.push_back(id);
        targets.add(id, make_announcement(server.address(), "s", slots));
    }

    /// Runs handlers until the condition holds. Returns false on a timeout.
    bool until(const std::function<bool()>& condition)
    {
        return run_until(cluster.context, condition);
    }

    /// Runs handlers for several times the timeout after which the items of a
    /// removed route end.
    void run_past_missing_route_timeout()
    {
        run_for(cluster.context, 4 * settings.missing_route_timeout);
    }

    static proto::JobItem make_item(const std::string& id,
                                    std::uint32_t tokens = 10)
    {
        proto::JobItem it;
        it.set_id(id);
        it.set_method("POST");
        it.set_path("/x");
        it.set_body("body of " + id);
        it.set_tokens(tokens);
        return it;
    }

    static batch::job_terms
    make_terms(const std::string& job,
               std::chrono::milliseconds due_after = std::chrono::seconds(18))
    {
        batch::job_terms terms;
        terms.job = job;
        terms.route = "r";
        terms.host = "h";
        terms.due_after = due_after;
        terms.deadline = common::clock::now() + std::chrono::seconds(10);
        return terms;
    }

    /// Submits a job. The returned value is set when the result is known.
    std::shared_ptr<std::optional<batch::submission_result>>
    submit(const batch::job_terms& terms,
           const std::vector<proto::JobItem>& job_items)
    {
        auto result =
            std::make_shared<std::optional<batch::submission_result>>();
        const auto it =
            intake.open(terms, [result](const batch::submission_result& value)
                        { *result = value; });
        for (const auto& item : job_items)
            it->add(item);
        it->commit();
        return result;
    }

    /// Submits a job and waits for the result. Returns true if the job was
    /// accepted.
    bool accept(const std::string& job,
                const std::vector<proto::JobItem>& job_items,
                std::chrono::milliseconds due_after = std::chrono::seconds(18))
    {
        until([this] { return jobs.is_current(); });
        const auto result = submit(make_terms(job, due_after), job_items);
        return until([&] { return result->has_value(); }) && !**result;
    }

    const state::batch_job* job(const std::string& id) const
    {
        return jobs.table().find(id);
    }

    /// Reads the results of a job that this process knows.
    std::vector<batch::job_result> read(const std::string& id)
    {
        std::vector<batch::job_result> out;
        bool handler_ran = false;
        results.read(id, 0, 1024UL * 1024, std::chrono::milliseconds(0),
                     common::clock::now(),
                     [&](const batch::results_page& it)
                     {
                         BOOST_TEST(!it.ec);
                         out = it.results;
                         handler_ran = true;
                     });
        BOOST_REQUIRE(until([&] { return handler_ran; }));
        return out;
    }

    static batch::job_log_settings
    make_log_settings(const std::string& member,
                      const store::follower_settings& reading)
    {
        batch::job_log_settings settings;
        settings.member = member;
        settings.reading = reading;
        settings.writing.retry = reading.retry;
        return settings;
    }

    /// Returns the service of the store, with the outcome `log_reads` for this
    /// process's reads of the log. Reads that get no answer stay pending.
    store::store_service make_service()
    {
        auto out = cluster.store.service();
        out.read =
            [this, read = out.read](const store::read_call& call, auto done)
        {
            on_log_read();
            if (log_reads == call_outcome::done)
                return read(call, std::move(done));
            if (log_reads == call_outcome::silent)
                return;
            store::read_result result;
            result.ec = make_error_code(common::result_code::log_unavailable);
            boost::asio::post(cluster.context, [done = std::move(done), result]
                              { done(result); });
        };
        return out;
    }

    /// Returns true if the job is known and all of its items have results.
    bool finished(const std::string& id) const
    {
        const auto* it = job(id);
        return it != nullptr && it->results.size() == it->items.size();
    }

    batch_cluster& cluster;
    std::string member;

    /// Number of more urgent items of other entries that wait for a slot.
    std::uint32_t peer_items_ahead = 0;
    std::vector<std::string> target_ids;
    fleet::configuration_ptr configuration;
    targets::target_set targets{cluster.context,
                                {"d", "", {}},
                                {.on_load_change = [this]
                                 {
                                     runner.schedule_start();
                                 }}};
    routing::placement placement{routing::placement_settings(),
                                 cluster.always_zero};
    batch::batch_settings settings;
    batch::environment environment{
        cluster.context,
        settings,
        cluster.protocol,
        targets,
        placement,
        [this] { return configuration; },
        [](unsigned status)
        {
            return status == 422   ? batch::failure_kind::permanent
                   : status == 500 ? batch::failure_kind::counted
                                   : batch::failure_kind::transient;
        },
        [](const targets::target&) { return 0U; },
        [this](const std::string&, const routing::urgency_key&)
        {
            return peer_items_ahead;
        }};

    /// Outcome of the process's reads of the log; the outcomes of the store
    /// apply as well.
    call_outcome log_reads = call_outcome::done;

    /// Called at each read of the log by this process.
    std::function<void()> on_log_read = [] {
    };
    batch::job_log jobs;
    batch::text_store texts{cluster.context, cluster.store.service(),
                            fast_text_settings(member)};
    batch::result_recorder recorder{cluster.context, jobs, texts,
                                    std::chrono::milliseconds(1)};
    batch::intake intake{cluster.context, jobs};
    batch::runner runner{environment, jobs, texts, recorder, intake};
    batch::results results{cluster.context, jobs, texts};
    batch::at_most_once_calls calls{cluster.context, jobs};
};

/// Returns a function that answers a request like a target whose item has
/// `total` events. A request that resumes gets those after its `After` field.
inline std::function<scripted_answer(const std::string&)>
make_events(unsigned total)
{
    return [total](const std::string& request)
    {
        const auto after = field_of(request, "After");
        unsigned n = after.empty() ? 0 : std::stoul(after);
        std::string out =
            chunked_head(200, answers_to(field_of(request, "Id")));
        while (n++ < total)
            out += chunk(event(n, "e" + std::to_string(n)));
        return scripted_answer{out + chunk("")};
    };
}

} // namespace tanagertrack::test

#endif
