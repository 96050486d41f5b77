#include "cbor/cbor.h"

namespace Cbor {

namespace {

    using nlohmann::json;

    constexpr std::size_t maximumNesting = 64;

    /// Stops reading when the nesting is too deep, and ignores everything else.
    class NestingLimit : public nlohmann::json_sax<json> {
    public:
        [[nodiscard]] auto isExceeded() const -> bool { return m_nesting > maximumNesting; }

        auto null() -> bool override { return true; }
        auto boolean(bool) -> bool override { return true; }
        auto number_integer(number_integer_t) -> bool override { return true; }
        auto number_unsigned(number_unsigned_t) -> bool override { return true; }
        auto number_float(number_float_t, const string_t&) -> bool override { return true; }
        auto string(string_t&) -> bool override { return true; }
        auto binary(binary_t&) -> bool override { return true; }
        auto key(string_t&) -> bool override { return true; }
        auto start_object(std::size_t) -> bool override { return open(); }
        auto end_object() -> bool override { return close(); }
        auto start_array(std::size_t) -> bool override { return open(); }
        auto end_array() -> bool override { return close(); }
        auto parse_error(std::size_t, const std::string&, const json::exception&) -> bool override { return false; }

    private:
        auto open() -> bool
        {
            ++m_nesting;
            return !isExceeded();
        }

        auto close() -> bool
        {
            --m_nesting;
            return true;
        }

        std::size_t m_nesting = 0;
    };

} // namespace

auto isNestedTooDeep(const std::string& payload) -> bool
{
    NestingLimit limit;
    (void)json::sax_parse(payload, &limit, json::input_format_t::cbor);
    return limit.isExceeded();
}

auto pack(const nlohmann::json& value) -> std::string
{
    std::string payload;
    nlohmann::json::to_cbor(value, payload);
    return payload;
}

auto invalidMessage(std::string_view what, std::string_view detail) -> Core::Error
{
    return { Core::ErrorKind::InvalidMessage,
        std::string(what) + " from a peer cannot be decoded: " + std::string(detail),
        "run compatible releases on all entry VMs" };
}

} // namespace Cbor
