#include "common/hash.hpp"
#include "entry/async_call.hpp"
#include "entry/batch_core.hpp"
#include "entry/job_answers.hpp"
#include "entry/job_intake.hpp"
#include "entry/once_calls.hpp"
#include "entry/retention_keeper.hpp"
#include "fake_log.hpp"
#include "http/error_answer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

using namespace tanagertrack;
using namespace std::chrono_literals;
using common::result_code;
namespace json = boost::json;

namespace
{

/// A request with a whole body; keeps its answer.
class fake_exchange final : public entry::exchange
{
public:
    fake_exchange(boost::asio::io_context& context, std::string body)
        : context_(context), body_(std::move(body))
    {
        request_head.method = "POST";
        request_head.target = "/v1/batches";
        request_head.team = "team";
    }

    const entry::exchange_head& head() const override
    {
        return request_head;
    }

    void read_body(body_handler handler) override
    {
        const auto piece = body_.substr(0, 1000);
        body_.erase(0, piece.size());
        boost::asio::post(context_, [handler, piece, end = body_.empty()]
                          { handler({}, piece, end); });
    }

    void respond(entry::exchange_answer answer, std::string body) override
    {
        status = answer.status;
        text = std::move(body);
        done = true;
    }

    void start_answer(entry::exchange_answer answer) override
    {
        status = answer.status;
    }

    void write(std::string chunk, written_handler handler) override
    {
        text += chunk;
        boost::asio::post(context_, [handler] { handler({}); });
    }

    void finish() override
    {
        done = true;
    }

    void abort() override
    {
        done = true;
    }

    void on_abandoned(std::function<void()>) override
    {
    }

    entry::exchange_head request_head;
    unsigned status = 0;
    std::string text;
    bool done = false;

private:
    boost::asio::io_context& context_;
    std::string body_;
};

using fake_exchange_ptr = boost::intrusive_ptr<fake_exchange>;

proto::WorkFinished success(const std::string& text = R"({"ok":true})")
{
    proto::WorkFinished it;
    it.set_http_status(200);
    it.set_body(text);
    return it;
}

/// Targets that answer at once, as the test says.
struct fake_targets
{
    entry::work_gate make_gate(boost::asio::io_context& context)
    {
        entry::work_gate gate;
        gate.start = [this, &context](entry::attempt_start start, auto ended)
        {
            const auto ticket = ++last_ticket;
            const auto target = "t" + std::to_string(ticket % 7);
            starts.push_back(start.request);
            excluded.push_back(start.excluded);
            open.insert(ticket);
            const auto outcome = behaviour(start.request);
            if (!outcome)
                return ticket;
            boost::asio::post(context,
                              [this, ticket, target, ended, it = *outcome]
                              {
                                  if (open.erase(ticket) > 0)
                                      ended({it, target, credit});
                              });
            return ticket;
        };
        gate.cancel = [this, &context](auto ticket, auto cancelled)
        {
            open.erase(ticket);
            boost::asio::post(context, cancelled);
        };
        gate.credit = [this, &context](auto, auto handler)
        {
            boost::asio::post(context, [=, this] { handler(credit); });
        };
        gate.on_credit = [](auto) {
        };
        return gate;
    }

    /// Number of starts of an item.
    long started(const std::string& body_part) const
    {
        return std::ranges::count_if(
            starts, [&](const auto& it)
            { return it.body().find(body_part) != std::string::npos; });
    }

