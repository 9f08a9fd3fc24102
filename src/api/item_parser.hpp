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

/// Error in a line of a job's body.
struct line_error
{
    std::error_code ec;

    /// Starts with the number of the line, counted from 1, and says what is
    /// wrong.
    std::string message;
};

/// Validates the lines of one job's JSON Lines body and converts them to items.
/// Does no I/O.
class item_parser
{
public:
    /// `max_items` is the maximum number of items of the job.
    item_parser(std::shared_ptr<const fleet_index> fleet,
                std::size_t max_items);

    /// Parses one line, given without its line end. Returns true if `out` was
    /// set to an item. Returns false without setting `error` for a blank line.
    bool parse(std::string_view line, proto::JobItem& out, line_error& error);

    /// Number of items parsed so far.
    std::size_t items() const
    {
        return id_hashes_.size();
    }

    /// Number of lines parsed so far, including blank and invalid ones.
    std::size_t lines() const
    {
        return line_number_;
    }

private:
    /// Sets `error` and returns false. An empty `message` stands for the
    /// default text of `ec`.
    bool fail(line_error& error, std::error_code ec,
              std::string_view message) const;

    std::shared_ptr<const fleet_index> fleet_;
    std::size_t max_items_;
    std::size_t line_number_ = 0;

    /// Hashes of the custom ids so far, instead of the ids, to bound the
    /// memory.
    std::unordered_set<std::uint64_t> id_hashes_;
};

} // namespace tanagertrack::api

#endif
