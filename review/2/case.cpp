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
constexpr int killed = 4;

struct Traffic {
    std::atomic<bool> isOn { true };
    std::mutex mutex;
    std::map<std::string, double> sent;
    std::map<std::string, int> statuses;
};

/// Sends requests to one VM, one after the other.
auto runClient(Traffic& traffic, const Machine& machine, const std::string& name) -> void
{
    for (int index = 0; traffic.isOn; ++index) {
        const auto id = name + '-' + std::to_string(index);
        {
            const std::lock_guard lock(traffic.mutex);
            traffic.sent[id] = now();
        }
        const auto reply = send({ machine.ip(), machine.front(), "GET", "/stock/" + id,
            { { "Host", host }, { "Attempt-Id", id }, { "Request-Deadline", "3000" } }, "", 4 });
        {
            const std::lock_guard lock(traffic.mutex);
            ++traffic.statuses[reply.status == 0 ? reply.problem : std::to_string(reply.status)];
        }
        sleepFor(0.08);
    }
}

/// Returns the most requests that were sent and arrived inside one second at the cold endpoint.
auto mostInOneSecond(const std::vector<Arrival>& arrivals, const std::map<std::string, double>& sent) -> int
{
    int most = 0;
    for (const auto& first : arrivals) {
        if (!first.isCold || first.outcome == "421")
            continue;
        const double begin = sent.at(first.id);
        most = std::max(most, static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& one) {
            return one.isCold && one.outcome != "421" && sent.at(one.id) >= begin && one.time < begin + 1;
        })));
    }
    return most;
}

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
                runClient(traffic, *machines[index], "c" + std::to_string(index) + '-' + std::to_string(client));
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
    for (const auto& [status, count] : traffic.statuses)
        record.line("answers " + status + ": " + std::to_string(count));
    int most = 0;
    for (auto index = firstNew; index < endpoints.size(); ++index) {
        const auto arrivals = endpoints[index]->arrivals();
        const auto own = mostInOneSecond(arrivals, traffic.sent);
        for (const auto& arrival : arrivals) {
            if (arrival.isCold)
                record.line("    " + endpoints[index]->id() + " at " + std::to_string(arrival.time) + " " + arrival.id
                    + " " + arrival.outcome);
        }
        record.line(endpoints[index]->id() + ": at most " + std::to_string(own) + " requests in one second while cold");
        most = std::max(most, own);
    }
    record.line("allowed: " + std::to_string(bound) + "; most: " + std::to_string(most));
    return most > bound ? 1 : 0;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    Record record(count > 1 ? arguments[1] : "record.txt");
    try {
        return run(record);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
