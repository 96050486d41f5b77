// Clients send a request every 60 ms on a connection of their own, whether or not those before have been answered. Two
// of twelve endpoints turn slow for a while, so that more requests than usual are open on a connection. Clients get the
// answers of other requests, and requests that nobody sent anew run again in the place of others.
#include "standins.h"

using namespace Review;

namespace {

// demands/tallyhome-census-grown.toml: srv_slow with share = 0.16, x = 5.0, for_s = 6.5.
constexpr int endpointCount = 12;
constexpr int slowEndpoints = 2;
constexpr long usualWork = 150;
constexpr long slowWork = 5 * usualWork;
constexpr long slowTime = 6500;
constexpr int clientCount = 20;
constexpr long sendInterval = 60;
/// Of `draft-lookup`.
constexpr long deadline = 8000;

/// What the clients saw.
struct Book {
    std::mutex mutex;
    std::map<std::string, std::string> sent;
    int answered = 0;
    int foreign = 0;
    int refusedAsBad = 0;
    int unanswered = 0;
};

/// One connection until an answer is not the one that is due. Returns at the end of the test.
auto useConnection(Case& test, Machine& machine, Book& book, const std::string& name, const std::atomic<bool>& isEnding)
    -> void
{
    const auto connection = Connection::open(machine.front());
    if (!connection) {
        sleepMs(100);
        return;
    }
    std::mutex mutex;
    std::deque<std::string> due;
    std::atomic<bool> isBroken { false };
    std::thread sender([&] {
        for (int number = 0; !isEnding && !isBroken; ++number) {
            const auto id = name + '-' + std::to_string(number);
            const auto target = "/lohu930/" + id;
            {
                const std::lock_guard lock(mutex);
                due.push_back(id);
            }
            {
                const std::lock_guard lock(book.mutex);
                book.sent[id] = target;
            }
            if (!connection->send(requestText("GET", target, id, deadline)))
                break;
            sleepMs(sendInterval);
        }
    });
    while (!isBroken) {
        std::string id;
        {
            const std::lock_guard lock(mutex);
            if (!due.empty()) {
                id = due.front();
                due.pop_front();
            }
        }
        if (id.empty()) {
            if (isEnding)
                break;
            sleepMs(5);
            continue;
        }
        const auto answer = connection->read(deadline);
        const std::lock_guard lock(book.mutex);
        if (!answer.isWhole) {
            ++book.unanswered;
            test.record.line(id + ": no answer");
            isBroken = true;
        } else if (answer.status() == 200 && answer.header("Attempt-Id") != id) {
            ++book.foreign;
            test.record.line(id + ": got 200 with the answer to " + answer.header("Attempt-Id") + ", " + answer.body);
            isBroken = true;
        } else if (answer.status() >= 400 && answer.status() < 500) {
            ++book.refusedAsBad;
            test.record.line(id + ": got " + std::to_string(answer.status()) + ' ' + answer.body);
            isBroken = true;
        } else {
            ++book.answered;
        }
    }
    isBroken = true;
    sender.join();
}

} // namespace

auto main() -> int
{
    if (!Case::raiseDescriptors())
        return 2;
    Case test;
    Deployment deployment;
    deployment.zones = { { "coastal-a", "coastal" }, { "piedmont-a", "piedmont" } };
    auto& machine = test.addMachine(deployment, "front-coastal-a-1", "coastal-a");
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < endpointCount; ++i) {
        servers.push_back(std::make_unique<Server>(test.record, Case::ip(201), "i-" + std::to_string(i), "intake",
            "coastal-a", usualWork, [](Server& server, Connection& connection, const Message& request) {
                return connection.send(
                    responseText(200, server.goodHeaders(request), "draft of " + request.header("Attempt-Id")));
            }));
        servers.back()->registerIn(test.store, "ready", 9);
    }
    test.store.put("config", "main",
        configuration(
            3, { "intake" }, json::array({ route("r-1", "/lohu930/", "idempotent", "intake", "3000ms", "1200ms") })));
    if (!test.startAll())
        test.end(2, "the process does not start");
    sleepMs(2000);

    Book book;
    std::atomic<bool> isEnding { false };
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; !isEnding; ++number)
                useConnection(
                    test, machine, book, "c" + std::to_string(client) + '-' + std::to_string(number), isEnding);
        });
    }
    sleepMs(6000);
    if (test.hasTrouble) {
        test.record.line("two endpoints turn slow");
        for (int i = 0; i < slowEndpoints; ++i)
            servers[static_cast<std::size_t>(i)]->setWork(slowWork);
    }
    sleepMs(slowTime);
    for (const auto& server : servers)
        server->setWork(usualWork);
    test.record.line("no endpoint is slow");
    sleepMs(3000);
    isEnding = true;
    for (auto& client : clients)
        client.join();

    int unasked = 0;
    std::map<std::string, int> runs;
    for (const auto& server : servers) {
        for (const auto& run : server->runs()) {
            ++runs[run.id];
            const auto sent = book.sent.find(run.id);
            if (sent != book.sent.end() && sent->second == run.target)
                continue;
            ++unasked;
            test.record.line("ran at " + server->id() + ", sent by nobody: id '" + run.id + "', " + run.target);
        }
    }
    int again = 0;
    for (const auto& [id, count] : runs)
        again += count > 1 ? 1 : 0;
    test.end(book.foreign > 0 || unasked > 0 ? 1 : 0,
        std::to_string(book.answered) + " answered, " + std::to_string(book.foreign)
            + " got the answer to another request, " + std::to_string(book.refusedAsBad) + " got 4xx, "
            + std::to_string(book.unanswered) + " got no answer; " + std::to_string(unasked) + " ran that nobody sent, "
            + std::to_string(again) + " ran more than once");
}