    std::function<std::optional<entry::attempt_outcome>(
        const proto::WorkRequest&)>
        behaviour = [](const auto&)
    {
        return success();
    };
    std::size_t credit = 64;
    std::uint64_t last_ticket = 0;
    std::set<std::uint64_t> open;
    std::vector<proto::WorkRequest> starts;
    std::vector<std::vector<std::string>> excluded;
};

/// An entry without its threads; its way to the log can be cut.
class test_entry
{
public:
    test_entry(boost::asio::io_context& context, test::fake_log& log,
               const std::string& name)
        : context_(context)
    {
        settings.name = name;
        settings.address = "127.0.0.1";
        settings.batch.partitions = 2;
        settings.batch.heartbeat_interval = 50ms;
        settings.batch.lease_duration = 300ms;
        settings.batch.result_flush_interval = 20ms;
        settings.platform.log_read_wait = 100ms;
        settings.platform.max_record_bytes = 8192;

        auto fleet = std::make_shared<proto::FleetConfig>();
        fleet->set_version(1);
        fleet->add_models()->set_name("m");
        auto& service = *fleet->add_services();
        service.set_name("s");
        service.add_not_repeatable("POST /once");
        config.publish(fleet);

        services::log_service cut;
        cut.append = [this, &log](std::string stream, std::string data,
                                  services::log_append_handler handler)
        {
            if (isolated)
                boost::asio::post(
                    context_,
                    [handler] { handler(result_code::log_unavailable, 0); });
            else
                log.service.append(stream, data, handler);
        };
        cut.read = [this, &log](services::log_read_request request,
                                services::log_read_handler handler)
        {
            log.service.read(
                request,
                [this, handler](std::error_code ec, auto result)
                {
                    handler(isolated ? result_code::log_unavailable : ec,
                            isolated ? services::log_read_result{} : result);
                });
        };
        core = std::make_shared<entry::batch_core>(entry::batch_core::parts{
            settings, config, context, cut, targets.make_gate(context),
            [](std::vector<proto::Fence>) {
            }});
        calls = std::make_shared<entry::once_calls>(core);
        core->start();
    }

    bool holds_all() const
    {
        return core->owner(0).is_held() && core->owner(1).is_held();
    }

    fake_exchange_ptr submit(const std::string& key, std::string body)
    {
        fake_exchange_ptr request(new fake_exchange(context_, std::move(body)));
        const auto id = entry::make_job_id("team", key, 2);
        auto intake = std::make_shared<entry::job_intake>(core, request, id);
        boost::asio::co_spawn(
            context_,
            [intake]() -> boost::asio::awaitable<void>
            { co_await intake->run(); },
            boost::asio::detached);
        return request;
    }

    fake_exchange_ptr results(const std::string& key)
    {
        fake_exchange_ptr request(new fake_exchange(context_, {}));
        const auto id = entry::make_job_id("team", key, 2);
        boost::asio::co_spawn(
            context_, entry::stream_results(core, request, id.partition, id.id),
            boost::asio::detached);
        return request;
    }

    fake_exchange_ptr cancel(const std::string& key)
    {
        fake_exchange_ptr request(new fake_exchange(context_, {}));
        const auto id = entry::make_job_id("team", key, 2);
        boost::asio::co_spawn(
            context_, entry::cancel_job(core, request, id.partition, id.id),
            boost::asio::detached);
        return request;
    }

    fake_exchange_ptr call_once(const std::string& key, std::string body)
    {
        fake_exchange_ptr request(new fake_exchange(context_, std::move(body)));
        request->request_head.target = "/v1/services/s/once";
        boost::asio::co_spawn(
            context_,
            calls->run(request, "s", entry::make_call_id("team", "s", key, 2)),
            boost::asio::detached);
        return request;
    }

    const state::job* job(const std::string& key)
    {
        const auto id = entry::make_job_id("team", key, 2);
        return core->owner(id.partition).state().find_job(id.id);
    }

    std::string status(const std::string& key)
    {
        const auto* it = job(key);
        return it == nullptr ? "none"
                             : std::string(entry::batch_status(
                                   *it, core->dispatch().open_work(it->id())));
    }

