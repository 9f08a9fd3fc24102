#include "agent/status_hub.hpp"
#include "agent/work_dispatcher.hpp"
#include "common/duty_thread.hpp"
#include "transport/client_connection.hpp"
#include "transport/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::agent;
using common::result_code;
using std::chrono::milliseconds;

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::seconds wait_limit{20};

common::endpoint free_endpoint()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor probe(context,
                                        {asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", probe.local_endpoint().port()};
}

/// Target whose calls are driven by the test.
struct scripted_target
{
    struct call
    {
        services::target_request request;
        services::target_hooks hooks;
        std::atomic<bool> cancelled{false};
    };

    services::target_service service()
    {
        services::target_service it;
        it.call = [this](services::target_request request,
                         services::target_hooks hooks)
        {
            const std::lock_guard lock(mutex);
            auto& made = calls.emplace_back(std::make_shared<call>());
            made->request = std::move(request);
            made->hooks = std::move(hooks);
            // The hooks hold the owner of this function.
            return [weak = std::weak_ptr(made)]
            {
                if (const auto it = weak.lock())
                    it->cancelled = true;
            };
        };
        return it;
    }

    std::size_t count()
    {
        const std::lock_guard lock(mutex);
        return calls.size();
    }

    std::shared_ptr<call> get(std::size_t index)
    {
        const std::lock_guard lock(mutex);
        return calls.at(index);
    }

    std::mutex mutex;
    std::vector<std::shared_ptr<call>> calls;
};

/// One piece of work as its entry sees it.
struct sent_work
{
    transport::message_stream_ptr stream;
    std::vector<proto::WorkEvent> events;
    std::optional<std::error_code> closed;

    const proto::WorkEvent& last() const
    {
        return events.back();
    }

    bool has(proto::WorkEvent::KindCase kind) const
    {
        return !events.empty() && last().kind_case() == kind;
    }
};

using event = proto::WorkEvent;

/// An agent in front of a scripted target, and an entry's connection.
struct fixture
{
    fixture()
    {
        settings.agent.target = "engine-1";
        settings.agent.slots = 2;
        settings.agent.online_reserve = 1;
        settings.agent.batch_stock = 1;
        transport_settings.cluster_key = "key";
    }

    ~fixture()
    {
        client.reset();
        peer.stop();
        target_thread.stop();
    }

    void start()
    {
        runner.emplace(peer, target_thread, target.service(), 1 << 20);
        work.emplace(peer.context(), settings, metrics, *runner);
        hub.emplace(peer.context(), *work);
        work->set_hooks([this] { hub->changed(); },
                        [this](std::uint64_t it) { hub->note_batch(it); },
                        [this](std::uint64_t it) { return hub->credit(it); });
        server.emplace(peer.context(), transport_settings,
                       [this](transport::message_stream_ptr stream)
                       {
                           if (stream->path() == "/work")
                               work->accept(stream);
                           else
                               hub->accept(stream);
                       });
        const auto at = free_endpoint();
        BOOST_REQUIRE(!server->listen(at));
        peer.start();
        target_thread.start();
        client.emplace(context, transport_settings);
        bool up = false;
        client->start(at, {[&] { up = true; }, {}, {}});
        BOOST_REQUIRE(run_until([&] { return up; }));
    }

    template<typename Condition>
    bool run_until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + wait_limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            context.run_one_for(milliseconds(1));
            context.restart();
        }
        return condition();
    }

    static proto::WorkRequest request(proto::WorkClass kind)
    {
        proto::WorkRequest it;
        it.set_work_id("w");
        it.set_work_class(kind);
        it.set_repeatable(true);
        it.set_method("POST");
        it.set_path("/v1/completions");
        it.set_content_type("application/json");
        it.set_body("{\"prompt\":\"p\"}");
        it.set_deadline_ms(20000);
        return it;
    }

    sent_work& send(const proto::WorkRequest& it)
    {
        auto& out = *works.emplace_back(std::make_unique<sent_work>());
        transport::stream_hooks hooks;
        hooks.on_message = [&out](std::string_view data)
        {
            out.events.emplace_back().ParseFromArray(
                data.data(), static_cast<int>(data.size()));
        };
        hooks.on_closed = [&out](std::error_code ec)
        {
            out.closed = ec;
        };
        out.stream = client->open("/work", std::move(hooks));
        out.stream->send(it);
        out.stream->finish();
        return out;
    }

    /// Sends work and waits until its call was made at the target.
    sent_work& send_and_start(const proto::WorkRequest& it)
    {
        const auto before = target.count();
        auto& out = send(it);
        BOOST_REQUIRE(run_until([&] { return target.count() > before; }));
        at_target([&](auto& call) { call.hooks.on_sent(); });
        BOOST_REQUIRE(run_until([&] { return !out.events.empty(); }));
        BOOST_TEST(out.has(event::kAccepted));
        return out;
    }

    /// Runs a step on the target thread for a call; the newest by default.
    template<typename Step>
    void at_target(Step step, std::optional<std::size_t> index = {})
    {
        auto call = target.get(index.value_or(target.count() - 1));
        target_thread.post_completion([call, step] { step(*call); });
    }

    static std::string chunk(const std::string& text)
    {
        return R"({"id":"c","model":"m","choices":[{"index":0,"text":")" +
               text + R"(","finish_reason":"stop"}]})";
    }

    void expect_refused(const sent_work& it, result_code code)
    {
        BOOST_TEST(run_until([&] { return it.has(event::kRefused); }));
        BOOST_TEST(it.last().refused().code() ==
                   static_cast<std::uint32_t>(code));
        BOOST_TEST(it.last().has_status());
    }

    config::settings settings;
    transport::transport_settings transport_settings;
    common::metrics_registry registry;
    agent_metrics metrics{registry};
    common::duty_thread peer{"peer", 1024};
    common::duty_thread target_thread{"target", 1024};
    scripted_target target;
    asio::io_context context;
    std::optional<target_runner> runner;
    std::optional<work_dispatcher> work;
    std::optional<status_hub> hub;
    std::optional<transport::server> server;
    std::optional<transport::client_connection> client;
    std::vector<std::unique_ptr<sent_work>> works;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_work, fixture)

