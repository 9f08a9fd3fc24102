#include "batch/results.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::batch
{

using common::result_code;
using std::chrono::milliseconds;

namespace
{

/// Age up to which a view of the log is taken to show all results that a
/// caller may have seen elsewhere. Below the time in which the users expect a
/// result to be known everywhere (1 s).
constexpr auto view_age = milliseconds(500);

/// Results of one page.
constexpr std::size_t max_page_results = 256;

} // namespace

/// A read of results under way.
struct results::page_read
{
    explicit page_read(boost::asio::io_context& context) : timer(context)
    {
    }

    std::string job;
    std::size_t after = 0;
    std::size_t max_bytes = 0;
    common::time_point wait_until;
    std::function<void(const results_page&)> done;
    boost::asio::steady_timer timer;
    results_page page;
    std::size_t bytes = 0;
    bool waiting = false;
};

results::results(boost::asio::io_context& context, job_log& jobs,
                 text_store& texts)
    : context_(context), jobs_(jobs), texts_(texts)
{
    job_listener listener;
    listener.changes.on_result =
        [this](const state::batch_job& job, std::uint32_t)
    {
        wake(job.id);
    };
    jobs_.add_listener(std::move(listener));
}

void results::find(
    const std::string& job,
    std::function<void(std::error_code, const state::batch_job*)> found)
{
    if (const auto* known = jobs_.table().find(job))
        return found({}, known);
    jobs_.confirm(milliseconds(0),
                  [this, job, found = std::move(found)](std::error_code ec)
                  {
                      if (ec || !jobs_.is_current())
                          return found(
                              make_error_code(result_code::log_unavailable),
                              nullptr);
                      found({}, jobs_.table().find(job));
                  });
}

void results::read(const std::string& job, std::size_t after,
                   std::size_t max_bytes, milliseconds wait,
                   std::function<void(const results_page&)> done)
{
    const auto it = std::make_shared<page_read>(context_);
    it->job = job;
    it->after = after;
    it->max_bytes = max_bytes;
    it->wait_until = common::clock::now() + wait;
    it->done = std::move(done);
    it->page.next = after;
    find(job,
         [this, it](std::error_code ec, const state::batch_job* known)
         {
             if (ec)
                 return end_read(it, ec);
             if (known == nullptr)
                 return end_read(it, make_error_code(result_code::unknown_job));
             check(it);
         });
}

void results::check(const page_read_ptr& it)
{
    const auto* known = jobs_.table().find(it->job);
    if (known == nullptr)
        return end_read(it, make_error_code(result_code::unknown_job));
    it->page.items = known->items.size();
    if (known->results.size() > it->after)
        return read_texts(it);

    // Another entry may have shown more than is known here.
    jobs_.confirm(view_age,
                  [this, it](std::error_code ec)
                  {
                      if (ec)
                          return end_read(it, ec);
                      const auto* job = jobs_.table().find(it->job);
                      if (job != nullptr && job->results.size() > it->after)
                          return read_texts(it);
                      wait(it);
                  });
}

void results::wait(const page_read_ptr& it)
{
    if (common::clock::now() >= it->wait_until)
        return end_read(it, {});
    it->waiting = true;
    waiting_.emplace(it->job, it);
    it->timer.expires_at(it->wait_until);
    it->timer.async_wait(
        [this, it](const auto& ec)
        {
            if (ec || !std::exchange(it->waiting, false))
                return;
            const auto [begin, end] = waiting_.equal_range(it->job);
            for (auto at = begin; at != end; ++at)
            {
                if (at->second != it)
                    continue;
                waiting_.erase(at);
                break;
            }
            end_read(it, {});
        });
}

void results::wake(const std::string& job)
{
    const auto [begin, end] = waiting_.equal_range(job);
    std::vector<page_read_ptr> ready;
    for (auto at = begin; at != end; ++at)
        ready.push_back(at->second);
    waiting_.erase(begin, end);
    for (const auto& it : ready)
    {
        it->waiting = false;
        it->timer.cancel();
        check(it);
    }
}

void results::read_texts(const page_read_ptr& it)
{
    const auto* job = jobs_.table().find(it->job);
    const bool more = job != nullptr && it->page.next < job->results.size() &&
                      it->page.results.size() < max_page_results &&
                      it->bytes < it->max_bytes;
    if (!more)
        return end_read(it, {});
    const auto& item = job->items[job->results[it->page.next]];
    texts_.read(item.text,
                [this, it](std::error_code ec, const proto::ItemText& text)
                { take_text(it, ec, text); });
}

void results::take_text(const page_read_ptr& it, std::error_code ec,
                        const proto::ItemText& text)
{
    const auto* job = jobs_.table().find(it->job);
    if (ec || job == nullptr)
    {
        // What was read so far is an answer.
        return end_read(it, it->page.results.empty()
                                ? make_error_code(result_code::log_unavailable)
                                : std::error_code());
    }
    const bool too_much = !it->page.results.empty() &&
                          it->bytes + text.text().size() > it->max_bytes;
    if (too_much)
        return end_read(it, {});
    const auto& item = job->items[job->results[it->page.next]];
    it->bytes += text.text().size();
    it->page.results.push_back({item.state, text});
    ++it->page.next;
    read_texts(it);
}

void results::end_read(const page_read_ptr& it, std::error_code ec)
{
    it->page.ec = ec;
    auto done = std::exchange(it->done, nullptr);
    done(it->page);
}

void results::read_body(const std::string& job, const std::string& item,
                        std::function<void(std::error_code, std::string)> done)
{
    find(job,
         [this, item, done = std::move(done)](std::error_code ec,
                                              const state::batch_job* known)
         {
             std::optional<std::uint32_t> index;
             if (known != nullptr)
                 index = known->find_item(item);
             if (!ec && !index)
                 ec = make_error_code(result_code::unknown_job);
             if (ec)
                 return done(ec, {});
             std::uint64_t offset = 0;
             std::uint32_t place = 0;
             for (const auto& part : known->parts)
             {
                 if (part.first_item > *index)
                     break;
                 offset = part.offset;
                 place = *index - part.first_item;
             }
             jobs_.read_record(
                 offset,
                 [place, done](std::error_code result,
                               const proto::JobRecord& record)
                 {
                     const auto& items = part_of(record).items();
                     if (!result &&
                         place >= static_cast<std::uint32_t>(items.size()))
                         result = make_error_code(result_code::log_unavailable);
                     done(result, result
                                      ? std::string()
                                      : items[static_cast<int>(place)].body());
                 });
         });
}

void results::read_part(
    const state::batch_job& job, std::size_t part,
    std::function<void(std::error_code, const proto::JobRecord&)> done)
{
    jobs_.read_record(job.parts[part].offset, std::move(done));
}

void results::cancel(const std::string& job,
                     std::function<void(std::error_code)> done)
{
    find(job,
         [this, job, done = std::move(done)](std::error_code ec,
                                             const state::batch_job* known)
         {
             if (!ec && known == nullptr)
                 ec = make_error_code(result_code::unknown_job);
             if (ec || known->cancelled)
                 return done(ec);
             proto::JobRecord record;
             record.mutable_end()->set_job(job);
             common::log_info("job_end_asked", {{"job", job}});
             jobs_.append({record}, false,
                          [this, done](std::error_code result, std::uint64_t)
                          {
                              if (!result)
                                  jobs_.confirm(milliseconds(0),
                                                [](std::error_code) {});
                              done(result);
                          });
         });
}

} // namespace tanagertrack::batch
