#include "entry/caller_exchange.hpp"

#include <utility>

namespace tanagertrack::entry
{

caller_exchange::caller_exchange(http::http_exchange_ptr http, std::string team,
                                 std::unique_ptr<request_observer> observer)
    : http_(std::move(http)), observer_(std::move(observer))
{
    const auto& from = http_->head();
    head_.method = from.method;
    head_.target = from.target;
    head_.team = std::move(team);
    head_.idempotency_key = from.idempotency_key();
    head_.content_type = from.content_type();
    head_.request_id = from.request_id;
    head_.content_length = from.content_length;
}

const exchange_head& caller_exchange::head() const
{
    return head_;
}

void caller_exchange::read_body(body_handler handler)
{
    http_->read_body(std::move(handler));
}

http::answer_head caller_exchange::convert(exchange_answer&& answer)
{
    observer_->first_answer(answer.status);
    http::answer_head head;
    head.status = answer.status;
    head.content_type = std::move(answer.content_type);
    head.retry_after = std::chrono::seconds(answer.retry_after_s);
    return head;
}

void caller_exchange::respond(exchange_answer answer, std::string body)
{
    http_->respond(convert(std::move(answer)), std::move(body));
}

void caller_exchange::start_answer(exchange_answer answer)
{
    http_->start_answer(convert(std::move(answer)));
}

void caller_exchange::write(std::string chunk, written_handler handler)
{
    http_->write(std::move(chunk), std::move(handler));
}

void caller_exchange::finish()
{
    http_->finish();
}

void caller_exchange::abort()
{
    http_->abort();
}

void caller_exchange::on_abandoned(std::function<void()> hook)
{
    http_->on_abandoned(std::move(hook));
}

void refuse(exchange& request, const http::rejection& why)
{
    auto answer = http::error_answer(why, request.head().request_id);
    exchange_answer head;
    head.status = answer.head.status;
    head.retry_after_s =
        static_cast<unsigned>((answer.head.retry_after.count() + 999) / 1000);
    request.respond(std::move(head), std::move(answer.body));
}

} // namespace tanagertrack::entry
