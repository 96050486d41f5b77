#include "processusage.h"

#include "standins/blockingclient.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace BenchFleet {

namespace {

    auto openProcFile(pid_t pid, const std::string& name) -> std::ifstream
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/" + name);
        if (!file)
            throw std::runtime_error("the process " + std::to_string(pid) + " has ended");
        return file;
    }

    auto processorSeconds(pid_t pid) -> double
    {
        constexpr int fieldsBeforeUserTime = 11;
        auto file = openProcFile(pid, "stat");
        std::string text;
        std::getline(file, text);
        // The program name may contain spaces, so fields are counted from the parenthesis that closes it.
        std::istringstream fields(text.substr(text.rfind(')') + 1));
        std::string skipped;
        for (int index = 0; index < fieldsBeforeUserTime; ++index)
            fields >> skipped;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }

    auto residentMemory(pid_t pid) -> Core::Bytes
    {
        auto file = openProcFile(pid, "statm");
        std::uint64_t total = 0;
        std::uint64_t resident = 0;
        file >> total >> resident;
        return Core::Bytes(resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)));
    }

    auto metric(const std::string& text, const std::string& name) -> std::uint64_t
    {
        const auto prefix = "\ndragonflywinch_" + name + ' ';
        const auto found = text.find(prefix);
        if (found == std::string::npos)
            throw std::runtime_error("no metric " + name);
        return std::stoull(text.substr(found + prefix.size()));
    }

} // namespace

auto readUsage(pid_t pid, const Core::Address& address) -> ProcessUsage
{
    const auto reply = StandIns::exchange({ address, "GET", "/v1/metrics", {}, "" });
    if (!reply)
        throw std::runtime_error("no metrics at " + address.value());
    return { processorSeconds(pid), residentMemory(pid), Core::Bytes(metric(reply->body, "peer_sent_bytes_total")),
        Core::Bytes(metric(reply->body, "peer_received_bytes_total")), metric(reply->body, "peer_calls_total") };
}

} // namespace BenchFleet
