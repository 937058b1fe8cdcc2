#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <cpprest/http_client.h>
#include <list>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;

namespace {

/// An upstream that answers every request except one: it executes the first request at position `droppedPosition` of a
/// connection, counted from 1, and then closes the connection without an answer.
class DroppingUpstream {
public:
    explicit DroppingUpstream(int droppedPosition)
        : droppedPosition_(droppedPosition)
        , acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , acceptThread_([this] { acceptAll(); })
    {
    }
    ~DroppingUpstream()
    {
        isStopped_ = true;
        tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint());
        acceptThread_.join();
        boost::system::error_code ignored;
        for (tcp::socket& socket : sockets_)
            socket.shutdown(tcp::socket::shutdown_both, ignored);
        for (std::thread& thread : threads_)
            thread.join();
    }
    DroppingUpstream(const DroppingUpstream&) = delete;
    DroppingUpstream& operator=(const DroppingUpstream&) = delete;

    web::uri uri() const { return web::uri("http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())); }
    int executed() const { return executed_; }
    bool hasDropped() const { return hasDropped_; }

private:
    void acceptAll()
    {
        for (;;) {
            tcp::socket& socket = sockets_.emplace_back(context_);
            acceptor_.accept(socket);
            if (isStopped_)
                return;
            threads_.emplace_back([this, &socket] {
                for (int number = 1; serveOne(socket, number); ++number) { }
                boost::system::error_code ignored;
                socket.shutdown(tcp::socket::shutdown_both, ignored);
            });
        }
    }

    bool serveOne(tcp::socket& socket, int number)
    {
        std::string request;
        boost::system::error_code error;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return false;
        ++executed_;
        if (number == droppedPosition_ && !hasDropped_.exchange(true))
            return false;
        boost::asio::write(
            socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), error);
        return !error;
    }

    const int droppedPosition_;
    std::atomic<bool> isStopped_ = false;
    std::atomic<bool> hasDropped_ = false;
    std::atomic<int> executed_ = 0;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::list<tcp::socket> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptThread_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClientResend)

// Shows why requests that must not run twice use a new client: if an upstream executes a POST and closes a pooled
// connection before it answers, cpprest's client considers the connection stale and resends the POST. If this test
// fails, cpprest has changed, and the precautions against resending may no longer be needed.
BOOST_AUTO_TEST_CASE(aPooledClientResendsAPost)
{
    DroppingUpstream upstream(2);
    web::http::client::http_client pooled(upstream.uri());
    int sent = 0;
    // A connection returns to the pool shortly after its answer, so not every request reuses one.
    while (!upstream.hasDropped()) {
        BOOST_TEST(pooled.request("POST", "/").get().status_code() == 200);
        ++sent;
    }
    BOOST_TEST(upstream.executed() == sent + 1);
}

BOOST_AUTO_TEST_CASE(aNewClientSendsAPostOnce)
{
    DroppingUpstream upstream(1);
    web::http::client::http_client fresh(upstream.uri());
    BOOST_CHECK_THROW(fresh.request("POST", "/").get(), web::http::http_exception);
    BOOST_TEST(upstream.executed() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