// Guards against lost or reordered pieces of a streamed answer.
BOOST_AUTO_TEST_CASE(streamed_answer_reaches_the_entry)
{
    start();
    auto streamed = request(proto::WORK_ONLINE);
    streamed.set_stream(true);
    auto& it = send_and_start(streamed);
    at_target(
        [](auto& call)
        {
            call.hooks.on_event(chunk("a"));
            call.hooks.on_event(chunk("b"));
            call.hooks.on_finished({200, "text/event-stream", ""});
        });
    BOOST_TEST(run_until([&] { return it.closed.has_value(); }));
    BOOST_TEST(!*it.closed);
    BOOST_REQUIRE(it.events.size() == 4u);
    BOOST_TEST(it.events[1].text().text() == "a");
    BOOST_TEST(it.events[2].text().data() == chunk("b"));
    BOOST_TEST(it.last().finished().tokens() == 2u);
    BOOST_TEST(it.last().status().running_online() == 0u);
}

// Guards against work of a replaced holder that runs, or goes on running.
BOOST_AUTO_TEST_CASE(stale_claims_are_refused_and_stopped)
{
    start();
    auto old = request(proto::WORK_BATCH);
    old.set_partition(3);
    old.set_claim_offset(10);
    auto& running = send_and_start(old);
    auto newer = old;
    newer.set_claim_offset(11);
    send(newer);
    BOOST_TEST(run_until([&] { return running.has(event::kFailed); }));
    BOOST_TEST(run_until([&] { return target.get(0)->cancelled.load(); }));
    expect_refused(send(old), result_code::stale_claim);
    BOOST_TEST(run_until([&] { return target.count() == 2; }));
}

// Guards against a preempted item that loses its text, and against an online
// request that waits for the slot.
BOOST_AUTO_TEST_CASE(preempted_item_keeps_its_text_and_is_resumed)
{
    settings.agent.slots = 1;
    start();
    auto item = request(proto::WORK_BATCH);
    item.set_resume_text("one ");
    auto& first = send_and_start(item);
    const auto sent = boost::json::parse(target.get(0)->request.body);
    BOOST_TEST(sent.at("resume_text").as_string() == "one ");
    BOOST_TEST(sent.at("stream").as_bool());
    at_target([](auto& call) { call.hooks.on_event(chunk("two ")); });
    BOOST_TEST(run_until(
        [&]
        { return metrics.of(work_class::batch).first_token.count() == 1; }));
    send_and_start(request(proto::WORK_ONLINE));
    BOOST_TEST(run_until([&] { return first.has(event::kPreempted); }));
    BOOST_TEST(first.last().preempted().text() == "one two ");
    BOOST_TEST(run_until([&] { return target.get(0)->cancelled.load(); }));
    at_target([](auto& call) { call.hooks.on_finished({200, "", "{}"}); });

    // The rest of the item comes back as one whole answer.
    item.set_resume_text("one two ");
    auto& second = send_and_start(item);
    at_target(
        [](auto& call)
        {
            call.hooks.on_event(chunk("three"));
            call.hooks.on_finished({200, "text/event-stream", ""});
        });
    BOOST_TEST(run_until([&] { return second.has(event::kFinished); }));
    const auto body = boost::json::parse(second.last().finished().body());
    BOOST_TEST(body.at("choices").at(0).at("text").as_string() ==
               "one two three");
    BOOST_TEST(second.events.size() == 2u);
}

// Guards against cancelled work that goes on at the target and keeps its
// slot.
BOOST_AUTO_TEST_CASE(reset_and_lost_connection_cancel_at_the_target)
{
    start();
    auto& first = send_and_start(request(proto::WORK_ONLINE));
    first.stream->reset();
    BOOST_TEST(run_until([&] { return target.get(0)->cancelled.load(); }));
    send_and_start(request(proto::WORK_BATCH));
    client.reset();
    BOOST_TEST(run_until([&] { return target.get(1)->cancelled.load(); }));
}

