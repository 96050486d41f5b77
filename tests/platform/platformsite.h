#pragma once

#include "platform/objectstandin.h"
#include "platform/storedoor.h"
#include "platform/upstreamstandin.h"
#include "runtime/asioruntime.h"
#include "standins/blockingclient.h"
#include "standins/childprocess.h"

#include <filesystem>
#include <thread>

namespace PlatformTest {

/// A small site in one failure domain. The platform's store and the upstreams run in this process, each entry VM in a
/// process of its own.
class PlatformSite {
public:
    struct Options {
        int entryVms = 2;
        int upstreams = 3;
        Core::Millis serviceTime { 20 };
    };

    PlatformSite(std::string binary, Options options);
    ~PlatformSite();
    PlatformSite(const PlatformSite&) = delete;
    auto operator=(const PlatformSite&) -> PlatformSite& = delete;

    /// Writes a configuration with a route for bookings, from the path prefix to the upstreams, and an idempotent one
    /// from /prices/.
    auto configure(std::uint64_t version, const std::string& prefix = "/stock/") -> void;
    auto startEntryVm(int index) -> void;
    auto waitUntilReady(int index) -> void;
    auto process(int index) -> StandIns::ChildProcess& { return *m_processes.at(index); }
    auto objects() -> ObjectStandIn& { return m_objects; }
    /// The entry VM's own way to the store.
    auto storeDoor(int entryVm) -> StoreDoor& { return *m_doors.at(entryVm); }
    auto upstream(int index) -> UpstreamStandIn& { return *m_upstreams.at(index); }
    [[nodiscard]] auto upstreamPort(int index) const -> std::uint16_t { return m_upstreamServers.at(index)->port(); }
    /// Writes the entry of the upstream, with a higher seq than before.
    auto registerUpstream(int index, const std::string& state = "ready") -> void;

    auto send(int entryVm, const std::string& id, const std::string& target = "/stock/7")
        -> std::optional<StandIns::HttpReply>;
    /// Address at which the entry VM takes requests.
    [[nodiscard]] auto front(int entryVm) const -> Core::Address;
    auto lookup(int entryVm) -> std::optional<StandIns::HttpReply>;
    auto readiness(int entryVm) -> int;
    auto metrics(int entryVm) -> std::string;
    /// Number of runs of each request id, summed over all upstreams.
    auto runs() -> std::map<std::string, int>;

private:
    auto settings(int index) -> nlohmann::json;
    [[nodiscard]] auto address(int index, int offset) const -> Core::Address;
    [[nodiscard]] auto ip(int index) const -> std::string { return m_network + std::to_string(index + 1); }

    const std::string m_binary;
    const Options m_options;
    const int m_basePort;
    const std::string m_network;
    Runtime::AsioRuntime m_runtime { 4 };
    ObjectStandIn m_objects { m_runtime };
    std::vector<std::unique_ptr<StoreDoor>> m_doors;
    std::vector<std::unique_ptr<HttpServer::Server>> m_doorServers;
    std::vector<std::unique_ptr<UpstreamStandIn>> m_upstreams;
    std::vector<std::unique_ptr<HttpServer::Server>> m_upstreamServers;
    /// Last seq that each upstream has written.
    std::map<int, int> m_seqs;
    std::map<int, std::unique_ptr<StandIns::ChildProcess>> m_processes;
    std::filesystem::path m_directory;
    std::thread m_thread;
};

} // namespace PlatformTest
