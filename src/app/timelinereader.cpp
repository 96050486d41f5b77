#include "app/timelinereader.h"

#include "adminfront/timelinequery.h"
#include "httpclient/httpclient.h"
#include "timelinecodec/timelinecodec.h"

#include <fstream>

namespace App {

namespace {

    namespace http = boost::beast::http;

    constexpr Core::Millis pageTimeout { 3000 };
    constexpr std::size_t pageSize = 1000;
    /// Limits the entries that one entry VM can make the reader hold.
    constexpr std::size_t maximumPages = 200;
    constexpr int httpVersion = 11;

    auto unreachable(const std::string& detail) -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::Unreachable, "the timeline cannot be fetched: " + detail,
            "check that the process is running; if it is not, read its log with --file");
    }

    auto fetchPage(const Core::Address& address, const Timeline::PageQuery& query) -> Core::Result<Timeline::Page>
    {
        boost::asio::io_context context;
        HttpClient::Client client(context);
        HttpClient::HttpRequest request { http::verb::get, AdminFront::encodeTimelineQuery(query), httpVersion };
        request.set(http::field::host, address.value());
        request.keep_alive(false);
        Core::Result<Timeline::Page> page = unreachable("no answer");
        client.send({ address, std::move(request), pageTimeout },
            [&page](const tl::expected<HttpClient::Exchange, HttpClient::Failure>& result) {
                if (!result)
                    page = unreachable(result.error().detail);
                else if (result->response.result() != http::status::ok)
                    page = unreachable("status " + std::to_string(result->response.result_int()));
                else
                    page = TimelineCodec::decodePage(result->response.body());
            });
        context.run();
        return page;
    }

} // namespace

auto fetchTimeline(const Core::Address& address, const Timeline::Filter& filter) -> TimelineSource
{
    TimelineSource source { address.value(), {}, 0, {} };
    Timeline::PageQuery query { filter, {}, pageSize };
    for (std::size_t pages = 0; pages < maximumPages; ++pages) {
        auto page = fetchPage(address, query);
        if (!page) {
            source.error = page.error();
            return source;
        }
        source.dropped = page->dropped;
        source.entries.insert(source.entries.end(), page->entries.begin(), page->entries.end());
        if (!page->hasMore || page->entries.empty())
            return source;
        query.after = page->entries.back().time;
    }
    source.error = Core::Error { Core::ErrorKind::TooLarge, "the timeline has too many entries",
        "select fewer with --request, --vm, --kind or --since" };
    return source;
}

auto readTimelineFile(const std::string& path, const Timeline::Filter& filter) -> TimelineSource
{
    TimelineSource source { path, {}, 0, {} };
    std::ifstream stream(path);
    if (!stream) {
        source.error = Core::Error { Core::ErrorKind::NotFound, "the file cannot be read", "check the file name" };
        return source;
    }
    std::string line;
    while (std::getline(stream, line)) {
        auto entry = TimelineCodec::decodeEntry(line);
        if (entry && filter.matches(*entry))
            source.entries.push_back(std::move(*entry));
    }
    return source;
}

} // namespace App
