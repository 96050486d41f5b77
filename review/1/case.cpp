#include "../standins/standins.h"

#include <csignal>
#include <cstdio>

/// Two entry VMs, three endpoints, an idempotent route. Twelve clients ask for work of 1.9 s; one VM gets SIGTERM while
/// the endpoints are at work. It breaks the requests off and answers 502.
namespace {

using namespace Review;

constexpr double shortWork = 0.19;
constexpr double longWork = 1.9;
constexpr double grace = 6;
/// As many as the endpoints have slots.
constexpr std::size_t requestCount = 12;

auto ask(const Machine& machine, const std::string& id, const std::string& target) -> Reply
{
    return send({ machine.ip(), machine.front(), "GET", target,
        { { "Host", host }, { "Attempt-Id", id }, { "Request-Deadline", "3000" } }, "", 4 });
}

auto run(Record& record) -> int
{
    Store store;
    const std::map<std::string, std::string> zones { { "atl-a", "atl" }, { "atl-b", "atl" } };
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int index = 0; index < 3; ++index) {
        endpoints.push_back(std::make_unique<Endpoint>(store,
            Endpoint::Settings {
                "i-" + std::to_string(index + 1), "stockview", index == 1 ? "atl-b" : "atl-a", 4, 9, 0 },
            [](const Message& request) { return request.target.starts_with("/stock/large") ? longWork : shortWork; }));
        endpoints.back()->start();
    }
    store.put("config", "main",
        configuration(1, json::array({ service("stockview", 4, "3s") }),
            json::array({ route({ "r-1", "/stock/", "idempotent", "stockview", "3000ms", "400ms" }) })));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int index = 0; index < 2; ++index) {
        const auto ip = machineIp(index);
        const std::string zone = index == 0 ? "atl-a" : "atl-b";
        const auto name = "front-" + zone + "-1";
        machines.push_back(
            std::make_unique<Machine>(name, Place { zone, "atl" }, ip, freePorts(ip), store.openDoor(name)));
    }
    for (auto& machine : machines) {
        machine->setDeployment(zones, { machines[0]->control(), machines[1]->control() });
        machine->start();
    }
    for (auto& machine : machines) {
        if (!machine->waitUntilReady(10))
            cannotRun(record, machine->name() + " is not ready");
    }
    record.line("both VMs are ready");
    sleepFor(4);
    for (int index = 0; index < 40; ++index) {
        const auto reply
            = ask(*machines[index % 2], "warm-" + std::to_string(index), "/stock/" + std::to_string(index));
        if (reply.status != 200)
            cannotRun(record, "a request before the test got " + describe(reply));
    }
    record.line("40 requests of 0.19 s were served");
    std::vector<Reply> replies(requestCount);
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < replies.size(); ++index) {
        clients.emplace_back([&, index] {
            const auto id = "large-" + std::to_string(index);
            replies[index] = ask(*machines[0], id, "/stock/large/" + std::to_string(index));
        });
    }
    sleepFor(0.4);
    const double sigterm = now();
    if (hasTrouble()) {
        machines[0]->signal(SIGTERM);
        record.line("SIGTERM to " + machines[0]->name());
    }
    for (auto& client : clients)
        client.join();
    sleepFor(0.5);
    int broken = 0;
    for (std::size_t index = 0; index < replies.size(); ++index) {
        const auto id = "large-" + std::to_string(index);
        const auto& reply = replies[index];
        record.line(id + ": sent at " + std::to_string(reply.sent) + ", answered " + describe(reply) + " at "
            + std::to_string(reply.answered));
        bool wasCut = false;
        for (const auto& endpoint : endpoints) {
            for (const auto& arrival : endpoint->arrivals()) {
                if (arrival.id != id)
                    continue;
                record.line("    at " + endpoint->id() + " from " + std::to_string(arrival.started) + " to "
                    + std::to_string(arrival.ended) + ": " + arrival.outcome);
                wasCut = wasCut || arrival.outcome == "cut";
            }
        }
        // LOST, after a SIGTERM: the request was broken off at an endpoint that was at work, and got an answer that is
        // not the endpoint's, before its deadline and the route's timeout and before the last sixth of grace.
        const bool isInTime
            = reply.answered - reply.sent < 2.9 && reply.answered > sigterm && reply.answered < sigterm + grace * 5 / 6;
        const bool isOwn = reply.status == 0 || (reply.status >= 500 && !reply.headers.contains("server-seal"));
        if (hasTrouble() && wasCut && isOwn && isInTime)
            ++broken;
    }
    record.line(
        std::to_string(broken) + " of 12 requests were broken off after SIGTERM while their endpoint was at work");
    if (hasTrouble())
        machines[0]->waitForEnd(grace);
    return broken > 0 ? 1 : 0;
}

} // namespace

auto main(int count, char** arguments) -> int { return Review::runCase(count, arguments, run); }
