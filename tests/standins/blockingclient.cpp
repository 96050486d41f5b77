#include "standins/blockingclient.h"

#include "httpclient/httpclient.h"

#include <boost/asio/io_context.hpp>

namespace StandIns {

namespace {

    namespace http = boost::beast::http;
    constexpr Core::Millis exchangeTimeout { 15'000 };
    constexpr int httpVersion = 11;

    auto replyFrom(HttpClient::HttpResponse response) -> HttpReply
    {
        HttpReply reply;
        reply.status = static_cast<int>(response.result_int());
        for (const auto& field : response)
            reply.headers[std::string(field.name_string())] = std::string(field.value());
        reply.body = std::move(response.body());
        return reply;
    }

} // namespace

auto exchange(const HttpCall& call) -> std::optional<HttpReply>
{
    HttpClient::HttpRequest request { http::string_to_verb(call.method), call.target, httpVersion };
    request.set(http::field::host, call.address.value());
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    request.body() = call.body;
    request.prepare_payload();
    request.keep_alive(false);

    boost::asio::io_context context;
    HttpClient::Client client(context);
    std::optional<HttpReply> reply;
    client.send({ call.address, std::move(request), exchangeTimeout },
        [&reply](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            if (result)
                reply = replyFrom(std::move(result->response));
        });
    context.run();
    return reply;
}

} // namespace StandIns
