// A request crashes each endpoint that begins to run it. The machines learn to refuse it. Then they are restarted one
// after the other, as for a new version of the system. A machine that has restarted knows nothing of the request, and
// nobody tells it: it sends the request to further endpoints, which crash.
#include "standins.h"

using namespace Review;

namespace {

constexpr int machineCount = 4;
constexpr int endpointCount = 12;
/// Bounds of sites/pcs-stakes.toml.
constexpr long stabilityWindow = 3000;
const std::string poisoned = "/lepu270/666";
/// Bookings of other callers, which run at the same endpoints.
const std::string bookings = "/xapu221/";
constexpr int bookingClients = 12;

/// Endpoints that are down for some seconds after a crash, and then start again under another id.
class CrashingService {
public:
    explicit CrashingService(Case& test)
        : m_test(test)
    {
        const std::lock_guard lock(m_mutex);
        for (int i = 0; i < endpointCount; ++i)
            add(i % 2 == 0 ? "atl-a" : "sav-a");
    }
    /// Times at which the request reached an endpoint that crashed.
    auto crashes() -> std::vector<std::pair<long, std::string>>
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

private:
    auto add(const std::string& zone) -> void
    {
        m_servers.push_back(
            std::make_unique<Server>(m_test.record, Case::ip(201), "i-" + std::to_string(m_servers.size()), "stockview",
                zone, 0, [this, zone](Server& server, Connection& connection, const Message& request) {
                    if (request.target() != poisoned || !m_test.hasTrouble) {
                        sleepMs(request.target().rfind(bookings, 0) == 0 ? 300 : 30);
                        return connection.send(responseText(200, server.goodHeaders(request), "stock"));
                    }
                    crash(server, zone, request.header("Attempt-Id"));
                    return false;
                }));
        m_servers.back()->registerIn(m_test.store, "ready", 4);
    }
    auto crash(Server& server, const std::string& zone, const std::string& id) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_crashes.emplace_back(nowMs(), id);
        }
        m_test.record.line("endpoint " + server.id() + " crashes");
        server.end();
        std::thread([this, &server, zone] {
            sleepMs(3000);
            {
                const std::lock_guard lock(m_mutex);
                add(zone);
            }
            // Three heartbeat intervals of silence.
            sleepMs(1500);
            m_test.store.remove("servers", server.id());
        }).detach();
    }

    Case& m_test;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::pair<long, std::string>> m_crashes;
};

} // namespace

auto main() -> int
{
    const bool restarts = std::getenv("RESTARTS") == nullptr || std::string(std::getenv("RESTARTS")) != "0";
    Case test;
    Deployment deployment;
    test.addMachine(deployment, "front-atl-a-1", "atl-a");
    test.addMachine(deployment, "front-atl-b-1", "atl-b");
    test.addMachine(deployment, "front-sav-a-1", "sav-a");
    test.addMachine(deployment, "front-mac-a-1", "mac-a");
    CrashingService service(test);
    test.store.put("config", "main",
        configuration(3, { "stockview" },
            json::array({ route("r-1", "/lepu270/", "idempotent", "stockview", "3000ms", "400ms"),
                route("r-2", "/xapu221/", "non_idempotent", "stockview", "4000ms", "600ms") })));
    if (!test.startAll())
        test.end(2, "the processes do not start");
    sleepMs(4000);

    std::atomic<bool> isEnding { false };
    std::atomic<int> booked { 0 };
    std::atomic<int> cut { 0 };
    std::vector<std::thread> clients;
    for (int client = 0; client < bookingClients; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; !isEnding; ++number) {
                const auto& machine = *test.machines[static_cast<std::size_t>(client % machineCount)];
                const auto id = "b" + std::to_string(client) + '-' + std::to_string(number);
                const auto connection = Connection::open(machine.front());
                Message answer;
                if (connection && connection->send(requestText("POST", bookings + id, id, 4000, "stakes")))
                    answer = connection->read(4500);
                booked += answer.status() == 200 ? 1 : 0;
                if (answer.status() == 502) {
                    ++cut;
                    test.record.line("booking " + id + " at " + machine.name() + ": 502, outcome unknown");
                }
                if (answer.status() != 200)
                    sleepMs(200);
            }
        });
    }
    int number = 0;
    const auto ask = [&](Machine& machine, const std::string& target) {
        const auto id = (target == poisoned ? "p" : "q") + std::to_string(++number);
        const auto connection = Connection::open(machine.front());
        Message answer;
        if (connection && connection->send(requestText("GET", target, id, 3000)))
            answer = connection->read(3500);
        test.record.line(id + " " + target + " at " + machine.name() + ": "
            + (answer.isWhole ? std::to_string(answer.status()) : std::string("no answer")));
        return answer.status();
    };
    // The request comes at each machine, until all of them refuse it.
    for (int round = 0; round < 2; ++round) {
        for (const auto& machine : test.machines) {
            ask(*machine, poisoned);
            sleepMs(400);
        }
    }
    const int cutBefore = cut;
    test.record.line(std::to_string(service.crashes().size()) + " crashes before the restarts");
    // The machines are restarted in turn; each is in touch again, and ready, when the request comes again.
    for (const auto& machine : test.machines) {
        if (test.hasTrouble && restarts) {
            machine->signal(SIGTERM);
            if (!machine->wait(7000))
                test.end(2, machine->name() + " does not end");
            sleepMs(300);
            machine->start({ test.machines[0]->control(), test.machines[1]->control() });
            test.record.line(machine->name() + " starts again");
            if (!machine->waitUntilReady())
                test.end(2, machine->name() + " does not become ready");
        }
        sleepMs(stabilityWindow + 1000);
        for (int i = 0; i < 3; ++i) {
            ask(*machine, poisoned);
            sleepMs(500);
        }
        ask(*machine, "/lepu270/1");
    }
    isEnding = true;
    for (auto& client : clients)
        client.join();
    const auto crashes = service.crashes();
    int late = 0;
    for (const auto& [at, id] : crashes)
        late += crashes.size() >= 3 && at > crashes[2].first + stabilityWindow ? 1 : 0;
    test.end(late > 3 ? 1 : 0,
        std::to_string(crashes.size()) + " endpoints crashed, " + std::to_string(late)
            + " of them more than the stability window after the third; " + std::to_string(booked)
            + " bookings answered, " + std::to_string(cut - cutBefore)
            + " lost their endpoint in a crash after the restarts began");
}