    config::settings settings;
    entry::config_view config;
    fake_targets targets;
    bool isolated = false;
    std::shared_ptr<entry::batch_core> core;
    std::shared_ptr<entry::once_calls> calls;

private:
    boost::asio::io_context& context_;
};

std::string make_items(int count, const std::string& url, int first = 0)
{
    std::string lines;
    for (int i = first; i < first + count; ++i)
        lines += R"({"custom_id":"c)" + std::to_string(i) +
                 R"(","method":"POST","url":")" + url +
                 R"(","body":{"model":"m","n":")" + std::to_string(i) +
                 "-\"}}\n";
    return lines;
}

std::string text_at(const json::value& value)
{
    return std::string(value.as_string());
}

const std::string chat = "/v1/chat/completions";

struct core_fixture
{
    bool until(std::function<bool()> done)
    {
        return test::run_until(context, std::move(done));
    }

    /// Results by line, each checked against its place.
    std::vector<json::object> read_results(test_entry& from,
                                           const std::string& key)
    {
        const auto request = from.results(key);
        BOOST_TEST_REQUIRE(until([&] { return request->done; }));
        std::vector<json::object> lines;
        std::istringstream in(request->text);
        for (std::string line; std::getline(in, line);)
            lines.push_back(json::parse(line).as_object());
        return lines;
    }

    void submit(test_entry& to, const std::string& key, const std::string& body)
    {
        const auto request = to.submit(key, body);
        BOOST_TEST_REQUIRE(until([&] { return request->done; }));
        BOOST_TEST_REQUIRE(request->status == 200u, request->text);
    }

    boost::asio::io_context context;
    test::fake_log log{context};
    test_entry first{context, log, "a"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_core_suite, core_fixture)

// Guards against lost, doubled and mixed-up results while answers of the log
// are lost, and against one append for each item.
BOOST_AUTO_TEST_CASE(job_completes_exactly_once)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    first.targets.behaviour = [&](const proto::WorkRequest& it)
    {
        if (first.targets.starts.size() % 100 == 0)
            log.lose_answers = 1;
        const auto n = json::parse(it.body()).at("n").as_string();
        return success("{\"n\":\"" + std::string(n) + "\"}");
    };
    submit(first, "k", make_items(1000, chat));
    BOOST_TEST(until([&] { return first.status("k") == "completed"; }));
    const auto lines = read_results(first, "k");
    BOOST_TEST_REQUIRE(lines.size() == 1000u);
    for (std::size_t i = 0; i < lines.size(); ++i)
    {
        BOOST_TEST(text_at(lines[i].at("custom_id")) ==
                   "c" + std::to_string(i));
        BOOST_TEST(text_at(lines[i].at("response").at("body").at("n")) ==
                   std::to_string(i) + "-");
    }
    BOOST_TEST(first.core->dispatch().recorder().unrecorded() == 0u);
}

// Guards against a second job from a resend, and against other content under
// a used key.
BOOST_AUTO_TEST_CASE(resend_is_the_same_job)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    const auto body = make_items(50, chat);
    const auto one = first.submit("k", body);
    const auto two = first.submit("k", body);
    BOOST_TEST(until([&] { return one->done && two->done; }));
    const auto three = first.submit("k", make_items(51, chat));
    BOOST_TEST(until([&] { return three->done; }));
    BOOST_TEST(one->status == 200u);
    BOOST_TEST(two->status == 200u);
    BOOST_TEST(three->status == 409u);
    BOOST_TEST(first.core->job_count() == 1u);
    BOOST_TEST(until([&] { return first.status("k") == "completed"; }));
    BOOST_TEST(first.targets.starts.size() == 50u);
}

// Guards against a job that is accepted in part, and errors without a line.
BOOST_AUTO_TEST_CASE(bad_line_is_named_and_job_refused)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    const auto good = make_items(3, chat);
    for (const auto& [bad, text] :
         std::vector<std::pair<std::string, std::string>>{
             {"{", "line 4"},
             {"{\"custom_id\":\"\xff\"}", "line 4"},
             {std::string(300UL * 1024, 'x'), "line_too_long"},
             {make_items(1, chat), "duplicate_custom_id"},
             {make_items(1, "/v1/else", 9), "unknown_path"},
             {make_items(1, "/v1/services/x/y", 9), "unknown_service"}})
    {
        const auto request = first.submit("k", good + bad);
        BOOST_TEST_REQUIRE(until([&] { return request->done; }));
        BOOST_TEST(request->status / 100 == 4u);
        BOOST_TEST(request->text.find(text) != std::string::npos,
                   request->text);
        BOOST_TEST(request->text.find("\"not_run\"") != std::string::npos);
    }
    BOOST_TEST(first.core->job_count() == 0u);
}

