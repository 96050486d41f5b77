#include "httpforward/httpmessage.h"

#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace HttpForward {

namespace http = boost::beast::http;

auto removeConnectionHeaders(http::fields& fields) -> void
{
    // Copies the names, because erasing a header frees the storage that the token list refers to.
    std::vector<std::string> connectionHeaders;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto header = first; header != last; ++header) {
        for (const auto& token : http::token_list(header->value()))
            connectionHeaders.emplace_back(token);
    }
    for (const auto& name : connectionHeaders)
        fields.erase(name);
    for (const auto field :
        { http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
            http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect })
        fields.erase(field);
}

} // namespace HttpForward
