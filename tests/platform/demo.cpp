#include "platform/platformsite.h"

#include <csignal>
#include <iostream>

namespace {

using PlatformTest::PlatformSite;

constexpr int requestCount = 200;

/// A caller that gets no connection goes to another entry VM.
auto sendOne(PlatformSite& site, int entryVm, const std::string& id) -> int
{
    if (const auto reply = site.send(entryVm, id))
        return reply->status;
    const auto second = site.send(1 - entryVm, id);
    return second ? second->status : 0;
}

/// Sends requests to both entry VMs in turn and tells how they ended.
auto sendRequests(PlatformSite& site, const std::string& label) -> int
{
    std::map<int, int> statuses;
    for (int request = 0; request < requestCount; ++request) {
        ++statuses[sendOne(site, request % 2, label + '-' + std::to_string(request))];
    }
    std::cout << label << ":";
    for (const auto& [status, count] : statuses)
        std::cout << ' ' << count << " x " << status;
    std::cout << '\n';
    return statuses[200];
}

} // namespace

/// Shows the path through platform/: two entry VMs as processes, the platform's store and upstreams as stand-ins.
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
    site.objects().setAway(true);
    served += sendRequests(site, "store-away");
    site.objects().setAway(false);
    site.process(1).signal(SIGTERM);
    served += sendRequests(site, "stopping");
    std::size_t doubled = 0;
    for (const auto& [id, count] : site.runs())
        doubled += count > 1 ? 1 : 0;
    std::cout << served << " of " << 4 * requestCount << " served, " << doubled
              << " ran twice; the log of one request:\n";
    for (const auto& line : site.process(0).lines()) {
        if (line.find("\"calm-0\"") != std::string::npos)
            std::cout << line << '\n';
    }
    return served == 4 * requestCount && doubled == 0 ? 0 : 1;
}
