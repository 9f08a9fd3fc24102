#ifndef TANAGERTRACK_ENTRY_JOB_INTAKE_HPP
#define TANAGERTRACK_ENTRY_JOB_INTAKE_HPP

#include "common/hash.hpp"
#include "entry/batch_core.hpp"
#include "entry/exchange.hpp"
#include "entry/item_parser.hpp"
#include "entry/job_id.hpp"
#include "http/error_answer.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::entry
{

/// Takes in one job: reads the lines, appends them in chunks as they come, and
/// answers when the commit was read back. Holds one chunk and one line. On the
/// batch thread.
class job_intake
{
public:
    /// `id` is that of the job, in a partition that is held.
    job_intake(std::shared_ptr<batch_core> core, exchange_ptr request,
               placed_id id);

    /// Runs the intake until the request is answered.
    boost::asio::awaitable<void> run();

private:
    using result = std::optional<http::rejection>;

    result check_start();
    boost::asio::awaitable<result> read_body();
    boost::asio::awaitable<result> take_piece(std::string_view piece, bool end);
    boost::asio::awaitable<result> take_line(std::string line);
    boost::asio::awaitable<result> append_chunk();
    boost::asio::awaitable<result> commit();
    result judge_commit();
    void answer(const state::job& job);
    const state::job* find_job();

    std::shared_ptr<batch_core> core_;
    exchange_ptr request_;
    placed_id id_;
    std::uint64_t claim_;
    std::string intake_;

    /// The job is known: the body is compared only.
    bool known_ = false;
    bool caller_gone_ = false;
    common::incremental_hash hash_;
    std::unique_ptr<item_parser> parser_;

    /// Start of a line whose end has not come.
    std::string line_;
    proto::JobChunk chunk_;

    /// Items in chunks that were appended.
    std::uint32_t appended_ = 0;
    std::size_t chunk_bytes_ = 0;
};

} // namespace tanagertrack::entry

#endif
