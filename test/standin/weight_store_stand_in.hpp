#ifndef TANAGERTRACK_STANDIN_WEIGHT_STORE_STAND_IN_HPP
#define TANAGERTRACK_STANDIN_WEIGHT_STORE_STAND_IN_HPP

#include "standin/stand_in.hpp"

#include <chrono>
#include <cstdint>

namespace tanagertrack::standin
{

/// Settings of the weight store.
struct weight_store_settings
{
    /// Reads answered in a second; further ones get 429.
    std::int64_t reads_per_second = 2;

    /// Size of the weights of each model.
    std::int64_t weight_bytes = 1024 * 1024;
};

/// Store of model weights with a rate limit. Fault: `reads_per_second`.
class weight_store_stand_in : public stand_in
{
public:
    explicit weight_store_stand_in(weight_store_settings settings);

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;

private:
    weight_store_settings settings_;
    std::chrono::steady_clock::time_point second_;
    std::int64_t reads_in_second_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace tanagertrack::standin

#endif
