#include "common/result_code.hpp"
#include "services/http_get.hpp"
#include "services/weight_store.hpp"

#include <utility>

namespace tanagertrack::services
{

namespace
{

using common::result_code;

constexpr std::chrono::seconds read_timeout{60};

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_too_many_requests = 429;

void finish(std::error_code ec, get_answer answer,
            const weight_handler& handler)
{
    if (ec)
        handler(ec, {});
    else if (answer.status == http_ok)
        handler({}, {std::move(answer.body), {}});
    else if (answer.status == http_too_many_requests)
        handler(result_code::rate_limited, {{}, answer.retry_after});
    else if (answer.status == http_not_found)
        handler(result_code::unknown_model, {});
    else
        handler(result_code::protocol_error, {});
}

} // namespace

weight_store make_http_weight_store(boost::asio::io_context& context,
                                    common::endpoint address,
                                    std::uint64_t max_bytes)
{
    weight_store store;
    store.read = [&context, address = std::move(address),
                  max_bytes](const std::string& model, weight_handler handler)
    {
        http_get(context,
                 {address, "/weights/" + model, max_bytes, read_timeout},
                 [handler = std::move(handler)](std::error_code ec,
                                                get_answer answer)
                 { finish(ec, std::move(answer), handler); });
    };
    return store;
}

} // namespace tanagertrack::services
