#ifndef TANAGERTRACK_API_ITEM_PARSER_HPP
#define TANAGERTRACK_API_ITEM_PARSER_HPP

#include "api/fleet_index.hpp"
#include "proto/jobs.pb.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_set>

namespace tanagertrack::api
{

/// Why a line of a job is not accepted.
struct line_error
{
    std::error_code ec;

    /// Names the line, from 1, and what is wrong.
    std::string message;
};

/// Checks the lines of one job and makes items of them. Pure.
class item_parser
{
public:
    /// `max_items` bounds the items of the job.
    item_parser(std::shared_ptr<const fleet_index> fleet,
                std::size_t max_items);

    /// Parses one line, without its end. Returns whether `out` is an item:
    /// false without an error for an empty line.
    bool parse(std::string_view line, proto::JobItem& out, line_error& error);

    /// Items so far.
    std::size_t items() const
    {
        return ids_.size();
    }

    /// Lines so far, including empty ones.
    std::size_t lines() const
    {
        return line_;
    }

private:
    bool fail(line_error& error, std::error_code ec,
              std::string_view message) const;

    std::shared_ptr<const fleet_index> fleet_;
    std::size_t max_items_;
    std::size_t line_ = 0;

    /// Hashes of the custom ids.
    std::unordered_set<std::uint64_t> ids_;
};

} // namespace tanagertrack::api

#endif
