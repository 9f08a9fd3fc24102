#ifndef TANAGERTRACK_ENTRY_ONLINE_REQUEST_HPP
#define TANAGERTRACK_ENTRY_ONLINE_REQUEST_HPP

#include "entry/online_router.hpp"
#include "http/error_answer.hpp"
#include "routing/retry_budget.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::common
{
class counter;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// What all online requests of an entry share.
struct online_environment
{
    const config::settings& settings;
    common::metrics_registry& metrics;
    target_pool& pool;
    boost::asio::io_context& context;
    routing::retry_budget budget;
    common::counter& retries;
    common::counter& resumes;
};

/// One online request: its attempts, one at a time, and the relay of the
/// answer. A streamed answer that is cut goes on at another target, with the
/// text sent so far, or ends with an error event and without its end mark.
/// Lives on the `peer` thread.
class online_request
    : public boost::intrusive_ref_counter<online_request,
                                          boost::thread_unsafe_counter>
{
public:
    /// `done` is called once when the request is over.
    online_request(online_environment& shared, online_call call,
                   std::function<void()> done);

    online_request(const online_request&) = delete;
    online_request& operator=(const online_request&) = delete;

    /// Starts the first attempt.
    void start();

    /// The caller is gone.
    void abandon();

    /// The piece under way was handed to the caller's connection.
    void written(std::error_code ec);

    /// Sets what is called when a piece was written. It is kept by the
    /// connection and therefore must not own this object.
    std::function<void(std::error_code)> written_hook;

private:
    void start_attempt();
    attempt_hooks make_hooks();
    void take_text(const proto::WorkText& text);
    void take_finished(const proto::WorkFinished& finished);
    void take_failed(const proto::WorkFailed& failed);
    void take_refused(const proto::WorkRefused& refused);
    bool may_try_again();
    void try_again(http::rejection cause);
    void fail(http::rejection why);
    void pass_through(unsigned status, std::string content_type,
                      std::string body);
    void add_event(std::string_view data);
    void send();
    void deadline_passed();
    void end();

    online_environment& shared_;
    online_call call_;
    std::function<void()> done_;
    boost::asio::steady_timer deadline_timer_;

    // Attempts.
    attempt_id attempt_ = 0;
    std::vector<std::string> tried_;
    std::uint32_t attempts_ = 0;
    bool resumed_ = false;

    /// Why the last attempt failed.
    http::rejection cause_{common::result_code::no_target};

    /// Some attempt may have run.
    bool may_have_run_ = false;

    // The answer.
    bool started_ = false;

    /// The piece with the finish reason was sent: all text is there.
    bool text_complete_ = false;
    std::string sent_text_;
    std::string unsent_;
    bool writing_ = false;
    bool paused_ = false;
    bool ended_ = false;

    /// What follows the unsent pieces.
    enum class closing
    {
        none,
        complete,
        cut
    };
    closing closing_ = closing::none;
};

using online_request_ptr = boost::intrusive_ptr<online_request>;

} // namespace tanagertrack::entry

#endif
