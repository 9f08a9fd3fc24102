#include "standin/engine_stand_in.hpp"

#include "common/clock.hpp"
#include "standin/answer_text.hpp"
#include "standin/target_headers.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace tanagertrack::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::uint32_t default_tokens = 16;
constexpr std::int64_t max_tokens = 100000;

/// Requests whose prompt contains this text get 400 every time.
constexpr std::string_view fail_always = "fail_always";

json::object error_body(std::string_view text)
{
    json::object inner;
    inner["message"] = text;
    json::object out;
    out["error"] = std::move(inner);
    return out;
}

json::object extra_body()
{
    return {{"extra", true}};
}

std::string text_field(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it != nullptr && it->is_string() ? std::string(it->get_string())
                                            : std::string();
}

/// Prompt of a chat: the contents of its messages, each followed by a line end.
std::string chat_prompt(const json::object& body)
{
    std::string out;
    const auto* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return out;
    for (const auto& it : messages->get_array())
        if (it.is_object())
            out += text_field(it.get_object(), "content") + '\n';
    return out;
}

} // namespace

/// Parsed request for a completion or a chat completion.
struct engine_stand_in::completion_request
{
    bool chat = false;
    bool stream = false;
    std::string model;
    std::string prompt;

    /// Id of the last event that the client has, 0 for a new request. The
    /// answer continues with the token behind it.
    std::uint32_t resume_after = 0;
    std::uint32_t tokens = default_tokens;

    /// Fills the members from a request. Returns an empty string, or an error
    /// message if the request is invalid.
    std::string parse(const http_exchange& exchange)
    {
        json::error_code ec;
        const auto document = json::parse(exchange.body(), ec);
        if (ec || !document.is_object())
            return "the body is not a JSON object";
        const auto& body = document.get_object();
        chat = exchange.path() == "/v1/chat/completions";
        model = text_field(body, "model");
        prompt = chat ? chat_prompt(body) : text_field(body, "prompt");
        const auto last = exchange.header("Last-Event-Id");
        std::from_chars(last.data(), last.data() + last.size(), resume_after);
        if (const auto* it = body.if_contains("stream"))
            stream = it->is_bool() && it->get_bool();
        if (const auto* it = body.if_contains("max_tokens"))
        {
            if (!it->is_int64() || it->get_int64() < 1 ||
                it->get_int64() > max_tokens)
                return "max_tokens: expected an integer from 1 to " +
                       std::to_string(max_tokens);
            tokens = static_cast<std::uint32_t>(it->get_int64());
        }
        if (prompt.empty())
            return "the prompt is empty";
        if (prompt.find(fail_always) != prompt.npos)
            return "the prompt contains \"" + std::string(fail_always) + '"';
        return {};
    }
};

/// Entry of GET /control/seen for a sequence that got a slot.
struct engine_stand_in::execution
{
    std::uint64_t number = 0;
    std::string work_id;
    std::string hash;
    std::uint64_t started_ms = 0;
    std::uint64_t ended_ms = 0;
    std::uint32_t resumed_at = 0;
    std::uint32_t tokens = 0;
    bool finished = false;
    bool cancelled = false;

    json::object to_json() const
    {
        json::object out;
        out["n"] = number;
        out["work_id"] = work_id;
        out["prompt_hash"] = hash;
        out["started_ms"] = started_ms;
        out["ended_ms"] = ended_ms;
        out["resumed_at"] = resumed_at;
        out["tokens"] = tokens;
        out["finished"] = finished;
        out["cancelled"] = cancelled;
        return out;
    }
};

/// A request in the engine, waiting for a slot or running.
struct engine_stand_in::sequence
{
    sequence(const asio::any_io_executor& executor, http_exchange& client)
        : exchange(client), changed(executor)
    {
    }

    /// Returns true if the client no longer waits for the answer.
    bool is_abandoned()
    {
        return handler_finished || exchange.is_client_disconnected();
    }

    http_exchange& exchange;
    completion_request request;
    execution record;

    /// Notified when a token is added and when the sequence ends.
    notifier changed;

