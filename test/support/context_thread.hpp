#ifndef TANAGERTRACK_TEST_SUPPORT_CONTEXT_THREAD_HPP
#define TANAGERTRACK_TEST_SUPPORT_CONTEXT_THREAD_HPP

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace tanagertrack::test
{

/// A context that runs on a thread of its own, beside a test that blocks.
class context_thread
{
public:
    ~context_thread()
    {
        stop();
    }

    boost::asio::io_context& context()
    {
        return context_;
    }

    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
    }

    /// Handlers that have not run are dropped with the context.
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }

private:
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_{context_.get_executor()};
    std::thread thread_;
};

} // namespace tanagertrack::test

#endif
