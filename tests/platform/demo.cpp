#include "platform/platformsite.h"

#include <csignal>
#include <iostream>

namespace {

using PlatformTest::PlatformSite;

constexpr int requestCount = 200;

/// Sends a request as a caller that tries the other entry VM when it gets no answer. Returns the status, or 0.
auto sendWithFailover(PlatformSite& site, int entryVm, const std::string& id) -> int
{
    if (const auto reply = site.send(entryVm, id))
        return reply->status;
    const auto second = site.send(1 - entryVm, id);
    return second ? second->status : 0;
}

/// Sends requests to both entry VMs in turn, prints the count of each status, and returns the number of successes.
auto sendRequests(PlatformSite& site, const std::string& label) -> int
{
    std::map<int, int> statuses;
    for (int request = 0; request < requestCount; ++request) {
        ++statuses[sendWithFailover(site, request % 2, label + '-' + std::to_string(request))];
    }
    std::cout << label << ":";
    for (const auto& [status, count] : statuses)
        std::cout << ' ' << count << " x " << status;
    std::cout << '\n';
    return statuses[200];
}

} // namespace

/// Runs two entry VM processes on the platform adapter, with stand-ins for the platform's store and the upstreams.
auto main() -> int
{
    PlatformSite site(DRAGONFLYWINCH_BINARY, {});
    site.configure(1);
    for (int vm = 0; vm < 2; ++vm)
        site.startEntryVm(vm);
    for (int vm = 0; vm < 2; ++vm)
        site.waitUntilReady(vm);
    int served = sendRequests(site, "calm");
    site.registerUpstream(0, "draining");
    served += sendRequests(site, "draining");
    site.objects().setUnavailable(true);
    served += sendRequests(site, "store-away");
    site.objects().setUnavailable(false);
    site.process(1).signal(SIGTERM);
    served += sendRequests(site, "stopping");
    std::size_t ranTwice = 0;
    for (const auto& [id, count] : site.runs())
        ranTwice += count > 1 ? 1 : 0;
    std::cout << served << " of " << 4 * requestCount << " served, " << ranTwice
              << " ran twice; the log of one request:\n";
    for (const auto& line : site.process(0).lines()) {
        if (line.find("\"calm-0\"") != std::string::npos)
            std::cout << line << '\n';
    }
    return served == 4 * requestCount && ranTwice == 0 ? 0 : 1;
}
