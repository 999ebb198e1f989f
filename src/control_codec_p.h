#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatedrum {

/// Serializes a Thrift structure with the compact protocol. Thread-safe.
template<typename T>
std::string encodeCompact(const T &structure)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    structure.write(&protocol);
    return buffer->getBufferAsString();
}

/// Deserializes a Thrift structure from the compact protocol. Thread-safe.
/// @return std::nullopt if the bytes are not a valid encoding of the structure.
template<typename T>
std::optional<T> decodeCompact(std::string_view bytes)
{
    // In observe mode TMemoryBuffer only reads the bytes, although its constructor requires a mutable pointer.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())); // NOLINT
    auto buffer
        = std::make_shared<apache::thrift::transport::TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    try {
        T structure;
        structure.read(&protocol);
        return structure;
    } catch (const apache::thrift::TException &) {
        return std::nullopt;
    }
}

} // namespace agatedrum