// Guards against a dead holder's items being lost, counted twice, or, where
// they may not be repeated, run twice.
BOOST_AUTO_TEST_CASE(takeover_finishes_the_job)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    // Some items never end at the first entry.
    first.targets.behaviour = [](const proto::WorkRequest& it)
        -> std::optional<entry::attempt_outcome>
    {
        if (it.body().find("7-") != std::string::npos)
            return std::nullopt;
        return success();
    };
    submit(first, "k", make_items(100, chat));
    submit(first, "once", make_items(20, "/v1/services/s/once"));
    BOOST_TEST(until(
        [&]
        {
            return first.job("k")->counts().succeeded == 90 &&
                   first.job("once")->counts().succeeded == 18 &&
                   first.targets.open.size() == 12;
        }));
    first.isolated = true;

    test_entry second(context, log, "b");
    BOOST_TEST_REQUIRE(until([&] { return second.holds_all(); }));
    BOOST_TEST(until(
        [&]
        {
            return second.status("k") == "completed" &&
                   second.status("once") == "completed";
        }));
    BOOST_TEST(second.job("k")->counts().succeeded == 100u);
    BOOST_TEST(second.job("once")->counts().succeeded == 18u);
    BOOST_TEST(second.job("once")->counts().unknown == 2u);
    BOOST_TEST(second.targets.starts.size() == 10u);
    BOOST_TEST(read_results(second, "k").size() == 100u);

    // The paused holder comes back: it drops its attempts, and nothing that it
    // wrote counts.
    first.isolated = false;
    BOOST_TEST(until([&] { return first.targets.open.empty(); }));
    BOOST_TEST(read_results(second, "k").size() == 100u);
}

// Guards against endless attempts, repeated targets, refusals that count as
// attempts, and failures without their reason.
BOOST_AUTO_TEST_CASE(failing_items_end_with_reason)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    int refusals = 0;
    first.targets.behaviour = [&](const proto::WorkRequest& it)
        -> std::optional<entry::attempt_outcome>
    {
        auto answer = success(R"({"why":"bad"})");
        if (it.body().find("\"0-") != std::string::npos)
            answer.set_http_status(500);
        if (it.body().find("\"1-") != std::string::npos)
            answer.set_http_status(400);
        if (it.body().find("\"2-") != std::string::npos && ++refusals < 10)
            return proto::WorkRefused();
        return answer;
    };
    submit(first, "k", make_items(3, chat));
    BOOST_TEST(until([&] { return first.status("k") == "completed"; }));
    const auto lines = read_results(first, "k");
    BOOST_TEST_REQUIRE(lines.size() == 3u);
    BOOST_TEST(lines[0].at("attempts").to_number<int>() == 4);
    BOOST_TEST(text_at(lines[0].at("error").at("name")) == "target_failed");
    BOOST_TEST(lines[1].at("attempts").to_number<int>() == 1);
    BOOST_TEST(text_at(lines[1].at("error").at("detail").at("why")) == "bad");
    BOOST_TEST(lines[2].at("attempts").to_number<int>() == 1);
    BOOST_TEST(lines[2].at("error").is_null());
    BOOST_TEST(first.targets.excluded.back().size() <= 3u);
}