// Guards against outcomes that make an entry repeat what must not be
// repeated, or give up what could be repeated.
BOOST_AUTO_TEST_CASE(failures_say_what_is_known)
{
    start();
    auto& online = send_and_start(request(proto::WORK_ONLINE));
    at_target([](auto& call) { call.hooks.on_finished({404, "t", "no"}); });
    BOOST_TEST(run_until([&] { return online.has(event::kFinished); }));
    BOOST_TEST(online.last().finished().http_status() == 404u);

    auto& batch = send_and_start(request(proto::WORK_BATCH));
    at_target([](auto& call) { call.hooks.on_finished({400, "t", "no"}); });
    BOOST_TEST(run_until([&] { return batch.has(event::kFailed); }));
    BOOST_TEST(batch.last().failed().permanent());

    auto& broken = send_and_start(request(proto::WORK_ONLINE));
    at_target([](auto& call) { call.hooks.on_finished({500, "t", "no"}); });
    BOOST_TEST(run_until([&] { return broken.has(event::kFailed); }));
    BOOST_TEST(!broken.last().failed().permanent());
    BOOST_TEST(broken.last().failed().may_have_run());

    auto once = request(proto::WORK_ONLINE);
    once.set_repeatable(false);
    auto& lost = send_and_start(once);
    BOOST_TEST(!target.get(3)->request.repeatable);
    at_target([](auto& call)
              { call.hooks.on_failed(result_code::connection_lost); });
    BOOST_TEST(run_until([&] { return lost.has(event::kFailed); }));
    BOOST_TEST(lost.last().failed().may_have_run());
    BOOST_TEST(target.count() == 4u);

    auto& refused = send(request(proto::WORK_ONLINE));
    BOOST_TEST(run_until([&] { return target.count() == 5; }));
    at_target([](auto& call) { call.hooks.on_failed(result_code::no_target); });
    expect_refused(refused, result_code::no_target);
    BOOST_TEST(refused.last().status().target_down());
}

// Guards against bytes from an entry that end up in an HTTP header, and
// against messages that can't be parsed.
BOOST_AUTO_TEST_CASE(invalid_requests_are_refused)
{
    start();
    auto bad = request(proto::WORK_ONLINE);
    bad.set_path("/a HTTP/1.1\r\nX: y");
    expect_refused(send(bad), result_code::invalid_request);
    bad = request(proto::WORK_ONLINE);
    bad.set_content_type("a\r\nX: y");
    expect_refused(send(bad), result_code::invalid_request);
    BOOST_TEST(target.count() == 0u);
}

// Guards against a planned stop that interrupts online work, keeps batch
// work, or takes new work.
BOOST_AUTO_TEST_CASE(planned_stop_finishes_online_and_returns_batch)
{
    start();
    auto& online = send_and_start(request(proto::WORK_ONLINE));
    auto& batch = send_and_start(request(proto::WORK_BATCH));
    peer.post_completion([this] { work->begin_stop(); });
    BOOST_TEST(run_until([&] { return batch.has(event::kPreempted); }));
    BOOST_TEST(batch.last().status().leaving());
    expect_refused(send(request(proto::WORK_ONLINE)),
                   result_code::shutting_down);
    at_target([](auto& call) { call.hooks.on_finished({200, "t", "yes"}); }, 0);
    BOOST_TEST(run_until([&] { return online.has(event::kFinished); }));
    BOOST_TEST(online.last().finished().body() == "yes");
}

// Guards against a lower configuration version that replaces a higher one,
// and against statuses that are not sent on a change.
BOOST_AUTO_TEST_CASE(status_follows_the_newest_configuration)
{
    start();
    proto::AgentStatus status;
    transport::stream_hooks hooks;
    hooks.on_message = [&](std::string_view data)
    {
        status.ParseFromArray(data.data(), static_cast<int>(data.size()));
    };
    const auto stream = client->open("/status", std::move(hooks));
    proto::StatusDown down;
    down.set_entry("entry-1");
    down.set_config_version(5);
    auto& spec = *down.mutable_target();
    spec.set_name("engine-1");
    spec.set_slots(8);
    stream->send(down);
    BOOST_TEST(run_until([&] { return status.config_version() == 5; }));
    BOOST_TEST(status.slots() == 8u);
    BOOST_TEST(status.batch_credit() == 8u);

    down.set_config_version(4);
    spec.set_slots(2);
    stream->send(down);
    down.set_config_version(6);
    spec.set_slots(8);
    spec.set_state("leaving");
    stream->send(down);
    BOOST_TEST(run_until([&] { return status.config_version() == 6; }));
    BOOST_TEST(status.leaving());
    BOOST_TEST(status.batch_credit() == 0u);
    expect_refused(send(request(proto::WORK_ONLINE)),
                   result_code::shutting_down);
}

BOOST_AUTO_TEST_SUITE_END()
