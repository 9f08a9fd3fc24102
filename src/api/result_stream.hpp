#ifndef TANAGERTRACK_API_RESULT_STREAM_HPP
#define TANAGERTRACK_API_RESULT_STREAM_HPP

#include "api/caller_request.hpp"
#include "common/clock.hpp"
#include "entry/entry_core.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <string>

namespace tanagertrack::api
{

/// Streams the results that a job has so far as JSON Lines, one object per
/// line. For a cancelled job, these are the results recorded before the
/// cancellation, and a line for each other item. The
/// object keeps itself alive until the response is complete or aborted. Not
/// thread-safe: all calls are made on the thread of the core's io_context.
class result_stream
    : public boost::intrusive_ref_counter<result_stream,
                                          boost::thread_unsafe_counter>
{
public:
    /// All results recorded before `as_of` are sent.
    result_stream(entry::entry_core& core, caller_request request,
                  std::string job_id, common::time_point as_of);

    result_stream(const result_stream&) = delete;
    result_stream& operator=(const result_stream&) = delete;

    /// Starts to read and send the results.
    void start();

private:
    void read_page();
    void handle_page(const batch::results_page& page);

    /// Reads the record with the next part of a cancelled job's items, to find
    /// those without a result. Ends the response if there are no more parts.
    void read_next_part();
    void handle_part(std::error_code ec, const proto::JobRecord& record);

    /// Sends `lines`, then reads the next page of results, or the next part
    /// once all results were read. If `more` is false, ends the response
    /// instead.
    void write(std::string lines, bool more);

    /// Refuses the request, or aborts the connection if the response was
    /// started already.
    void fail(std::error_code ec);

    entry::entry_core& core_;
    caller_request request_;
    std::string job_id_;

    common::time_point as_of_;

    /// Position of the next result to read.
    std::size_t next_result_ = 0;

    /// Index of the next part to read.
    std::size_t next_part_ = 0;

    /// True once all results were read.
    bool results_done_ = false;

    /// True once the head of the response was sent.
    bool started_ = false;
};

} // namespace tanagertrack::api

#endif