// Guards against preempted items that start anew, or that run out of attempts.
BOOST_AUTO_TEST_CASE(preempted_items_resume)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    first.targets.behaviour = [](const proto::WorkRequest& it)
        -> std::optional<entry::attempt_outcome>
    {
        if (it.resume_text().size() >= 10)
            return success();
        proto::WorkPreempted preempted;
        preempted.set_text(it.resume_text() + "x");
        return preempted;
    };
    submit(first, "k", make_items(1, chat));
    BOOST_TEST(until([&] { return first.status("k") == "completed"; }));
    BOOST_TEST(first.targets.starts.size() == 11u);
    BOOST_TEST(first.job("k")->counts().succeeded == 1u);
}

// Guards against a cancelled job that goes on, or an account that doesn't add
// up.
BOOST_AUTO_TEST_CASE(cancel_stops_the_job)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    first.targets.behaviour =
        [&](const proto::WorkRequest&) -> std::optional<entry::attempt_outcome>
    {
        if (first.targets.starts.size() > 20)
            return std::nullopt;
        return success();
    };
    submit(first, "k", make_items(100, chat));
    BOOST_TEST(until([&] { return first.targets.starts.size() > 30; }));
    const auto request = first.cancel("k");
    BOOST_TEST(until(
        [&] { return request->done && first.status("k") == "cancelled"; }));
    const auto starts = first.targets.starts.size();
    BOOST_TEST(first.targets.open.empty());
    const auto lines = read_results(first, "k");
    BOOST_TEST_REQUIRE(lines.size() == 100u);
    const auto finished = std::ranges::count_if(
        lines, [](const auto& it) { return it.at("error").is_null(); });
    BOOST_TEST(finished == first.job("k")->counts().succeeded);
    BOOST_TEST(first.targets.starts.size() == starts);
}

// Guards against unbounded work during an outage of the log, and against
// results that are lost after it.
BOOST_AUTO_TEST_CASE(outage_pauses_and_catches_up)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    first.targets.behaviour = [&](const proto::WorkRequest&)
    {
        log.outage = first.targets.starts.size() == 30 || log.outage;
        return success(std::string(1000, 'x'));
    };
    submit(first, "k", make_items(300, chat));
    BOOST_TEST(until([&] { return log.outage; }));
    BOOST_TEST(until([&] { return !first.core->control().log_is_up(); }));
    const auto refused = first.submit("new", make_items(1, chat));
    BOOST_TEST(until([&] { return refused->done; }));
    BOOST_TEST(refused->status == 503u);
    first.targets.behaviour = [](const auto&)
    {
        return success();
    };
    log.outage = false;
    BOOST_TEST(until([&] { return first.status("k") == "completed"; }));
    BOOST_TEST(first.job("k")->counts().succeeded == 300u);
    BOOST_TEST(first.targets.starts.size() == 300u);
}

// Guards against a second execution of a call that may not be repeated.
BOOST_AUTO_TEST_CASE(call_runs_once)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    first.targets.behaviour = [&](const proto::WorkRequest& it)
        -> std::optional<entry::attempt_outcome>
    {
        if (it.body() == "hang")
            return std::nullopt;
        if (it.body() == "refuse" && first.targets.starts.size() % 2 == 1)
            return proto::WorkRefused();
        return success("done");
    };
    const auto one = first.call_once("k", "pay");
    const auto two = first.call_once("k", "pay");
    BOOST_TEST(until([&] { return one->done && two->done; }));
    const auto three = first.call_once("k", "pay");
    const auto other = first.call_once("k", "other");
    BOOST_TEST(until([&] { return three->done && other->done; }));
    for (const auto& it : {one, two, three})
    {
        BOOST_TEST(it->status == 200u);
        BOOST_TEST(it->text == "done");
    }
    BOOST_TEST(other->status == 409u);
    BOOST_TEST(first.targets.starts.size() == 1u);

    // A refusal is not an execution: the key can be used again.
    first.targets.starts.clear();
    const auto refused = first.call_once("r", "refuse");
    BOOST_TEST(until([&] { return refused->done; }));
    BOOST_TEST(refused->text.find("\"not_run\"") != std::string::npos);
    const auto again = first.call_once("r", "refuse");
    BOOST_TEST(until([&] { return again->done; }));
    BOOST_TEST(again->text == "done");

    // The holder is lost while the call runs.
    const auto hanging = first.call_once("h", "hang");
    BOOST_TEST(until([&] { return first.targets.started("hang") == 1; }));
    first.isolated = true;
    test_entry second(context, log, "b");
    BOOST_TEST_REQUIRE(until([&] { return second.holds_all(); }));
    const auto resent = second.call_once("h", "hang");
    BOOST_TEST(until([&] { return resent->done; }));
    BOOST_TEST(resent->status == 502u);
    BOOST_TEST(resent->text.find("may_have_run") != std::string::npos);
    BOOST_TEST(second.targets.starts.empty());
    const auto replayed = second.call_once("k", "pay");
    BOOST_TEST(until([&] { return replayed->done; }));
    BOOST_TEST(replayed->text == "done");
}

