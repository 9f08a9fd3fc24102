#ifndef TANAGERTRACK_HTTP_BYTE_BUDGET_HPP
#define TANAGERTRACK_HTTP_BYTE_BUDGET_HPP

#include "common/clock.hpp"

#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagertrack::http
{

/// Limits for what a process holds for its callers.
struct budget_settings
{
    std::size_t max_bytes = 64UL * 1024 * 1024;

    /// Maximum number of callers' connections; 0: not limited here.
    std::size_t max_connections = 0;

    /// Requests that hold no more than this may use the last quarter of
    /// `max_bytes`, so that ordinary requests are served next to large ones.
    std::size_t small_bytes = 32UL * 1024;

    /// Under pressure, a connection that moves fewer bytes than
    /// `min_progress_bytes` in this time makes no progress.
    std::chrono::milliseconds progress_interval{1000};
    std::size_t min_progress_bytes = 1024;
};

/// What a holder keeps bytes of.
enum class held_kind : std::uint8_t
{
    head,
    body,
    upload,
    answer
};

constexpr std::size_t held_kinds = 4;

/// State of a connection as far as the budget is concerned.
enum class holder_phase : std::uint8_t
{
    /// Idle, or the head of a request is being received.
    head,

    /// A body is being received.
    body,

    /// Not read from, although the body is incomplete: the budget has paused
    /// it, or its recipient waits for the store.
    held,

    /// The request is complete and may have been run.
    running,

    /// The caller has to read the answer.
    answer
};

/// Why a request was refused or a connection closed.
enum class cut_reason : std::uint8_t
{
    /// A body was refused before it was read.
    refused_body,

    /// No progress while the budget was short.
    no_progress,

    /// Paused for a whole interval, during which nothing became free.
    paused,

    /// The caller does not read its answer and the budget is exceeded.
    unread_answer,

    /// Closed to make room for a new connection.
    connections
};

constexpr std::size_t cut_reasons = 5;

std::string_view to_string(held_kind kind);
std::string_view to_string(cut_reason reason);

/// Decides which callers are paused, refused or closed when the bytes held for
/// all of them, or their connections, come to the limit. Uses no clock and no
/// network. Without pressure, each call takes constant time. Not thread-safe.
class byte_budget
{
    struct address_group
    {
        std::size_t bytes = 0;
        std::size_t connections = 0;
    };

    using groups = std::unordered_map<std::string, address_group>;
    using list_hook = boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

public:
    /// Bytes held for one connection.
    class holder : public list_hook
    {
    public:
        /// Called when a paused holder may read again.
        std::function<void()> on_resume;

        /// Called when the budget gives up a connection. In the phases `body`
        /// and `held` nothing of the request was executed. Must not call the
        /// budget.
        std::function<void(cut_reason reason)> on_cut;

        std::size_t bytes() const
        {
            return bytes_;
        }

        /// True once `on_cut` was called.
        bool is_cut() const
        {
            return is_cut_;
        }

    private:
        friend class byte_budget;

        std::array<std::size_t, held_kinds> by_kind_{};
        std::size_t bytes_ = 0;
        std::size_t wanted_ = 0;

        /// Bytes moved since the start of the current interval.
        std::size_t progress_ = 0;
        groups::value_type* group_ = nullptr;
        holder_phase phase_ = holder_phase::head;

        /// True if the holder was there at the start of the interval, in its
        /// current phase.
        bool was_observed_ = false;
        bool is_paused_ = false;
        bool is_cut_ = false;
        bool is_counted_ = false;
    };

    explicit byte_budget(const budget_settings& settings = {});

    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;

    /// Adds the connection of a caller.
    void add(holder& it, const std::string& address);

    /// Removes a connection and what it holds.
    void remove(holder& it);

    /// Makes room for one more connection, if necessary by closing one for
    /// which nothing is executed. Returns false if there is none.
    bool make_room_for_connection();

    void set_phase(holder& it, holder_phase phase);
    void set_held(holder& it, held_kind kind, std::size_t bytes);

    /// Records that bytes were received or sent.
    void record_progress(holder& it, std::size_t bytes);

    /// Returns whether a body of `length` bytes (0: unknown) may be received.
    /// A refusal is counted.
    bool admits_body(const holder& it, std::uint64_t length);

    /// Returns whether `n` more bytes may be read. If not, the holder is paused
    /// until `on_resume` or `on_cut`.
    bool may_read(holder& it, std::size_t n);

    /// Resumes paused holders, and gives up connections once the budget was
    /// short for an interval. Call several times per interval.
    void run_checks(common::time_point now);

    std::size_t held_bytes() const
    {
        return total_;
    }

    std::size_t held_bytes(held_kind kind) const
    {
        return by_kind_[static_cast<std::size_t>(kind)];
    }

    std::size_t connections() const
    {
        return connections_;
    }

    /// Returns true if only small requests may hold more bytes.
    bool is_short() const
    {
        return total_ >= common_bytes_;
    }

    /// Number of refusals and closed connections since the start.
    std::uint64_t cuts(cut_reason reason) const
    {
        return cuts_[static_cast<std::size_t>(reason)];
    }

private:
    using holder_list =
        boost::intrusive::list<holder,
                               boost::intrusive::constant_time_size<false>>;

    static bool is_cuttable(const holder& it);

    /// Returns true if `left` is to be cut before `right`: the address with
    /// more bytes, then the larger holder.
    static bool holds_more(const holder* left, const holder* right);
    bool fits(const holder& it, std::size_t n) const;
    void cut(holder& it, cut_reason reason);
    void resume_paused();
    void begin_interval(common::time_point now);
    void cut_without_progress();

    /// Cuts holders in the given order until no more than `target` bytes would
    /// be left. Returns what is left.
    std::size_t cut_down(std::vector<holder*>& candidates, std::size_t left,
                         std::size_t target, cut_reason reason);
    void cut_unread_answers(const holder& newest);

    budget_settings settings_;

    /// Bytes that requests of any size may use.
    std::size_t common_bytes_;

    /// Connections are closed down to this number of bytes, so that each round
    /// makes room for several requests.
    std::size_t low_bytes_;
    std::size_t total_ = 0;
    std::array<std::size_t, held_kinds> by_kind_{};
    std::array<std::uint64_t, cut_reasons> cuts_{};
    std::size_t connections_ = 0;
    std::size_t paused_ = 0;

    /// All holders; the one whose last progress is the longest ago comes first.
    holder_list holders_;
    groups groups_;

    /// End of the current interval; not set without pressure.
    std::optional<common::time_point> interval_end_;
};

} // namespace tanagertrack::http

#endif
