#include "../standins/standins.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

/// Ten entry VMs in three regions. The four of one region are killed and started again while the store turns them away.
/// None of them can register its new start, so each takes the others for dead and sends to cold endpoints as if it were
/// their only owner.
namespace {

using namespace Review;

constexpr double coldPerSecond = 2.7;
constexpr double coldSeconds = 3;
/// cold_per_s x cold_overshoot + cold_slack of the settings.
constexpr double bound = coldPerSecond * 1.5 + 5;
constexpr double work = 0.1;
constexpr double pause = 0.08;
constexpr int killed = 4;

auto run(Record& record) -> int
{
    Store store;
    const std::map<std::string, std::string> zones { { "sthlm-a", "sthlm" }, { "sthlm-b", "sthlm" }, { "gbg-a", "gbg" },
        { "gbg-b", "gbg" }, { "malmo-a", "malmo" }, { "malmo-b", "malmo" } };
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    const auto addEndpoint = [&](const std::string& id, const std::string& zone, double cold) {
        endpoints.push_back(std::make_unique<Endpoint>(
            store, Endpoint::Settings { id, "lagersok", zone, 3, 9, cold }, [](const Message&) { return work; }));
        endpoints.back()->start();
    };
    int number = 0;
    const std::map<std::string, int> counts { { "sthlm-a", 1 }, { "sthlm-b", 1 }, { "gbg-a", 2 }, { "gbg-b", 2 },
        { "malmo-a", 3 }, { "malmo-b", 3 } };
    for (const auto& [zone, count] : counts) {
        for (int index = 0; index < count; ++index)
            addEndpoint("i-" + std::to_string(++number), zone, 0);
    }
    store.put("config", "main",
        configuration(1, json::array({ service("lagersok", coldPerSecond, "3s") }),
            json::array({ route({ "r-1", "/stock/", "idempotent", "lagersok", "3000ms", "400ms" }) })));
    std::vector<std::unique_ptr<Machine>> machines;
    const auto addMachine = [&](const std::string& zone, int index) {
        const auto ip = machineIp(static_cast<int>(machines.size()));
        const auto name = "front-" + zone + '-' + std::to_string(index);
        machines.push_back(
            std::make_unique<Machine>(name, Place { zone, zones.at(zone) }, ip, freePorts(ip), store.openDoor(name)));
    };
    for (const std::string zone : { "sthlm-a", "sthlm-b", "gbg-a", "malmo-a" }) {
        addMachine(zone, 1);
        addMachine(zone, 2);
    }
    addMachine("gbg-b", 1);
    addMachine("malmo-b", 1);
    for (auto& machine : machines) {
        machine->setDeployment(zones, { machines[0]->control(), machines[4]->control(), machines[6]->control() });
        machine->start();
    }
    for (auto& machine : machines) {
        if (!machine->waitUntilReady(15))
            cannotRun(record, machine->name() + " is not ready");
    }
    record.line("10 VMs are ready; 12 endpoints");
    Traffic traffic;
    std::vector<std::thread> clients;
    for (int index = 0; index < killed; ++index) {
        for (int client = 0; client < 14; ++client)
            clients.emplace_back([&, index, client] {
                traffic.runClient(
                    *machines[index], std::string("c") + std::to_string(index) + "-" + std::to_string(client), pause);
            });
    }
    sleepFor(6);
    if (hasTrouble()) {
        for (int index = 0; index < killed; ++index)
            store.turnAway(machines[index]->name(), true);
        for (int index = 0; index < killed; ++index)
            machines[index]->signal(SIGKILL);
        record.line("the 4 VMs of sthlm are killed; the store answers them 503 from now on");
        for (int index = 0; index < killed; ++index)
            machines[index]->waitForEnd(2);
        sleepFor(0.5);
        for (int index = 0; index < killed; ++index)
            machines[index]->start();
    } else {
        sleepFor(0.5);
    }
    sleepFor(4.5);
    for (int index = 0; index < killed; ++index)
        record.line(machines[index]->name() + (machines[index]->isReady() ? " is ready" : " is not ready"));
    const auto firstNew = endpoints.size();
    for (int index = 0; index < 3; ++index)
        addEndpoint("i-new-" + std::to_string(index + 1), index == 1 ? "sthlm-b" : "sthlm-a", coldSeconds);
    record.line("scale_out: 3 endpoints of sthlm start, cold for 3 s");
    sleepFor(coldSeconds + 0.5);
    for (int index = 0; index < killed; ++index)
        store.turnAway(machines[index]->name(), false);
    if (hasTrouble())
        record.line("the store serves the 4 VMs again");
    traffic.isOn = false;
    for (auto& client : clients)
        client.join();
    record.line(traffic.count.describe("/stock/"));
    int most = 0;
    for (auto index = firstNew; index < endpoints.size(); ++index)
        most = std::max(most, traffic.mostInOneSecond(*endpoints[index], record));
    record.line("allowed: " + std::to_string(bound) + "; most: " + std::to_string(most));
    return most > bound ? 1 : 0;
}

} // namespace

auto main(int count, char** arguments) -> int { return Review::runCase(count, arguments, run); }
