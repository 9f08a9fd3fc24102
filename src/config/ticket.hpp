#ifndef TANAGERTRACK_CONFIG_TICKET_HPP
#define TANAGERTRACK_CONFIG_TICKET_HPP

#include "config/setting_table.hpp"
#include "proto/tickets.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::config
{

/// Maximum size of a ticket document in bytes; a document has to fit into one
/// record of the store.
constexpr std::size_t max_ticket_bytes = 256 * 1024;

/// Maximum number of objects changed or removed by a ticket.
constexpr std::size_t max_ticket_objects = 10000;

/// A validated configuration ticket: the complete new state of all objects that
/// it changes. The field `ticket` of each object is the ticket's number.
struct ticket
{
    /// 1 to 10^15.
    std::uint64_t number = 0;
    std::vector<proto::TargetSpec> targets;
    std::vector<proto::ModelSpec> models;
    std::vector<proto::ServiceSpec> services;
    std::vector<proto::TeamSpec> teams;

    /// Objects to remove, as "KIND/NAME", for example "targets/lm-1".
    std::vector<std::string> removed;
};

/// Parses and checks a YAML ticket document. Returns all errors, with line, key
/// and accepted range; `out` must only be used if there are none. The objects
/// of each list, and `removed`, are sorted by name and unique. Only the hash of
/// a team's `key` is kept; a document may contain `key_hash` instead. Whether
/// referenced models and services exist is not checked here.
std::vector<setting_error> parse_ticket(std::string_view file,
                                        std::string_view text, ticket& out);

/// Returns a hash of the ticket's content, 16 bytes. It is equal for documents
/// that differ only in layout or in the order of keys and objects.
std::string content_hash(const ticket& value);

/// Returns "KIND/NAME" for each changed or removed object, for example
/// "targets/lm-1", in the order of the lists.
std::vector<std::string> changed_objects(const ticket& value);

/// Returns the hash that is stored instead of a team's bearer key: its XXH3-128
/// in lower-case hexadecimal digits.
std::string team_key_hash(std::string_view key);

} // namespace tanagertrack::config

#endif
