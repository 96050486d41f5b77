#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Small stand-ins for the platform's store, for endpoints and for clients, and a runner for the product's processes.
/// They speak what PROTOCOL.md says, on loopback addresses and the real clock.
namespace Review {

using nlohmann::json;

/// Seconds since the program started.
auto now() -> double;
auto sleepUntil(double time) -> void;
auto sleepFor(double seconds) -> void;
/// False if the case is to run without its disruption (TROUBLE=0).
auto hasTrouble() -> bool;

/// Writes record.txt in the folder of the case. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    auto line(const std::string& text) -> void;

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

struct Message {
    std::string method;
    std::string target;
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    [[nodiscard]] auto header(const std::string& name) const -> std::string;
};

/// Accepts connections on one loopback address and serves each in a thread of its own.
class Server {
public:
    using Serve = std::function<void(int connection)>;
    /// Listens on a free port if the port is 0.
    Server(const std::string& ip, int port, Serve serve);
    ~Server();
    [[nodiscard]] auto port() const -> int { return m_port; }
    /// Stops listening and resets all connections, as a process that crashes.
    auto crash() -> void;

private:
    auto accept() -> void;
    auto resetConnections() -> void;

    Serve m_serve;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::map<int, bool> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// Reads one message with a length or in chunks. Returns false if the connection ends before it is complete.
auto readMessage(int connection, std::string& buffer, Message& message) -> bool;
auto writeAll(int connection, const std::string& text) -> bool;
auto answerText(int status, const std::map<std::string, std::string>& headers, const std::string& body) -> std::string;

/// The platform's metadata store. Each machine has a door (a port) of its own, so that the store can turn it away.
class Store {
public:
    Store();
    ~Store();
    /// Opens a door for one machine and returns its port.
    auto openDoor(const std::string& machine) -> int;
    /// While set, the store answers each call of the machine with 503, its waiting watches included.
    auto turnAway(const std::string& machine, bool isTurnedAway) -> void;
    /// Writes an object, as the operator or an endpoint does.
    auto put(const std::string& kind, const std::string& name, json spec) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;

private:
    struct Event {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool isDeleted;
    };

    auto serve(const std::string& machine, int connection) -> void;
    auto handle(const std::string& machine, const Message& request) -> std::string;
    auto watch(const std::string& machine, const std::string& kind, std::uint64_t after, double waitSeconds)
        -> std::string;
    auto write(const std::string& kind, const std::string& name, json spec) -> json;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::vector<Event> m_events;
    std::map<std::string, bool> m_isTurnedAway;
    bool m_isStopping = false;
    std::vector<std::unique_ptr<Server>> m_doors;
};

/// What an endpoint saw of one request.
struct Arrival {
    double time = 0;
    std::string id;
    std::string target;
    std::string body;
    /// The endpoint was cold when the request arrived.
    bool isCold = false;
    /// "421", "shed", "ok", "cut" (its connection ended while it ran), "crashed" or "deadline".
    std::string outcome;
    double started = 0;
    double ended = 0;
};

/// An endpoint with slots and a queue. It drops a request when its connection ends, and answers 421 to requests for
/// another instance.
class Endpoint {
public:
    struct Settings {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 4;
        int queue = 9;
        double coldSeconds = 0;
    };
    /// Returns the seconds of work that a request takes.
    using Work = std::function<double(const Message&)>;

    Endpoint(Store& store, Settings settings, Work work);
    ~Endpoint();
    /// Starts a new process and writes its entry. It is cold if it has a cold time.
    auto start() -> void;
    /// Ends the process at once; its entry stays until remove().
    auto crash() -> void;
    auto removeEntry() -> void;
    [[nodiscard]] auto arrivals() -> std::vector<Arrival>;
    [[nodiscard]] auto id() const -> const std::string& { return m_settings.id; }
    /// Writes the entry again, with another id for the next process.
    auto setId(const std::string& id) -> void { m_settings.id = id; }

private:
    auto serve(int connection) -> void;
    auto handle(const Message& request, int connection) -> std::string;
    auto run(const Message& request, int connection, std::size_t index) -> std::string;
    [[nodiscard]] auto load() -> std::string;
    [[nodiscard]] auto coldLeft() const -> double;

