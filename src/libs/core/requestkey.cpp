#include "core/requestkey.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace Core {

namespace {

    constexpr char separator = ':';
    constexpr std::size_t prefixFieldCount = 5;
    constexpr auto keyRemedy = "take a new key prefix from a look-up answer and append ':' and a unique id";

    auto split(std::string_view text) -> std::vector<std::string_view>
    {
        std::vector<std::string_view> fields;
        for (;;) {
            const auto end = text.find(separator);
            fields.push_back(text.substr(0, end));
            if (end == std::string_view::npos)
                return fields;
            text.remove_prefix(end + 1);
        }
    }

    auto invalidKey(std::string message) -> tl::unexpected<Error>
    {
        return fail(ErrorKind::InvalidArgument, std::move(message), keyRemedy);
    }

    auto parsePrefixFields(const std::vector<std::string_view>& fields) -> Result<KeyPrefix>
    {
        const auto home = parseIncarnation(fields[1]);
        const auto backup = parseIncarnation(fields[4]);
        if (fields[0].empty() || !home || !backup)
            return invalidKey("the idempotency key does not contain a valid home and backup");
        std::uint64_t epoch = 0;
        const auto epochText = fields[2];
        const auto [end, error] = std::from_chars(epochText.data(), epochText.data() + epochText.size(), epoch);
        if (error != std::errc() || end != epochText.data() + epochText.size())
            return invalidKey("the idempotency key's epoch is not a number");
        return KeyPrefix { EntryVmId(std::string(fields[0])), *home, Epoch(epoch), EntryVmId(std::string(fields[3])),
            *backup };
    }

    auto isUniqueCharacter(char character) -> bool
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-' || character == '_';
    }

} // namespace

auto toString(const KeyPrefix& prefix) -> std::string
{
    return prefix.home.value() + separator + toString(prefix.homeIncarnation) + separator
        + std::to_string(prefix.epoch.value()) + separator + prefix.backup.value() + separator
        + toString(prefix.backupIncarnation);
}

auto toString(const RequestKey& key) -> std::string { return toString(key.prefix) + separator + key.unique; }

auto parseKeyPrefix(std::string_view text) -> Result<KeyPrefix>
{
    const auto fields = split(text);
    if (fields.size() != prefixFieldCount)
        return invalidKey("the key prefix does not have five fields");
    return parsePrefixFields(fields);
}

auto parseRequestKey(std::string_view text) -> Result<RequestKey>
{
    const auto fields = split(text);
    if (fields.size() != prefixFieldCount + 1)
        return invalidKey("the idempotency key does not have six fields");
    const auto unique = fields.back();
    if (unique.empty() || unique.size() > maximumUniqueLength
        || !std::all_of(unique.begin(), unique.end(), isUniqueCharacter))
        return invalidKey("the unique part of the idempotency key is not 1 to 128 characters of [A-Za-z0-9_-]");
    auto prefix = parsePrefixFields(fields);
    if (!prefix)
        return tl::unexpected(prefix.error());
    return RequestKey { std::move(*prefix), std::string(unique) };
}

} // namespace Core

auto std::hash<Core::RequestKey>::operator()(const Core::RequestKey& key) const noexcept -> std::size_t
{
    // The home's incarnation is random, so its low word distinguishes keys with equal unique parts.
    return std::hash<std::string> {}(key.unique) ^ key.prefix.homeIncarnation.low ^ (key.prefix.epoch.value() << 1);
}
