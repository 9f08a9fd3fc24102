#ifndef TANAGERTRACK_ENTRY_CALLER_EXCHANGE_HPP
#define TANAGERTRACK_ENTRY_CALLER_EXCHANGE_HPP

#include "entry/exchange.hpp"
#include "entry/request_observer.hpp"
#include "http/http_exchange.hpp"

#include <memory>
#include <string>

namespace tanagertrack::entry
{

/// A caller's request on an HTTP connection, after authentication.
class caller_exchange final : public exchange
{
public:
    /// Handlers run where `http` runs them.
    caller_exchange(http::http_exchange_ptr http, std::string team,
                    std::unique_ptr<request_observer> observer);

    const exchange_head& head() const override;
    void read_body(body_handler handler) override;
    void respond(exchange_answer answer, std::string body) override;
    void start_answer(exchange_answer answer) override;
    void write(std::string chunk, written_handler handler) override;
    void finish() override;
    void abort() override;
    void on_abandoned(std::function<void()> hook) override;

private:
    http::answer_head convert(exchange_answer&& answer);

    http::http_exchange_ptr http_;
    exchange_head head_;
    std::unique_ptr<request_observer> observer_;
};

/// Answers with a rejection.
void refuse(exchange& request, const http::rejection& why);

} // namespace tanagertrack::entry

#endif
