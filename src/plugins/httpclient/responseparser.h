#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <string>

namespace HttpClient::detail {

/// Body of which the parser keeps only what has not been taken yet. Reserves nothing for an announced length.
struct PartBody {
    using value_type = std::string;

    class reader {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        template <class Length> auto init(const Length&, boost::system::error_code& error) -> void { error = {}; }

        template <class Buffers> auto put(const Buffers& buffers, boost::system::error_code& error) -> std::size_t
        {
            error = {};
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
            return boost::asio::buffer_size(buffers);
        }

        auto finish(boost::system::error_code& error) -> void { error = {}; }

    private:
        value_type& m_body;
    };
};

/// Parser of a response. Fails on a head that Beast accepts although it is not valid HTTP, so that such a response is
/// never taken for an answer.
class ResponseParser : public boost::beast::http::response_parser<PartBody> {
    /// Fails with bad_field if the value continues on the next line: a line that begins with a blank may as well be a
    /// field with a broken name, and a gateway may reject it (RFC 9112, section 5.2).
    auto on_field_impl(boost::beast::http::field field, boost::beast::string_view name, boost::beast::string_view value,
        boost::system::error_code& error) -> void override;
    /// Fails with bad_status unless the status is one that HTTP defines (RFC 9110, section 15).
    auto on_header_impl(boost::system::error_code& error) -> void override;
};

} // namespace HttpClient::detail