    clock::time_point prefill_end;

    /// Tokens of the answer that were generated and that were sent, each
    /// including those of earlier attempts. A token is one event, numbered from
    /// 1.
    std::uint32_t generated = 0;
    std::uint32_t sent = 0;

    /// Number of generated tokens after which the connection is closed, without
    /// those of earlier attempts; 0: the fault is off.
    std::uint32_t die_after = 0;
    bool ended = false;

    /// True once the coroutine that serves the connection has returned;
    /// `exchange` is then a dangling reference.
    bool handler_finished = false;
};

engine_stand_in::engine_stand_in(const asio::any_io_executor& executor,
                                 engine_settings settings)
    : executor_(executor), settings_(settings),
      cache_(static_cast<std::size_t>(settings.cache_blocks)),
      work_available_(executor), faults_changed_(executor)
{
    faults().add("slow", slow_);
    faults().add("freeze", freeze_);
    faults().add("fail_next", fail_next_);
    faults().add("die_after_tokens", die_after_tokens_);
    faults().add("die_count", die_count_);
    faults().add("die_in_event", die_in_event_);
    faults().add("extra_answers", extra_answers_);
    faults().add("foreign_answers", foreign_answers_);
    faults().add("reject", reject_);
    faults().on_change([this] { faults_changed_.notify(); });
}

engine_stand_in::~engine_stand_in() = default;

asio::awaitable<void> engine_stand_in::run()
{
    asio::steady_timer timer(executor_);
    auto due = clock::now();
    for (;;)
    {
        co_await wait_while_frozen();
        remove_ended();
        start_waiting();
        if (running_.empty())
        {
            co_await work_available_.wait();
            due = clock::now();
            continue;
        }
        // The next step is due relative to the last due time and not to now, so
        // that timers that fire late don't slow the engine down.
        due = std::max(due + step_time(), clock::now());
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
        co_await wait_while_frozen();
        step();
    }
}

asio::awaitable<void> engine_stand_in::handle(http_exchange& exchange)
{
    co_await wait_while_frozen();
    const auto path = exchange.path();
    if (expects_other_target(exchange, settings_.target_id))
        co_await respond_not_executed(exchange, 421);
    else if (path == "/v1/chat/completions" || path == "/v1/completions")
        co_await handle_completion(exchange);
    else if (path == "/tanagertrack/report")
        co_await send_load_report(exchange);
    else if (path == "/health")
    {
        add_headers(exchange);
        co_await exchange.respond_json(200, json::object());
    }
    else
        co_await exchange.respond_json(
            404, error_body("unknown path " + std::string(path)));
}

void engine_stand_in::add_headers(http_exchange& exchange)
{
    add_target_headers(exchange, settings_.target_id,
                       {running_.size(), waiting_.size(), settings_.slots,
                        static_cast<std::int64_t>(slow_ * 100)});
}

asio::awaitable<void>
engine_stand_in::respond_not_executed(http_exchange& exchange, unsigned status)
{
    exchange.add_header("X-Tanagertrack-Not-Executed", "1");
    exchange.add_header("X-Tanagertrack-Request-Id",
                        exchange.header("X-Tanagertrack-Request-Id"));
    co_await exchange.respond_json(status,
                                   error_body("the request was not executed"));
}

asio::awaitable<void> engine_stand_in::send_load_report(http_exchange& exchange)
{
    json::object out;
    out["active"] = running_.size();
    out["queued"] = waiting_.size();
    co_await exchange.respond_json(200, out);
}

json::object engine_stand_in::seen() const
{
    json::array executions;
    for (const auto& it : seen_)
        executions.push_back(it.to_json());
    for (const auto& it : running_)
        executions.push_back(it->record.to_json());
    json::object out;
    out["received"] = received_;
    out["started"] = started_;
    out["finished"] = finished_;
    out["cancelled"] = cancelled_;
    out["cancelled_waiting"] = cancelled_waiting_;
    out["died"] = died_;
    out["failed"] = failed_;
    out["rejected"] = rejected_;
    out["tokens"] = tokens_;
    out["running"] = running_.size();
    out["waiting"] = waiting_.size();
    out["max_running"] = max_running_;
    out["executions"] = std::move(executions);
    return out;
}

