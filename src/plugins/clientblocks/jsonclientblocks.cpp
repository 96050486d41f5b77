#include "clientblocks/jsonclientblocks.h"

#include "clientblocks/addressparser.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ClientBlocks {

namespace {

    using nlohmann::json;

    template <typename Decoder>
    auto parse(const std::string& text, Decoder decode) -> Core::Result<decltype(decode(json()))>
    {
        try {
            return decode(json::parse(text));
        } catch (const std::exception& error) {
            return Core::fail(Core::ErrorKind::InvalidDocument,
                std::string("the client blocks are not valid: ") + error.what(),
                "correct them as docs/INTERFACES.md describes; the last valid ones stay in use");
        }
    }

    auto siteFrom(const json& object) -> Steering::Site
    {
        Steering::Site site { object.at("name").get<std::string>(), {} };
        for (const auto& id : object.at("failureDomains"))
            site.failureDomains.emplace_back(id.get<std::string>());
        return site;
    }

    template <typename Number> auto numberFrom(const json& value) -> Number
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max())
            throw std::out_of_range("number out of range");
        return static_cast<Number>(value.get<std::uint64_t>());
    }

    auto blockRangeFrom(const json& value) -> Steering::BlockRange
    {
        const auto text = value.at(0).get<std::string>();
        const auto address = parseAddress(text);
        if (!address)
            throw std::invalid_argument("'" + text + "' is not an IP address");
        return { Steering::blockOf(*address), numberFrom<std::uint32_t>(value.at(1)),
            Steering::SiteIndex(numberFrom<std::uint16_t>(value.at(2))) };
    }

} // namespace

auto JsonClientBlocks::manifest(const std::string& text) const -> Core::Result<Steering::ClientBlockManifest>
{
    return parse(text, [](const json& document) {
        Steering::ClientBlockManifest manifest { document.at("name").get<std::string>(),
            numberFrom<std::uint32_t>(document.at("chunks")), {} };
        for (const auto& site : document.at("sites"))
            manifest.sites.push_back(siteFrom(site));
        return manifest;
    });
}

auto JsonClientBlocks::chunk(const std::string& text) const -> Core::Result<std::vector<Steering::BlockRange>>
{
    return parse(text, [](const json& document) {
        std::vector<Steering::BlockRange> ranges;
        for (const auto& range : document.at("runs"))
            ranges.push_back(blockRangeFrom(range));
        return ranges;
    });
}

} // namespace ClientBlocks
