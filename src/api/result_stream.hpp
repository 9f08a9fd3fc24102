#ifndef TANAGERTRACK_API_RESULT_STREAM_HPP
#define TANAGERTRACK_API_RESULT_STREAM_HPP

#include "api/caller_request.hpp"
#include "entry/entry_core.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <string>

namespace tanagertrack::api
{

/// Sends all results of a job that there are, one JSON object a line; for a
/// job that was cancelled also a line for each item that was not run. Keeps
/// itself alive until the answer is complete or broken off. One thread.
class result_stream
    : public boost::intrusive_ref_counter<result_stream,
                                          boost::thread_unsafe_counter>
{
public:
    result_stream(entry::entry_core& core, caller_request request,
                  std::string job);

    result_stream(const result_stream&) = delete;
    result_stream& operator=(const result_stream&) = delete;

    /// Starts to send.
    void start();

private:
    void read_page();
    void take_page(const batch::results_page& page);
    void read_cancelled();
    void take_cancelled(std::error_code ec, const proto::JobRecord& record);
    void write(std::string lines, bool more);
    void fail(std::error_code ec);

    entry::entry_core& core_;
    caller_request request_;
    std::string job_;

    /// Position of the next result, and the next part of the job that may hold
    /// cancelled items.
    std::size_t next_ = 0;
    std::size_t next_part_ = 0;
    bool results_done_ = false;
    bool started_ = false;
};

} // namespace tanagertrack::api

#endif
