#include "batch/results.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"
#include "common/timer_wait.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::batch
{

using common::result_code;
using std::chrono::milliseconds;

namespace
{

/// Maximum number of results in a page.
constexpr std::size_t max_page_results = 256;

} // namespace

/// A running read of a page of results.
struct results::page_read
{
    explicit page_read(boost::asio::io_context& context) : timer(context)
    {
    }

    std::string job;
    std::size_t after = 0;
    std::size_t max_bytes = 0;
    common::time_point wait_deadline;
    common::time_point as_of;
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
        resume_reads(job.id);
    };
    jobs_.add_listener(std::move(listener));
}

void results::find(const std::string& job, job_handler done)
{
    if (const auto* known = jobs_.table().find(job))
        return done({}, known);
    find_current(job, common::clock::now(), std::move(done));
}

void results::find_current(const std::string& job, common::time_point as_of,
                           job_handler done)
{
    jobs_.confirm(as_of, [this, job, done = std::move(done)](std::error_code ec)
                  { done(ec, ec ? nullptr : jobs_.table().find(job)); });
}

void results::read(const std::string& job, std::size_t after,
                   std::size_t max_bytes, milliseconds wait,
                   common::time_point as_of,
                   std::function<void(const results_page&)> done)
{
    const auto request = std::make_shared<page_read>(context_);
    request->job = job;
    request->after = after;
    request->max_bytes = max_bytes;
    request->wait_deadline = common::clock::now() + wait;
    request->as_of = as_of;
    request->done = std::move(done);
    request->page.next = after;
    find(job,
         [this, request](std::error_code ec, const state::batch_job* known)
         {
             if (ec)
                 return finish_read(request, ec);
             if (known == nullptr)
                 return finish_read(request,
                                    make_error_code(result_code::unknown_job));
             read_or_wait(request);
         });
}

void results::read_or_wait(const page_read_ptr& request)
{
    const auto* known = jobs_.table().find(request->job);
    if (known == nullptr)
        return finish_read(request, make_error_code(result_code::unknown_job));
    request->page.items = known->items.size();
    if (known->results.size() > request->after)
        return read_texts(request);

    // The log is followed anyway, so a read that waits mostly needs no call of
    // its own to the store. While the store is out of reach, the read fails at
    // once instead of waiting in vain.
    if (common::clock::now() < request->wait_deadline && jobs_.reachable())
        return wait(request);
    confirm_end(request);
}

void results::confirm_end(const page_read_ptr& request)
{
    jobs_.confirm(request->as_of,
                  [this, request](std::error_code ec)
                  {
                      if (ec)
                          return finish_read(request, ec);
                      const auto* job = jobs_.table().find(request->job);
                      if (job != nullptr &&
                          job->results.size() > request->after)
                          return read_texts(request);
                      finish_read(request, {});
                  });
}

void results::wait(const page_read_ptr& request)
{
    request->waiting = true;
    waiting_.emplace(request->job, request);
    common::wait_until(request->timer, request->wait_deadline,
                       [this, request](const auto& ec)
                       {
                           if (ec || !std::exchange(request->waiting, false))
                               return;
                           const auto [begin, end] =
                               waiting_.equal_range(request->job);
                           for (auto it = begin; it != end; ++it)
                           {
                               if (it->second != request)
                                   continue;
                               waiting_.erase(it);
                               break;
                           }
                           confirm_end(request);
                       });
}

void results::resume_reads(const std::string& job)
{
    const auto [begin, end] = waiting_.equal_range(job);
    std::vector<page_read_ptr> ready;
    for (auto it = begin; it != end; ++it)
        ready.push_back(it->second);
    waiting_.erase(begin, end);
    for (const auto& request : ready)
    {
        request->waiting = false;
        request->timer.cancel();
        read_or_wait(request);
    }
}

void results::read_texts(const page_read_ptr& request)
{
    const auto* job = jobs_.table().find(request->job);
    const bool has_more = job != nullptr &&
                          request->page.next < job->results.size() &&
                          request->page.results.size() < max_page_results &&
                          request->bytes < request->max_bytes;
    if (!has_more)
        return finish_read(request, {});
    const auto& item = job->items[job->results[request->page.next]];
    texts_.read(item.text,
                [this, request](std::error_code ec, const proto::ItemText& text)
                { handle_text(request, ec, text); });
}

void results::handle_text(const page_read_ptr& request, std::error_code ec,
                          const proto::ItemText& text)
{
    const auto* job = jobs_.table().find(request->job);
    if (ec || job == nullptr)
    {
        // Results that were read before the failure are returned as a page.
        return finish_read(request,
                           request->page.results.empty()
                               ? make_error_code(result_code::log_unavailable)
                               : std::error_code());
    }
    const bool exceeds_limit =
        !request->page.results.empty() &&
        request->bytes + text.text().size() > request->max_bytes;
    if (exceeds_limit)
        return finish_read(request, {});
    const auto& item = job->items[job->results[request->page.next]];
    request->bytes += text.text().size();
    request->page.results.push_back({item.state, text});
    ++request->page.next;
    read_texts(request);
}

void results::finish_read(const page_read_ptr& request, std::error_code ec)
{
    request->page.ec = ec;
    auto done = std::exchange(request->done, nullptr);
    done(request->page);
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

             // The item is in the last part that does not start after it.
             std::uint64_t offset = 0;
             std::uint32_t index_in_part = 0;
             for (const auto& part : known->parts)
             {
                 if (part.first_item > *index)
                     break;
                 offset = part.offset;
                 index_in_part = *index - part.first_item;
             }
             jobs_.read_record(
                 offset,
                 [index_in_part, done](std::error_code result,
                                       const proto::JobRecord& record)
                 {
                     const auto& items = part_of(record).items();
                     if (!result && index_in_part >= static_cast<std::uint32_t>(
                                                         items.size()))
                         result = make_error_code(result_code::log_unavailable);
                     done(result,
                          result
                              ? std::string()
                              : items[static_cast<int>(index_in_part)].body());
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
                                  jobs_.read_soon();
                              done(result);
                          });
         });
}

} // namespace tanagertrack::batch