asio::awaitable<void>
engine_stand_in::handle_completion(http_exchange& exchange)
{
    ++received_;
    if (consume_one(fail_next_))
    {
        ++failed_;
        add_headers(exchange);
        co_await exchange.respond_json(500, error_body("injected failure"));
        co_return;
    }
    const auto seq = std::make_shared<sequence>(executor_, exchange);
    const auto error = seq->request.parse(exchange);
    seq->record.hash = prompt_hash(seq->request.prompt);
    seq->record.work_id = exchange.header("X-Tanagertrack-Request-Id");
    seq->record.resumed_at = seq->request.resume_after;
    seq->generated = seq->request.resume_after;
    seq->sent = seq->request.resume_after;
    if (!error.empty() || reject_)
    {
        ++rejected_;
        add_headers(exchange);
        co_await exchange.respond_json(reject_ ? 422 : 400, error_body(error));
        co_return;
    }
    if (static_cast<std::int64_t>(waiting_.size()) >= settings_.max_waiting)
    {
        co_await respond_not_executed(exchange, 503);
        co_return;
    }
    if (consume_one(die_count_))
        seq->die_after = static_cast<std::uint32_t>(die_after_tokens_);
    waiting_.push_back(seq);
    work_available_.notify();

    // If the client disconnects, the sequence is kept until the next step,
    // which may be after the end of this coroutine.
    try
    {
        if (seq->request.stream)
            co_await send_events(exchange, *seq);
        else
            co_await send_answer(exchange, *seq);
    }
    catch (const boost::system::system_error&)
    {
        exchange.drop_connection();
    }
    seq->handler_finished = true;
}

asio::awaitable<void> engine_stand_in::send_answer(http_exchange& exchange,
                                                   sequence& seq)
{
    while (!seq.ended)
        co_await seq.changed.wait();
    if (!seq.record.finished)
    {
        exchange.drop_connection();
        co_return;
    }
    json::object choice;
    choice["index"] = 0;
    choice["finish_reason"] = "length";
    if (seq.request.chat)
    {
        json::object message;
        message["role"] = "assistant";
        message["content"] =
            answer_text(seq.request.prompt, seq.request.tokens);
        choice["message"] = std::move(message);
    }
    else
    {
        choice["text"] = answer_text(seq.request.prompt, seq.request.tokens);
    }
    json::object usage;
    usage["prompt_tokens"] = seq.request.prompt.size() / 4 + 1;
    usage["completion_tokens"] = seq.request.tokens;
    json::array choices;
    choices.push_back(std::move(choice));
    json::object out;
    out["id"] = "cmpl-" + std::to_string(seq.record.number);
    out["object"] = seq.request.chat ? "chat.completion" : "text_completion";
    out["model"] = seq.request.model;
    out["choices"] = std::move(choices);
    out["usage"] = std::move(usage);
    add_headers(exchange);
    co_await exchange.respond_json(200, out);
    if (consume_one(extra_answers_))
        co_await exchange.respond_json(200, extra_body());
}

asio::awaitable<void> engine_stand_in::send_events(http_exchange& exchange,
                                                   sequence& seq)
{
    while (!seq.ended && seq.sent == seq.generated)
        co_await seq.changed.wait();
    if (consume_one(foreign_answers_))
        exchange.add_header("X-Tanagertrack-Request-Id", "another");
    else
        add_headers(exchange);
    co_await exchange.start_events();
    for (;;)
    {
        if (seq.sent < seq.generated)
        {
            co_await exchange.write(make_event(seq, seq.sent++));
            continue;
        }
        if (seq.ended)
            break;
        co_await seq.changed.wait();
    }
    if (!seq.record.finished)
    {
        if (die_in_event_)
        {
            const auto event = make_event(seq, seq.sent);
            co_await exchange.write(event.substr(0, event.size() / 2));
        }
        exchange.drop_connection();
        co_return;
    }
    co_await exchange.write("data: [DONE]\n\n");
    co_await exchange.finish();
    if (consume_one(extra_answers_))
        co_await exchange.respond_json(200, extra_body());
}

