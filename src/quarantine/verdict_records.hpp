#ifndef TANAGERTRACK_QUARANTINE_VERDICT_RECORDS_HPP
#define TANAGERTRACK_QUARANTINE_VERDICT_RECORDS_HPP

#include "quarantine/part_quarantine.hpp"
#include "store/keyed_follower.hpp"
#include "store/partition_writer.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tanagertrack::quarantine
{

/// Hooks for changes of the records by any process; none may be empty.
struct record_hooks
{
    std::function<void(const crash_cause&, std::uint32_t terms)> on_recorded;
    std::function<void(routing::part_key)> on_removed;
};

/// Verdicts in the platform's store, which outlive the processes: one key of a
/// keyed topic for each cause. Not thread-safe: all calls are made on the
/// thread of the io_context, and the hooks run on it.
class verdict_records
{
public:
    /// `writer` must be a different name for each start of a process.
    verdict_records(boost::asio::io_context& context,
                    const store::store_service& service,
                    const std::string& topic, const std::string& writer,
                    record_hooks hooks);

    /// Starts to follow the records.
    void start();

    /// Records a verdict, or records it anew.
    void write(const verdict& value);

    /// Removes the record of a lifted verdict.
    void remove(routing::part_key part);

    /// Returns the number of terms that are recorded; 0 if there is no record.
    std::uint32_t recorded_terms(routing::part_key part) const;

private:
    void apply(const std::string& key, std::optional<std::string_view> value);
    void append(routing::part_key part, const std::string& value);

    record_hooks hooks_;
    std::shared_ptr<store::keyed_follower> follower_;
    std::shared_ptr<store::partition_writer> writer_;

    /// Recorded terms by part.
    std::map<routing::part_key, std::uint32_t> recorded_;
};

} // namespace tanagertrack::quarantine

#endif
