#include "httpstore/httpobjectstore.h"

#include <charconv>

namespace HttpStore {

namespace {

    namespace http = boost::beast::http;

    constexpr Core::Millis callTimeout { 2000 };
    /// Time that a watch call may take beyond the timeout that it passes to the server.
    constexpr Core::Millis watchTimeoutMargin { 1000 };
    constexpr int httpVersion = 11;

    auto targetOf(const std::string& name) -> std::string { return "/v1/objects/" + name; }

    auto versionOf(const HttpClient::HttpResponse& response) -> Core::Result<Core::Version>
    {
        const auto text = response[http::field::etag];
        std::uint64_t version = 0;
        const auto* end = text.data() + text.size();
        if (text.empty() || std::from_chars(text.data(), end, version).ptr != end) {
            return Core::fail(Core::ErrorKind::InvalidMessage, "the store's response has no valid ETag",
                "check that the store address names the platform's object API");
        }
        return Core::Version(version);
    }

    auto errorFor(const HttpClient::Failure& failure) -> Core::Error
    {
        using HttpClient::FailureStage;
        const std::string remedy = "try again; operators check the platform's store";
        if (failure.stage == FailureStage::BeforeWrite)
            return { Core::ErrorKind::Unreachable, "the store cannot be reached: " + failure.detail, remedy };
        return { Core::ErrorKind::OutcomeUnknown, "the store's answer was lost: " + failure.detail,
            "read the object to check whether the call took effect" };
    }

    auto errorFor(http::status status, const std::string& detail) -> Core::Error
    {
        switch (status) {
        case http::status::not_found:
            return { Core::ErrorKind::NotFound, "the object does not exist", "write it with expected version 0" };
        case http::status::not_modified:
            return { Core::ErrorKind::Timeout, "the object has not changed", "watch again" };
        case http::status::precondition_failed:
            return { Core::ErrorKind::Conflict, "the object has another version",
                "read it and apply the change again" };
        case http::status::payload_too_large:
            return { Core::ErrorKind::TooLarge, "the object is larger than the store accepts", "make it smaller" };
        default:
            return { Core::ErrorKind::Unavailable,
                "the store answered " + std::to_string(static_cast<unsigned>(status)) + ": " + detail,
                "try again later" };
        }
    }

    auto request(http::verb verb, const std::string& target) -> HttpClient::HttpRequest
    {
        HttpClient::HttpRequest request { verb, target, httpVersion };
        request.set(http::field::host, "platform");
        return request;
    }

} // namespace

HttpObjectStore::HttpObjectStore(HttpClient::Client& client, Core::Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

auto HttpObjectStore::read(const std::string& name, ObjectCallback callback) -> void
{
    fetch(targetOf(name), callTimeout, std::move(callback));
}

auto HttpObjectStore::watch(
    const std::string& name, Core::Version after, Core::Duration timeout, ObjectCallback callback) -> void
{
    const auto milliseconds = std::chrono::duration_cast<Core::Millis>(timeout).count();
    const auto target
        = targetOf(name) + "?after=" + std::to_string(after.value()) + "&timeoutMs=" + std::to_string(milliseconds);
    fetch(target, timeout + watchTimeoutMargin, std::move(callback));
}

auto HttpObjectStore::write(const std::string& name, Core::Version expected, std::string text, VersionCallback callback)
    -> void
{
    auto message = request(http::verb::put, targetOf(name));
    message.set(http::field::if_match, std::to_string(expected.value()));
    message.set(http::field::content_type, "application/json");
    message.body() = std::move(text);
    message.prepare_payload();
    m_client.send({ m_address, std::move(message), callTimeout },
        [callback = std::move(callback)](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            if (!result)
                callback(tl::unexpected(errorFor(result.error())));
            else if (result->response.result() != http::status::ok)
                callback(tl::unexpected(errorFor(result->response.result(), result->response.body())));
            else
                callback(versionOf(result->response));
        });
}

auto HttpObjectStore::fetch(const std::string& target, Core::Duration timeout, ObjectCallback callback) -> void
{
    m_client.send({ m_address, request(http::verb::get, target), timeout },
        [callback = std::move(callback)](tl::expected<HttpClient::Exchange, HttpClient::Failure> result) {
            if (!result) {
                callback(tl::unexpected(errorFor(result.error())));
                return;
            }
            if (result->response.result() != http::status::ok) {
                callback(tl::unexpected(errorFor(result->response.result(), result->response.body())));
                return;
            }
            const auto version = versionOf(result->response);
            if (version)
                callback(Ports::StoredObject { *version, std::move(result->response.body()) });
            else
                callback(tl::unexpected(version.error()));
        });
}

} // namespace HttpStore
