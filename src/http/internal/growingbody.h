#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lagoon::http {

/// A message body in a string that grows with the bytes that arrive. Beast's own string body allocates the announced
/// length at once, so that a peer could take memory without sending anything.
struct GrowingBody {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class Reader {
    public:
        template <bool isRequest, typename Fields>
        Reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            const std::size_t before = body_.size();
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers))
                body_.append(static_cast<const char*>(buffer.data()), buffer.size());
            error = {};
            return body_.size() - before;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };

    using reader = Reader;
};

} // namespace lagoon::http
