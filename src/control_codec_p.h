#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace agatedrum {

/// Bytes of a Thrift structure in the compact protocol. Thread-safe.
template<typename T>
std::string encodeCompact(const T &structure)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    structure.write(&protocol);
    return buffer->getBufferAsString();
}

/// @return nothing when the bytes are no such structure. Thread-safe.
template<typename T>
std::optional<T> decodeCompact(const std::string &bytes)
{
    // TMemoryBuffer only reads through the pointer in observe mode, but takes it as mutable.
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
