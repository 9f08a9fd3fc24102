#include "common/io_thread.hpp"

#include "common/logging.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/assert.hpp>
#include <boost/lockfree/queue.hpp>

#include <exception>
#include <pthread.h>
#include <utility>

namespace tanagertrack::common
{

namespace asio = boost::asio;

namespace
{

/// A fixed-size lock-free queue holds at most 65,535 nodes, because its indexes
/// have 16 bits. This limit leaves a margin.
constexpr std::size_t max_queue_capacity = 65000;

} // namespace

struct io_thread::impl
{
    explicit impl(std::size_t capacity)
        : queue(capacity), work(asio::make_work_guard(context))
    {
    }

    asio::io_context context{1};
    boost::lockfree::queue<task*, boost::lockfree::fixed_sized<true>> queue;
    asio::executor_work_guard<asio::io_context::executor_type> work;
};

io_thread::io_thread(std::string name, std::size_t queue_capacity)
    : name_(std::move(name)), impl_(std::make_unique<impl>(queue_capacity))
{
    BOOST_ASSERT(name_.size() <= 15);
    BOOST_ASSERT(queue_capacity >= 1 && queue_capacity <= max_queue_capacity);
}

io_thread::~io_thread()
{
    stop();
    impl_->queue.consume_all([](task* it) { delete it; });
}

void io_thread::start()
{
    BOOST_ASSERT(!thread_.joinable());
    thread_ = std::thread([this] { run(); });
    pthread_setname_np(thread_.native_handle(), name_.c_str());
}

void io_thread::stop()
{
    impl_->context.stop();
    if (thread_.joinable())
        thread_.join();
}

bool io_thread::post(task work)
{
    auto holder = std::make_unique<task>(std::move(work));
    if (!impl_->queue.bounded_push(holder.get()))
        return false;
    holder.release();

    // One scheduled drain runs all tasks that are queued before it starts.
    if (!drain_scheduled_.exchange(true))
        asio::post(impl_->context, [this] { drain(); });
    return true;
}

void io_thread::post_completion(task work)
{
    asio::post(impl_->context, std::move(work));
}

asio::io_context& io_thread::context()
{
    return impl_->context;
}

bool io_thread::is_current() const
{
    return std::this_thread::get_id() == thread_.get_id();
}

void io_thread::drain()
{
    // Cleared before the queue is read: a task that is queued from here on
    // schedules another drain.
    drain_scheduled_.store(false);
    impl_->queue.consume_all(
        [](task* it)
        {
            const std::unique_ptr<task> holder(it);
            (*holder)();
        });
}

void io_thread::run()
{
    // An exception in a handler is a defect, but it must not terminate the
    // process and with it all other requests.
    for (;;)
    {
        try
        {
            impl_->context.run();
            return;
        }
        catch (const std::exception& e)
        {
            log_error("handler_exception",
                      {{"thread", name_}, {"what", e.what()}});
        }
    }
}

} // namespace tanagertrack::common
