#include "../standins/standins.h"

#include <cstdio>

/// Two entry VMs and one service. Its first route is for reports of 1.6 s. The second configuration adds a route for
/// quick status requests with a timeout of 1 s. The VMs expect that each request takes as long as a report, and refuse
/// all of the new route's.
namespace {

using namespace Review;

constexpr double reportWork = 1.6;
constexpr double statusWork = 0.05;
constexpr double configBound = 2.5;
constexpr double measured = 12;

struct Traffic {
    std::atomic<bool> isOn { true };
    std::atomic<bool> isMeasured { false };
    std::mutex mutex;
    Count reports;
    Count status;
    std::string refusal;
};

auto runClient(Traffic& traffic, const Machine& machine, const std::string& name, bool isStatus) -> void
{
    for (int index = 0; traffic.isOn; ++index) {
        const auto id = name + '-' + std::to_string(index);
        const bool isMeasured = traffic.isMeasured;
        const auto reply = send({ machine.ip(), machine.front(), "GET", (isStatus ? "/status/" : "/audit/") + id,
            { { "Host", host }, { "Attempt-Id", id }, { "Request-Deadline", isStatus ? "1000" : "8000" } }, "", 9 });
        if (isMeasured) {
            const std::lock_guard lock(traffic.mutex);
            auto& count = isStatus ? traffic.status : traffic.reports;
            count.add(reply);
            if (isStatus && reply.status == 503)
                traffic.refusal = reply.body;
        }
        // As clients do, the next one waits as long as the answer says.
        const auto wait = reply.headers.find("retry-after");
        sleepFor(wait == reply.headers.end() ? 0.3 : std::stod(wait->second));
    }
}

auto run(Record& record) -> int
{
    Store store;
    const std::map<std::string, std::string> zones { { "atl-a", "atl" }, { "atl-b", "atl" } };
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int index = 0; index < 6; ++index) {
        endpoints.push_back(std::make_unique<Endpoint>(store,
            Endpoint::Settings {
                "i-" + std::to_string(index + 1), "tallyrun", index % 2 == 0 ? "atl-a" : "atl-b", 4, 9, 0 },
            [](const Message& request) { return request.target.starts_with("/audit/") ? reportWork : statusWork; }));
        endpoints.back()->start();
    }
    const auto services = json::array({ service("tallyrun", 4, "3s") });
    const auto first = route({ "r-1", "/audit/", "idempotent", "tallyrun", "8000ms", "2000ms", 2, 1 });
    const auto later = route({ "r-2", "/status/", "idempotent", "tallyrun", "1000ms", "200ms", 2, 0 });
    store.put("config", "main", configuration(1, services, json::array({ first })));
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
    sleepFor(4);
    record.line("the VMs are ready; 8 clients ask for reports, one after the other");
    Traffic traffic;
    std::vector<std::thread> clients;
    const auto addClients = [&](int number, bool isStatus) {
        for (int index = 0; index < number; ++index)
            clients.emplace_back([&, index, isStatus] {
                runClient(traffic, *machines[index % 2], (isStatus ? "s" : "a") + std::to_string(index), isStatus);
            });
    };
    addClients(8, false);
    sleepFor(8);
    if (hasTrouble()) {
        store.put("config", "main", configuration(2, services, json::array({ first, later })));
        record.line("version 2 adds the route /status/");
        sleepFor(configBound + 1);
        addClients(6, true);
    }
    sleepFor(2);
    record.line("steady state: counting for 12 s");
    traffic.isMeasured = true;
    sleepFor(measured);
    traffic.isOn = false;
    for (auto& client : clients)
        client.join();
    record.line(traffic.reports.describe("/audit/ (the first route)"));
    record.line(traffic.status.describe("/status/ (added later)"));
    if (!traffic.refusal.empty())
        record.line("a refusal says: " + traffic.refusal.substr(0, traffic.refusal.find('\n')));
    if (traffic.reports.asked < 20 || (hasTrouble() && traffic.status.asked < 20))
        cannotRun(record, "too few requests");
    // CONFIG: in steady state, 20 or more requests on routes that were added later, served less than a quarter as often
    // as those on the first routes.
    if (traffic.status.asked < 20)
        return 0;
    const double firstShare = static_cast<double>(traffic.reports.served) / traffic.reports.asked;
    const double laterShare = static_cast<double>(traffic.status.served) / traffic.status.asked;
    return laterShare < firstShare / 4 ? 1 : 0;
}

} // namespace

auto main(int count, char** arguments) -> int { return Review::runCase(count, arguments, run); }