    Store& m_store;
    Settings m_settings;
    Work m_work;
    int m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    int m_running = 0;
    int m_waiting = 0;
    std::vector<Arrival> m_arrivals;
    std::atomic<bool> m_isCrashed { true };
    double m_coldUntil = 0;
    std::unique_ptr<Server> m_server;
};

struct Call {
    std::string ip;
    int port = 0;
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    double timeout = 10;
};

struct Reply {
    /// 0 if the connection ended without a complete answer.
    int status = 0;
    std::string problem;
    std::map<std::string, std::string> headers;
    std::string body;
    double sent = 0;
    double answered = 0;
};

/// Sends one request on a new connection.
auto send(const Call& call) -> Reply;

struct Place {
    std::string zone;
    std::string region;
};

/// An entry VM: a process that runs the command of the deploy file with the settings of one machine.
class Machine {
public:
    Machine(std::string name, Place place, std::string ip, int basePort, int storePort);
    ~Machine();
    /// Fields of the settings file that all machines of the deployment share.
    auto setDeployment(const std::map<std::string, std::string>& zones, const std::vector<std::string>& seeds) -> void;
    auto start() -> void;
    auto signal(int number) -> void;
    /// Waits until the process has ended; returns false after the given time.
    auto waitForEnd(double seconds) -> bool;
    [[nodiscard]] auto isRunning() -> bool;
    [[nodiscard]] auto isReady() const -> bool;
    auto waitUntilReady(double seconds) -> bool;
    [[nodiscard]] auto name() const -> const std::string& { return m_name; }
    [[nodiscard]] auto ip() const -> const std::string& { return m_ip; }
    [[nodiscard]] auto front() const -> int { return m_basePort; }
    [[nodiscard]] auto control() const -> std::string;
    [[nodiscard]] auto directory() const -> int { return m_basePort + 3; }

private:
    const std::string m_name;
    const Place m_place;
    const std::string m_ip;
    const int m_basePort;
    const int m_storePort;
    json m_settings;
    pid_t m_process = -1;
    std::string m_folder;
};

/// Returns a loopback address that no other case uses, for the machine with that number.
auto machineIp(int number) -> std::string;
/// Returns a port from which on 20 ports are free on the address.
auto freePorts(const std::string& ip) -> int;

/// Members of a configuration.
auto service(const std::string& name, double coldPerSecond, const std::string& coldStart) -> json;
struct RouteText {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    std::string timeout;
    std::string target;
    int attempts = 2;
    int priority = 0;
    bool sticky = false;
};
auto route(const RouteText& text) -> json;
auto configuration(int version, const json& services, const json& routes) -> json;

/// Requests that were asked on one route, and their answers.
struct Count {
    int asked = 0;
    int served = 0;
    std::map<std::string, int> answers;

    auto add(const Reply& reply) -> void;
    [[nodiscard]] auto describe(const std::string& route) const -> std::string;
};
auto describe(const Reply& reply) -> std::string;

/// Clients that send look-ups to one VM each, one after the other, with a pause, until the end.
struct Traffic {
    std::atomic<bool> isOn { true };
    std::mutex mutex;
    /// When each request was sent.
    std::map<std::string, double> sent;
    Count count;

    auto runClient(const Machine& machine, const std::string& name, double pause) -> void;
    /// Returns the most requests that were sent and arrived inside one second at the endpoint while it was cold, for
    /// FAILBACK, and writes them to the record. Requests that got 421 do not count.
    auto mostInOneSecond(Endpoint& endpoint, Record& record) -> int;
};

/// Ends the case with 2, "could not run".
[[noreturn]] auto cannotRun(Record& record, const std::string& why) -> void;
/// Runs the case with the record that the command line names. Returns the exit code: what the case returned, or 2.
auto runCase(int count, char** arguments, const std::function<int(Record&)>& run) -> int;

constexpr auto host = "desk.example";

} // namespace Review
