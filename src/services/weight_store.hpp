#ifndef TANAGERTRACK_SERVICES_WEIGHT_STORE_HPP
#define TANAGERTRACK_SERVICES_WEIGHT_STORE_HPP

#include "common/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::services
{

/// Answer of the weight store.
struct weight_answer
{
    /// Weights of the model; empty on an error.
    std::string weights;

    /// Time after which to ask again, with `rate_limited`.
    std::chrono::seconds retry_after{0};
};

/// Called once. `rate_limited` above the store's rate; `unknown_model` when
/// the store has no such model; `connection_lost` without a whole answer;
/// `protocol_error` for any other status.
using weight_handler =
    std::function<void(std::error_code ec, weight_answer answer)>;

/// The platform's rate-limited store of model weights. Calls on one thread.
struct weight_store
{
    std::function<void(std::string model, weight_handler handler)> read;
};

/// Largest weights in bytes that are read by default.
constexpr std::uint64_t default_max_weight_bytes = 64UL * 1024 * 1024;

/// Makes a client of the store (`GET /weights/{model}`).
weight_store
make_http_weight_store(boost::asio::io_context& context,
                       common::endpoint address,
                       std::uint64_t max_bytes = default_max_weight_bytes);

} // namespace tanagertrack::services

#endif
