#include "http/http_exchange.hpp"

#include "http/http_session.hpp"
#include "http/request_state.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace tanagertrack::http
{

namespace
{

using step_kind = answer_step::kind;

/// Reads a body piece by piece and passes the whole body to `handler`.
struct body_reader
    : boost::intrusive_ref_counter<body_reader, boost::thread_safe_counter>
{
    http_exchange_ptr exchange;
    std::function<void(std::error_code, std::string)> handler;
    std::string body;

    void read_next()
    {
        boost::intrusive_ptr<body_reader> self(this);
        exchange->read_body(
            [self](std::error_code ec, std::string chunk, bool end)
            { self->handle_piece(ec, std::move(chunk), end); });
    }

    void handle_piece(std::error_code ec, std::string chunk, bool end)
    {
        if (body.empty())
            body = std::move(chunk);
        else
            body += chunk;
        if (!ec && !end)
            return read_next();
        if (ec)
            body = {};
        std::exchange(handler, nullptr)(ec, std::move(body));
    }
};

} // namespace

http_exchange::http_exchange(std::shared_ptr<http_session> session,
                             std::shared_ptr<request_state> state)
    : session_(std::move(session)), state_(std::move(state))
{
}

http_exchange::~http_exchange()
{
    post_to_session(
        [](http_session& session, request_state& state)
        {
            if (!state.answered)
                session.fail_unanswered(state);
        });
}

const request_head& http_exchange::head() const
{
    return state_->head;
}

template<typename Function>
void http_exchange::post_to_session(Function function)
{
    if (session_->is_detached())
        return;

    // Always posted: a call executed immediately on the server's thread could
    // overtake an earlier call posted from another thread.
    boost::asio::post(session_->executor(),
                      [session = session_, state = state_,
                       function = std::move(function)]() mutable
                      { function(*session, *state); });
}

void http_exchange::set_handler_executor(handler_executor executor)
{
    post_to_session([executor = std::move(executor)](
                        http_session&, request_state& state) mutable
                    { state.executor = std::move(executor); });
}

void http_exchange::limit_body(std::uint64_t max_bytes)
{
    post_to_session([max_bytes](http_session&, request_state& state)
                    { state.max_body_bytes = max_bytes; });
}

void http_exchange::keep_body()
{
    post_to_session([](http_session&, request_state& state)
                    { state.keeps_body = true; });
}

void http_exchange::set_held_bytes(std::size_t bytes)
{
    post_to_session([bytes](http_session& session, request_state& state)
                    { session.set_held_bytes(state, bytes); });
}

void http_exchange::read_body(body_handler handler)
{
    post_to_session([handler = std::move(handler)](http_session& session,
                                                   request_state& state) mutable
                    { session.read_body(state, std::move(handler)); });
}

void http_exchange::respond(answer_head head, std::string body)
{
    answer_step step{step_kind::whole, std::move(head), std::move(body), {}};
    post_to_session([step = std::move(step)](http_session& session,
                                             request_state& state) mutable
                    { session.add_step(state, std::move(step)); });
}

void http_exchange::refuse(const rejection& reason)
{
    auto answer = error_answer(reason, head().request_id);
    respond(std::move(answer.head), std::move(answer.body));
}

void http_exchange::start_answer(answer_head head)
{
    answer_step step{step_kind::start, std::move(head), {}, {}};
    post_to_session([step = std::move(step)](http_session& session,
                                             request_state& state) mutable
                    { session.add_step(state, std::move(step)); });
}

void http_exchange::write(std::string chunk, written_handler handler)
{
    answer_step step{
        step_kind::piece, {}, std::move(chunk), std::move(handler)};
    post_to_session([step = std::move(step)](http_session& session,
                                             request_state& state) mutable
                    { session.add_step(state, std::move(step)); });
}

void http_exchange::finish()
{
    post_to_session(
        [](http_session& session, request_state& state) {
            session.add_step(state, {step_kind::finish, {}, {}, {}});
        });
}

void http_exchange::abort()
{
    post_to_session(
        [](http_session& session, request_state& state) {
            session.add_step(state, {step_kind::abort, {}, {}, {}});
        });
}

void http_exchange::on_abandoned(std::function<void()> hook)
{
    post_to_session(
        [hook = std::move(hook)](http_session&, request_state& state) mutable
        {
            if (state.closed && !state.answered)
                state.run(std::move(hook));
            else
                state.abandoned_hook = std::move(hook);
        });
}

void read_whole_body(
    const http_exchange_ptr& exchange, std::uint64_t max_bytes,
    std::function<void(std::error_code ec, std::string body)> handler)
{
    exchange->limit_body(max_bytes);
    exchange->keep_body();
    boost::intrusive_ptr<body_reader> reader(new body_reader);
    reader->exchange = exchange;
    reader->handler = std::move(handler);
    reader->read_next();
}

} // namespace tanagertrack::http
