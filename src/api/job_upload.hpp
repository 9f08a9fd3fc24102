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
/// items. Keeps itself alive until the job is accepted or refused. One thread.
class job_upload
    : public boost::intrusive_ref_counter<job_upload,
                                          boost::thread_unsafe_counter>
{
public:
    /// `accepted` is called when the job is accepted; a refusal is answered
    /// by the upload itself.
    job_upload(entry::entry_core& core, caller_request request, std::string job,
               std::function<void()> accepted);

    job_upload(const job_upload&) = delete;
    job_upload& operator=(const job_upload&) = delete;

    /// Starts to read.
    void start();

private:
    void read_on();
    void take_piece(std::error_code ec, std::string_view piece, bool end);
    bool take_lines(std::string_view piece, bool end);
    bool take_line(std::string_view line);
    void refuse(std::error_code ec, std::string message);
    void take_verdict(const batch::submission_result& refusal);

    entry::entry_core& core_;
    caller_request request_;
    std::string job_;
    std::function<void()> accepted_;
    item_parser parser_;
    common::incremental_hash hash_;
    batch::submission_ptr submission_;

    /// Line whose end has not come.
    std::string line_;
    bool waits_ = false;
    bool over_ = false;
};

} // namespace tanagertrack::api

#endif