std::string engine_stand_in::make_event(const sequence& seq,
                                        std::uint32_t index) const
{
    const bool chat = seq.request.chat;
    const bool last = index + 1 >= seq.request.tokens;
    const auto token = answer_token(seq.record.hash, index, seq.request.tokens);
    json::object choice;
    choice["index"] = 0;
    if (chat)
        choice["delta"] = {{"content", token}};
    else
        choice["text"] = token;
    choice["finish_reason"] = last ? json::value("length") : json::value();
    json::object out;
    out["id"] = "cmpl-" + seq.record.hash;
    out["object"] = chat ? "chat.completion.chunk" : "text_completion";
    out["model"] = seq.request.model;
    out["choices"] = json::array{std::move(choice)};
    return "id: " + std::to_string(index + 1) +
           "\ndata: " + json::serialize(out) + "\n\n";
}

asio::awaitable<void> engine_stand_in::wait_while_frozen()
{
    while (freeze_)
        co_await faults_changed_.wait();
}

void engine_stand_in::start_waiting()
{
    while (!waiting_.empty() &&
           static_cast<std::int64_t>(running_.size()) < settings_.slots)
    {
        auto it = std::move(waiting_.front());
        waiting_.pop_front();
        start_sequence(*it);
        running_.push_back(std::move(it));
    }
    max_running_ = std::max(max_running_, running_.size());
}

void engine_stand_in::remove_ended()
{
    std::erase_if(waiting_,
                  [this](const auto& it)
                  {
                      if (!it->is_abandoned())
                          return false;
                      ++cancelled_waiting_;
                      it->ended = true;
                      it->changed.notify();
                      return true;
                  });
    std::erase_if(running_,
                  [this](const auto& it)
                  {
                      if (!it->ended && it->is_abandoned())
                      {
                          ++cancelled_;
                          it->record.cancelled = true;
                          end_sequence(*it);
                      }
                      return it->ended;
                  });
}

void engine_stand_in::step()
{
    const auto now = clock::now();
    for (const auto& it : running_)
    {
        if (it->prefill_end > now || it->is_abandoned())
            continue;
        auto& generated = it->generated;
        if (generated < it->request.tokens)
        {
            ++generated;
            ++it->record.tokens;
            ++tokens_;
        }
        if (generated >= it->request.tokens)
        {
            ++finished_;
            it->record.finished = true;
            end_sequence(*it);
        }
        else if (it->die_after != 0 && it->record.tokens >= it->die_after)
        {
            ++died_;
            end_sequence(*it);
        }
        it->changed.notify();
    }
}

void engine_stand_in::start_sequence(sequence& seq)
{
    seq.record.number = ++started_;
    seq.record.started_ms = common::unix_time_ms();
    const auto& prompt = seq.request.prompt;
    const auto uncached = prompt.size() - cache_.match_and_insert(prompt);
    const auto prefill_us = slow_ *
                            static_cast<double>(settings_.prefill_us_per_byte) *
                            static_cast<double>(uncached);
    seq.prefill_end = clock::now() + std::chrono::microseconds(
                                         static_cast<std::int64_t>(prefill_us));
}

void engine_stand_in::end_sequence(sequence& seq)
{
    seq.ended = true;
    seq.record.ended_ms = common::unix_time_ms();
    seen_.push_back(seq.record);
    if (static_cast<std::int64_t>(seen_.size()) > settings_.max_seen)
        seen_.pop_front();
    seq.changed.notify();
}

std::chrono::microseconds engine_stand_in::step_time() const
{
    const auto sequences = static_cast<double>(running_.size());
    const auto us = static_cast<double>(settings_.base_us) +
                    static_cast<double>(settings_.per_sequence_us) * sequences;
    return std::chrono::microseconds(static_cast<std::int64_t>(us * slow_));
}

} // namespace tanagertrack::standin
