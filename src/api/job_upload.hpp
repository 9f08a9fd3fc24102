#ifndef TANAGERTRACK_API_JOB_UPLOAD_HPP
#define TANAGERTRACK_API_JOB_UPLOAD_HPP

#include "api/caller_request.hpp"
#include "api/item_parser.hpp"
#include "batch/intake.hpp"
#include "common/hash.hpp"
#include "entry/entry_core.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// Reads the body of a job line by line, in bounded memory, and submits its
/// items. The object keeps itself alive until the job is accepted or refused.
/// Not thread-safe: all calls are made on the thread of the core's io_context.
class job_upload
    : public boost::intrusive_ref_counter<job_upload,
                                          boost::thread_unsafe_counter>
{
public:
    /// `on_accepted` is called once the job is accepted, and has to answer the
    /// request. The upload itself answers when the job is refused.
    job_upload(entry::entry_core& core, caller_request request,
               std::string job_id, std::function<void()> on_accepted);

    job_upload(const job_upload&) = delete;
    job_upload& operator=(const job_upload&) = delete;

    /// Looks up whether the job was accepted before, by any process, opens the
    /// submission and starts to read the body.
    void start();

private:
    /// Opens the submission and starts to read the body.
    void open();

    /// Reads the next piece of the body, unless a read is pending or too many
    /// bytes wait for the store.
    void read_next();
    void handle_piece(std::error_code ec, std::string_view piece, bool end);

    /// Submits the lines that `piece` completes; with `end` also the last line.
    /// Returns false if the request was refused.
    bool parse_lines(std::string_view piece, bool end);

    /// Parses a whole line and adds its item to the submission. Returns false
    /// if the request was refused.
    bool submit_line(std::string_view line);

    /// Reports the bytes that the upload holds to the budget.
    void account_for_bytes();

    /// Called when the connection is lost or closed. Gives up an upload that is
    /// not complete, which may be waiting for the store.
    void abandon();
    void refuse(std::error_code ec, std::string message);
    void handle_result(const batch::submission_result& result);

    entry::entry_core& core_;
    caller_request request_;
    std::string job_id_;
    std::function<void()> on_accepted_;
    item_parser parser_;

    /// Hash of the body read so far, to detect a resend with other content.
    common::incremental_hash body_hash_;
    batch::submission_ptr submission_;

    /// Start of a line whose end has not been read yet.
    std::string partial_line_;

    /// True while a read of the body is pending.
    bool reading_ = false;

    /// True once the body is complete and the job may be accepted.
    bool committed_ = false;

    /// True once the job was accepted or refused, or the caller has
    /// disconnected.
    bool ended_ = false;
};

} // namespace tanagertrack::api

#endif
