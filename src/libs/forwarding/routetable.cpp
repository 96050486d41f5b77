#include "forwarding/routingconfiguration.h"

namespace Forwarding {

auto RouteTable::add(Route route) -> void
{
    auto& prefixes = m_hosts[route.host];
    auto pointer = std::make_shared<const Route>(std::move(route));
    prefixes[pointer->pathPrefix] = pointer;
}

auto RouteTable::find(const std::string& host, std::string_view path) const -> RoutePointer
{
    const auto prefixes = m_hosts.find(host);
    if (prefixes == m_hosts.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end())
            return found->second;
        if (slash == 0)
            return nullptr;
    }
    return nullptr;
}

auto RouteTable::size() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto& [host, prefixes] : m_hosts)
        count += prefixes.size();
    return count;
}

} // namespace Forwarding