// Guards against one entry that takes everything, and partitions that nobody
// holds after a planned stop.
BOOST_AUTO_TEST_CASE(partitions_are_shared_and_released)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    test_entry second(context, log, "b");
    const auto holds_one = [](test_entry& it)
    {
        return it.core->owner(0).is_held() != it.core->owner(1).is_held();
    };
    BOOST_TEST(until([&] { return holds_one(first) && holds_one(second); }));
    bool stopped = false;
    second.core->stop([&] { stopped = true; });
    BOOST_TEST(until([&] { return stopped && first.holds_all(); }));
}

// Guards against results and outcomes that expire with the log's records, and
// against jobs that are kept for ever.
BOOST_AUTO_TEST_CASE(live_state_outlasts_the_log)
{
    BOOST_TEST_REQUIRE(until([&] { return first.holds_all(); }));
    first.targets.behaviour = [](const auto& it)
    {
        return success(it.body() == "pay" ? "paid" : R"({"ok":true})");
    };
    submit(first, "k", make_items(500, chat));
    const auto call = first.call_once("call", "pay");
    BOOST_TEST(
        until([&] { return call->done && first.status("k") == "completed"; }));
    std::map<std::string, std::uint64_t> ends;
    for (const std::string stream : {"batch-0", "batch-1"})
        ends[stream] = log.records(stream).size() + 1;

    // Everything moves once it is older than half of the retention.
    first.settings.batch.log_retention = 400ms;
    const auto first_keeper =
        std::make_shared<entry::retention_keeper>(first.core);
    boost::asio::co_spawn(context, first_keeper->run(), boost::asio::detached);
    const auto moved = [&]
    {
        for (std::uint32_t i = 0; i < 2; ++i)
        {
            const auto end = ends[entry::batch_stream(i)];
            const auto& state = first.core->owner(i).state();
            const auto needed = state.oldest_needed_offset(false);
            if (state.checkpoint_offset() < end ||
                (needed != 0 && needed < end))
                return false;
        }
        return true;
    };
    BOOST_TEST(until(moved));
    for (const auto& [stream, end] : ends)
        log.expire(stream, end);
    first.isolated = true;
    test_entry second(context, log, "b");
    BOOST_TEST_REQUIRE(until([&] { return second.holds_all(); }));
    BOOST_TEST(read_results(second, "k").size() == 500u);
    const auto again = second.call_once("call", "pay");
    BOOST_TEST(until([&] { return again->done; }));
    BOOST_TEST(again->text == "paid");

    // The time of another job is over at once.
    second.settings.batch.log_retention = 400ms;
    second.settings.batch.result_retention = 1ms;
    second.settings.batch.key_retention = 1ms;
    const auto second_keeper =
        std::make_shared<entry::retention_keeper>(second.core);
    boost::asio::co_spawn(context, second_keeper->run(), boost::asio::detached);
    submit(second, "short", make_items(1, chat));
    const auto id = entry::make_job_id("team", "short", 2);
    BOOST_TEST(until(
        [&] {
            return second.core->owner(id.partition).state().is_forgotten(id.id);
        }));
}

BOOST_AUTO_TEST_SUITE_END()
