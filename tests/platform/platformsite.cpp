#include "platform/platformsite.h"

#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace PlatformTest {

namespace {

    using nlohmann::json;

    constexpr auto pollInterval = std::chrono::milliseconds(20);
    constexpr int pollLimit = 500;
    constexpr int portsPerSite = 16;
    constexpr int firstPort = 21'000;
    constexpr int portRange = 9000;
    constexpr int metricsPort = 9464;

    /// Begin of the addresses of a site's entry VMs. Differs between test programs that run at the same time, because
    /// the port of the metrics is the same on all VMs.
    auto ownNetwork() -> std::string
    {
        constexpr int values = 250;
        const auto id = static_cast<int>(::getpid());
        return "127." + std::to_string(1 + id / values % values) + '.' + std::to_string(1 + id % values) + '.';
    }

    enum PortOffset : std::uint8_t { Front, Ready, Control, Directory, Internal };

} // namespace

PlatformSite::PlatformSite(std::string binary, Options options)
    : m_binary(std::move(binary))
    , m_options(options)
    , m_basePort(firstPort + static_cast<int>(::getpid()) * portsPerSite % portRange)
    , m_network(ownNetwork())
    , m_directory(std::filesystem::temp_directory_path() / ("dragonflywinch-site-" + std::to_string(::getpid())))
{
    std::filesystem::create_directories(m_directory);
    for (int index = 0; index < m_options.upstreams; ++index) {
        m_upstreams.push_back(
            std::make_unique<UpstreamStandIn>(m_runtime, "i-" + std::to_string(index), m_options.serviceTime));
        m_upstreamServers.push_back(std::make_unique<HttpServer::Server>(
            m_runtime.context(), Core::Address("127.0.0.1:0"), *m_upstreams.back()));
    }
    for (int index = 0; index < m_options.entryVms; ++index) {
        m_doors.push_back(std::make_unique<StoreDoor>(m_objects));
        m_doorServers.push_back(
            std::make_unique<HttpServer::Server>(m_runtime.context(), Core::Address("127.0.0.1:0"), *m_doors.back()));
    }
    m_thread = std::thread([this] { m_runtime.run(); });
    for (int index = 0; index < m_options.upstreams; ++index)
        registerUpstream(index);
}

PlatformSite::~PlatformSite()
{
    m_processes.clear();
    m_runtime.stop();
    m_thread.join();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

auto PlatformSite::registerUpstream(int index, const std::string& state) -> void
{
    const auto port = m_upstreamServers.at(static_cast<std::size_t>(index))->port();
    m_objects.put("servers", "i-" + std::to_string(index),
        { { "address", "127.0.0.1:" + std::to_string(port) }, { "born", 1 },
            { "info", { { "service", "pegs" }, { "version", "v1" }, { "zone", "atl-a" }, { "slots", 4 } } } },
        { { "state", state }, { "seq", ++m_seqs[index] }, { "cold_left", "0ms" } });
}

auto PlatformSite::configure(std::uint64_t version, const std::string& prefix) -> void
{
    const json route { { "name", "r-1" }, { "path_prefix", prefix }, { "kind", "non_idempotent" },
        { "timeout", "2000ms" }, { "target_latency", "400ms" }, { "priority", 0 }, { "service", "pegs" },
        { "attempts", 2 }, { "sticky", true }, { "home_regions", json::array() } };
    auto reads = route;
    reads["name"] = "r-2";
    reads["path_prefix"] = "/prices/";
    reads["kind"] = "idempotent";
    m_objects.put("config", "main",
        { { "version", version },
            { "services",
                { { { "name", "pegs" }, { "health_path", "/health" }, { "max_conns", 360 }, { "protocol", "h1" },
                    { "tls", false }, { "cold_start", "3s" }, { "cold_per_s", 4.0 } } } },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 65536 }, { "header_timeout", "3000ms" },
                    { "idle_timeout", "15s" } } },
            { "hosts", { { { "host", "desk.example" }, { "paths", { route, reads } } } } } });
}

auto PlatformSite::address(int index, int offset) const -> Core::Address
{
    return Core::Address(ip(index) + ':' + std::to_string(m_basePort + offset));
}

auto PlatformSite::front(int entryVm) const -> Core::Address { return address(entryVm, Front); }

auto PlatformSite::settings(int index) -> json
{
    return { { "node", "front-" + std::to_string(index) }, { "ip", ip(index) }, { "zone", "atl-a" },
        { "region", "atl" }, { "zones", { { "atl-a", "atl" } } },
        { "internal_port_range", { m_basePort + Internal, m_basePort + portsPerSite - 1 } },
        { "seeds", { address(0, Control).value() } },
        { "listen",
            { { "front", address(index, Front).value() }, { "ready", address(index, Ready).value() },
                { "control", address(index, Control).value() }, { "directory", address(index, Directory).value() } } },
        { "limits", { { "cores", 2 }, { "memory_mb", 260 }, { "max_fds", 1000 } } },
        { "bounds",
            { { "grace", "6s" }, { "drain", "2500ms" }, { "ttl_max", "5s" }, { "retry_budget_ratio", 0.2 },
                { "retry_slack", 60 } } },
        { "platform", { { "address", "127.0.0.1:" + std::to_string(m_doorServers.at(index)->port()) } } } };
}

auto PlatformSite::startEntryVm(int index) -> void
{
    const auto path = m_directory / ("vm-" + std::to_string(index) + ".json");
    std::ofstream(path) << settings(index).dump();
    m_processes[index] = std::make_unique<StandIns::ChildProcess>(
        m_binary, std::vector<std::string> { "platform", "--settings", path.string() });
}

auto PlatformSite::waitUntilReady(int index) -> void
{
    for (int poll = 0; poll < pollLimit; ++poll) {
        if (readiness(index) == 200)
            return;
        std::this_thread::sleep_for(pollInterval);
    }
    throw std::runtime_error("entry VM " + std::to_string(index) + " is not ready");
}

auto PlatformSite::send(int entryVm, const std::string& id, const std::string& target)
    -> std::optional<StandIns::HttpReply>
{
    return StandIns::exchange({ address(entryVm, Front), "POST", target,
        { { "Host", "desk.example" }, { "Attempt-Id", id }, { "Request-Deadline", "3000" },
            { "Cookie", "Affinity-Key=7" } },
        "two pegs" });
}

auto PlatformSite::lookup(int entryVm) -> std::optional<StandIns::HttpReply>
{
    return StandIns::exchange(
        { address(entryVm, Directory), "GET", "/api/resolve?name=desk.example&region=atl&zone=atl-a", {}, "" });
}

auto PlatformSite::readiness(int entryVm) -> int
{
    const auto reply = StandIns::exchange({ address(entryVm, Ready), "GET", "/api/readiness", {}, "" });
    return reply ? reply->status : 0;
}

auto PlatformSite::metrics(int entryVm) -> std::string
{
    const auto reply = StandIns::exchange(
        { Core::Address(ip(entryVm) + ':' + std::to_string(metricsPort)), "GET", "/v1/metrics", {}, "" });
    return reply ? reply->body : std::string();
}

auto PlatformSite::runs() -> std::map<std::string, int>
{
    std::map<std::string, int> runs;
    for (const auto& upstream : m_upstreams) {
        for (const auto& [id, count] : upstream->runs())
            runs[id] += count;
    }
    return runs;
}

} // namespace PlatformTest
