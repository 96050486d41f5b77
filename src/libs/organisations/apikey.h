#pragma once

#include <functional>
#include <string>
#include <utility>

namespace Organisations {

/// Secret by which a caller proves that it belongs to an organisation. It cannot be printed, so that it does not end up
/// in logs, metrics or error messages.
class ApiKey {
public:
    explicit ApiKey(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    [[nodiscard]] auto isEmpty() const -> bool { return m_secret.empty(); }
    [[nodiscard]] auto hash() const -> std::size_t { return std::hash<std::string> {}(m_secret); }

    friend auto operator==(const ApiKey&, const ApiKey&) -> bool = default;

private:
    std::string m_secret;
};

} // namespace Organisations

template <> struct std::hash<Organisations::ApiKey> {
    auto operator()(const Organisations::ApiKey& key) const noexcept -> std::size_t { return key.hash(); }
};
