#include "agent_admission.hpp"

#include "bench_support.hpp"
#include "common/clock.hpp"
#include "common/endpoint.hpp"
#include "common/hash.hpp"
#include "services/http_target.hpp"
#include "proto/peer.pb.h"
#include "transport/client_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace tanagertrack::bench
{

namespace
{

using common::clock;

double ms_since(common::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock::now() - start)
        .count();
}

/// Time for requests that still run at the end; an agent that stopped answers
/// no more.
constexpr std::chrono::seconds tail_time{30};

struct admission_options
{
    common::endpoint agent;
    common::endpoint engine;
    std::string key;
    double seconds = 10;
    double online_rate = 50;
    unsigned online_tokens = 32;
    unsigned batch_tokens = 200;
    bool batch = true;
    unsigned seed = 1;
};

admission_options read_options(std::span<const std::string> arguments)
{
    admission_options it;
    const auto agent = option(arguments, "--agent", "127.0.0.1:21311");
    const auto engine = option(arguments, "--engine", "127.0.0.1:21310");
    it.agent = common::parse_endpoint(agent).value_or(common::endpoint());
    it.engine = common::parse_endpoint(engine).value_or(common::endpoint());
    it.key = option(arguments, "--key", "key");
    it.seconds = number_option(arguments, "--seconds", it.seconds);
    it.online_rate = number_option(arguments, "--online-rate", it.online_rate);
    it.online_tokens = static_cast<unsigned>(
        number_option(arguments, "--online-tokens", it.online_tokens));
    it.batch_tokens = static_cast<unsigned>(
        number_option(arguments, "--batch-tokens", it.batch_tokens));
    it.batch = number_option(arguments, "--batch", 1) != 0;
    it.seed = static_cast<unsigned>(number_option(arguments, "--seed", 1));
    return it;
}

std::string completion_body(const std::string& prompt, unsigned tokens,
                            bool stream)
{
    boost::json::object body;
    body["model"] = "lm";
    body["prompt"] = prompt;
    body["max_tokens"] = tokens;
    if (stream)
        body["stream"] = true;
    return boost::json::serialize(body);
}

/// The entry's side of one connection to an agent.
class entry_side
{
public:
    explicit entry_side(const admission_options& options)
        : options_(options), random_(options.seed), online_timer_(context_),
          target_(services::make_http_target(context_, engine_settings()))
    {
        transport::transport_settings settings;
        settings.cluster_key = options.key;
        client_ =
            std::make_unique<transport::client_connection>(context_, settings);
    }

    bool connect()
    {
        bool up = false;
        bool down = false;
        client_->start(
            options_.agent,
            {[&] { up = true; }, [&](std::error_code) { down = true; }, {}});
        run_while([&] { return !up && !down; });
        if (!up)
            return false;
        transport::stream_hooks hooks;
        hooks.on_message = [this](std::string_view data)
        {
            proto::AgentStatus status;
            status.ParseFromArray(data.data(), static_cast<int>(data.size()));
            take_status(status);
        };
        status_ = client_->open("/status", std::move(hooks));
        proto::StatusDown hello;
        hello.set_entry("bench");
        status_->send(hello);
        return true;
    }

    void run()
    {
        const auto start = clock::now();
        end_ = start + std::chrono::duration_cast<common::duration>(
                           std::chrono::duration<double>(options_.seconds));
        schedule_online();
        run_while([&] { return clock::now() < end_; });
        online_timer_.cancel();
        // Batch is counted up to here; a request at the end is waited for.
        const auto view = look_at_engine();
        const auto finished = batch_finished_;
        const auto limit = clock::now() + tail_time;
        run_while([&] { return open_online_ > 0 && clock::now() < limit; });
        report(view, finished);
    }

    /// One request after the other: through the agent, or straight.
    sample_set sequential(std::size_t n, bool through_agent)
    {
        sample_set times;
        for (std::size_t i = 0; i < n; ++i)
        {
            const auto start = clock::now();
            bool done = false;
            const auto finish = [&]
            {
                done = true;
            };
            const auto body = completion_body("p", 1, false);
            if (through_agent)
                send_plain(body, finish);
            else
                call_engine("POST", "/v1/completions", body,
                            [&](const std::string&) { finish(); });
            run_while([&] { return !done; });
            times.add(ms_since(start));
        }
        return times;
    }

private:
    services::http_target_settings engine_settings() const
    {
        services::http_target_settings it;
        it.address = options_.engine;
        it.max_answer_bytes = 64UL * 1024 * 1024;
        return it;
    }

    template<typename Condition>
    void run_while(Condition condition)
    {
        while (condition())
            context_.run_one_for(std::chrono::milliseconds(10));
    }

    proto::WorkRequest request(const std::string& id, proto::WorkClass kind,
                               std::string body, bool stream) const
    {
        proto::WorkRequest it;
        it.set_work_id(id);
        it.set_work_class(kind);
        it.set_repeatable(true);
        it.set_method("POST");
        it.set_path("/v1/completions");
        it.set_content_type("application/json");
        it.set_body(std::move(body));
        it.set_stream(stream);
        it.set_deadline_ms(60000);
        return it;
    }

    /// Sends work; `on_event` gets each event.
    void send(const proto::WorkRequest& work,
              std::function<void(const proto::WorkEvent&)> on_event)
    {
        transport::stream_hooks hooks;
        hooks.on_message =
            [this, on_event = std::move(on_event)](std::string_view data)
        {
            proto::WorkEvent event;
            event.ParseFromArray(data.data(), static_cast<int>(data.size()));
            on_event(event);
            if (event.has_status())
                take_status(event.status());
        };
        const auto stream = client_->open("/work", std::move(hooks));
        if (!stream)
            return;
        stream->send(work);
        stream->finish();
    }

    void send_plain(const std::string& body, std::function<void()> done)
    {
        send(request("path", proto::WORK_ONLINE, body, false),
             [done](const proto::WorkEvent& event)
             {
                 if (event.has_status())
                     done();
             });
    }

    // ---- online ----

    void schedule_online()
    {
        if (options_.online_rate <= 0)
            return;
        std::exponential_distribution<double> gap(options_.online_rate);
        online_timer_.expires_after(
            std::chrono::duration_cast<common::duration>(
                std::chrono::duration<double>(gap(random_))));
        online_timer_.async_wait(
            [this](const auto& ec)
            {
                if (ec || clock::now() >= end_)
                    return;
                start_online();
                schedule_online();
            });
    }

    void start_online()
    {
        ++online_sent_;
        ++open_online_;
        const auto id = run_id_ + "/online-" + std::to_string(online_sent_);
        const auto sent = clock::now();
        sent_ms_[id] = common::unix_time_ms();
        auto first = std::make_shared<bool>(true);
        send(request(id, proto::WORK_ONLINE,
                     completion_body(id, options_.online_tokens, true), true),
             [this, sent, first](const proto::WorkEvent& event)
             {
                 if (event.has_text() && std::exchange(*first, false))
                     first_token_.add(ms_since(sent));
                 if (event.has_refused())
                     ++online_refused_;
                 if (event.has_status())
                     --open_online_;
             });
    }

    // ---- batch ----

    void take_status(const proto::AgentStatus& status)
    {
        if (!options_.batch || clock::now() >= end_)
            return;
        for (std::uint32_t i = 0; i < status.batch_credit(); ++i)
            start_batch(run_id_ + "/item-" + std::to_string(++batch_sent_), "");
    }

    void start_batch(const std::string& id, const std::string& text)
    {
        auto work =
            request(id, proto::WORK_BATCH,
                    completion_body(id, options_.batch_tokens, false), false);
        work.set_resume_text(text);
        send(work,
             [this, id](const proto::WorkEvent& event)
             {
                 if (event.has_finished())
                     ++batch_finished_;
                 if (event.has_preempted())
                 {
                     ++preempted_;
                     waiting_[id] = event.preempted().text();
                 }
                 resume_one(event);
             });
    }

    /// A preempted item goes back as soon as there is credit for it.
    void resume_one(const proto::WorkEvent& event)
    {
        if (waiting_.empty() || !event.has_status() ||
            event.status().batch_credit() == 0 || clock::now() >= end_)
            return;
        const auto node = waiting_.extract(waiting_.begin());
        start_batch(node.key(), node.mapped());
    }

    // ---- report ----

    void call_engine(const std::string& method, const std::string& path,
                     const std::string& body,
                     std::function<void(const std::string&)> done)
    {
        services::target_request it;
        it.method = method;
        it.path = path;
        it.body = body;
        services::target_hooks hooks;
        hooks.on_finished = [done](const services::target_answer& answer)
        {
            done(answer.body);
        };
        hooks.on_failed = [done](std::error_code)
        {
            done("{}");
        };
        target_.call(std::move(it), std::move(hooks));
    }

    /// What the engine did for this run.
    struct engine_view
    {
        /// Time from sending to the start of each online request, with the
        /// engine's clock of 1 ms.
        sample_set slot_waits;
        std::uint64_t batch_tokens = 0;
    };

    engine_view look_at_engine()
    {
        engine_view out;
        bool done = false;
        std::string text;
        call_engine("GET", "/control/seen", "",
                    [&](const std::string& body)
                    {
                        text = body;
                        done = true;
                    });
        run_while([&] { return !done; });
        const auto seen = boost::json::parse(text);
        const auto* executions = seen.as_object().if_contains("executions");
        if (executions == nullptr)
            return out;
        for (const auto& it : executions->as_array())
        {
            const std::string id(it.at("work_id").as_string());
            const auto sent = sent_ms_.find(id);
            if (sent != sent_ms_.end())
                out.slot_waits.add(it.at("started_ms").to_number<double>() -
                                   static_cast<double>(sent->second));
            else if (id.starts_with(run_id_))
                out.batch_tokens += it.at("tokens").to_number<std::uint64_t>();
        }
        return out;
    }

    void report(const engine_view& view, std::uint64_t finished)
    {
        const auto& waits = view.slot_waits;
        std::printf("agent_admission batch=%d online_rate=%.0f seconds=%.0f "
                    "seed=%u online=%llu refused=%llu first_token_p50_ms=%.2f "
                    "first_token_p99_ms=%.2f slot_p50_ms=%.0f "
                    "slot_p99_ms=%.0f slot_max_ms=%.0f slot_samples=%zu\n",
                    options_.batch ? 1 : 0, options_.online_rate,
                    options_.seconds, options_.seed,
                    static_cast<unsigned long long>(online_sent_),
                    static_cast<unsigned long long>(online_refused_),
                    first_token_.quantile(0.5), first_token_.quantile(0.99),
                    waits.quantile(0.5), waits.quantile(0.99),
                    waits.quantile(1), waits.count());
        std::printf("agent_admission batch_items=%llu batch_tokens_per_s=%.0f "
                    "preempted=%llu\n",
                    static_cast<unsigned long long>(finished),
                    static_cast<double>(view.batch_tokens) / options_.seconds,
                    static_cast<unsigned long long>(preempted_));
    }

    const admission_options options_;

    /// Tells the work of this run from that of earlier ones at the engine.
    const std::string run_id_ = common::random_id();
    std::mt19937 random_;
    boost::asio::io_context context_{1};
    boost::asio::steady_timer online_timer_;
    services::target_service target_;
    std::unique_ptr<transport::client_connection> client_;
    transport::message_stream_ptr status_;
    common::time_point end_{};

    // Online.
    std::uint64_t online_sent_ = 0;
    std::uint64_t online_refused_ = 0;
    std::uint64_t open_online_ = 0;
    std::map<std::string, std::uint64_t> sent_ms_;
    sample_set first_token_;

    // Batch.
    std::uint64_t batch_sent_ = 0;
    std::uint64_t batch_finished_ = 0;
    std::uint64_t preempted_ = 0;
    std::map<std::string, std::string> waiting_;
};

int connection_failure()
{
    std::fprintf(stderr, "the agent can't be reached\n");
    return 1;
}

} // namespace

int run_agent_admission(std::span<const std::string> arguments)
{
    entry_side entry(read_options(arguments));
    if (!entry.connect())
        return connection_failure();
    entry.run();
    return 0;
}

int run_agent_path(std::span<const std::string> arguments)
{
    auto options = read_options(arguments);
    options.batch = false;
    const auto n =
        static_cast<std::size_t>(number_option(arguments, "--requests", 2000));
    entry_side entry(options);
    if (!entry.connect())
        return connection_failure();
    for (const bool through_agent : {false, true})
    {
        const auto times = entry.sequential(n, through_agent);
        std::printf("agent_path through_agent=%d requests=%zu p50_ms=%.3f "
                    "p99_ms=%.3f\n",
                    through_agent ? 1 : 0, times.count(), times.quantile(0.5),
                    times.quantile(0.99));
    }
    return 0;
}

} // namespace tanagertrack::bench
