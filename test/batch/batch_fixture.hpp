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

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagertrack::test
{

/// What the processes of a test share: the store and the targets.
struct batch_world
{
    ~batch_world()
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
    routing::random_below lowest = [](std::size_t)
    {
        return 0;
    };
};

inline store::follower_settings fast_reading()
{
    store::follower_settings settings;
    settings.min_interval = std::chrono::milliseconds(0);
    settings.wait = std::chrono::milliseconds(50);
    settings.retry = {std::chrono::milliseconds(1),
                      std::chrono::milliseconds(5)};
    return settings;
}

inline batch::job_log_settings fast_log(const std::string& member)
{
    batch::job_log_settings settings;
    settings.member = member;
    settings.reading = fast_reading();
    settings.writing.retry = settings.reading.retry;
    return settings;
}

inline batch::text_store_settings fast_texts(const std::string& member)
{
    batch::text_store_settings settings;
    settings.member = member;
    settings.writing.retry = fast_reading().retry;
    return settings;
}

/// The batch parts of one process.
struct batch_process
{
    explicit batch_process(batch_world& shared, std::string name = "m1")
        : world(shared), member(std::move(name))
    {
        settings.check_interval = std::chrono::milliseconds(5);
        settings.record_interval = std::chrono::milliseconds(1);
        settings.progress.interval = std::chrono::milliseconds(1);
        settings.progress.max_unrecorded_run = std::chrono::milliseconds(1);
        settings.missing_route_timeout = std::chrono::milliseconds(50);
        add_route(3);
        jobs.start();
        items.start();
    }

    ~batch_process()
    {
        // Items that can't be taken back end with their connections.
        items.hand_over([] {});
        for (auto& it : world.servers)
            it.close_all();
        run_ready(world.context);
        jobs.stop();
        for (const auto& id : target_ids)
            set.remove(id);
        run_ready(world.context);
    }

    void add_route(std::uint32_t max_attempts)
    {
        fleet::route it;
        it.name = "r";
        it.host = "h";
        it.path_prefix = "/";
        it.kind = fleet::route_kind::batch;
        it.services = {{"s", 1}};
        it.max_attempts = max_attempts;
        configuration = std::make_shared<fleet::configuration>(
            1, std::vector{it}, std::vector<fleet::service>(),
            fleet::request_limits());
    }

    void add_target(const std::string& id, const scripted_server& server,
                    std::uint32_t slots = 8)
    {
        target_ids.push_back(id);
        set.add(id, make_announcement(server.address(), "s", slots));
    }

    bool until(const std::function<bool()>& condition)
    {
        return run_until(world.context, condition);
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

    static batch::job_terms make_terms(const std::string& job)
    {
        batch::job_terms terms;
        terms.job = job;
        terms.route = "r";
        terms.host = "h";
        terms.due_after = std::chrono::seconds(18);
        terms.deadline = common::clock::now() + std::chrono::seconds(10);
        return terms;
    }

    /// Submits a job; the verdict follows.
    std::shared_ptr<std::optional<batch::submission_result>>
    submit(const batch::job_terms& terms,
           const std::vector<proto::JobItem>& its)
    {
        auto result =
            std::make_shared<std::optional<batch::submission_result>>();
        const auto it = submissions.open(
            terms, [result](const batch::submission_result& value)
            { *result = value; });
        for (const auto& item : its)
            it->add(item);
        it->commit();
        return result;
    }

    /// Submits a job and expects that it is accepted.
    bool accept(const std::string& job, const std::vector<proto::JobItem>& its)
    {
        until([this] { return jobs.is_current(); });
        const auto result = submit(make_terms(job), its);
        return until([&] { return result->has_value(); }) && !**result;
    }

    const state::batch_job* job(const std::string& id) const
    {
        return jobs.table().find(id);
    }

    bool finished(const std::string& id) const
    {
        const auto* it = job(id);
        return it != nullptr && it->results.size() == it->items.size();
    }

    batch_world& world;
    std::string member;

    /// More urgent items of other entries that wait for a place.
    std::uint32_t waiting_elsewhere = 0;
    std::vector<std::string> target_ids;
    fleet::configuration_ptr configuration;
    targets::target_set set{world.context,
                            {"d", "", {}},
                            [this]
                            {
                                items.schedule_start();
                            }};
    routing::placement placement{routing::placement_settings(), world.lowest};
    batch::batch_settings settings;
    batch::environment shared{
        world.context,
        settings,
        world.protocol,
        set,
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
            return waiting_elsewhere;
        }};
    batch::job_log jobs{world.context, world.store.service(), fast_log(member)};
    batch::text_store texts{world.context, world.store.service(),
                            fast_texts(member)};
    batch::result_recorder recorder{world.context, jobs, texts,
                                    std::chrono::milliseconds(1)};
    batch::intake submissions{world.context, jobs};
    batch::runner items{shared, jobs, texts, recorder, submissions};
    batch::results reads{world.context, jobs, texts};
    batch::at_most_once_calls calls{world.context, jobs};
};

/// Answers requests as a target that makes `total` events, from the one after
/// which the request goes on.
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
