#pragma once

#include "agatedrum/config.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace agatedrum {

/// One whole request as it came over a connection.
struct FramedRequest
{
    std::string method;
    std::string target; ///< path and query as sent
    std::map<std::string, std::string> headers; ///< by name in lower case; the last one of a repeated name
    std::string body;
    bool closeAfter = false; ///< the caller asked for the connection to be closed after the answer
};

/// Why the bytes are no request. The connection must be closed after the answer.
struct FrameFault
{
    int status = 400;
    std::string message;
};

/// The request is not whole yet.
struct FrameIncomplete
{
};

struct FramerLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = AGATEDRUM_MAX_BODY_BYTES;
};

/// Cuts the bytes of one connection into whole HTTP/1.1 requests. Does no I/O. Not thread-safe.
class HttpFramer
{
public:
    explicit HttpFramer(FramerLimits limits = {});

    /// Limits of what has not been parsed yet.
    void setLimits(FramerLimits newLimits);
    /// Takes bytes as they arrive. Bytes after a fault are ignored.
    void feed(std::string_view bytes);
    /// Hands out the next whole request, or the fault in it. After a fault, every call returns that fault.
    std::variant<FrameIncomplete, FramedRequest, FrameFault> next();
    /// True once for each request that waits for "100 Continue" before it sends its body. Call after next().
    bool takeContinue();
    /// Whether no byte of a further request has arrived.
    bool isEmpty() const;
    /// Whether a header section has begun and is not whole.
    bool isInHead() const;

private:
    /// Refuses a malformed request line without waiting for the rest.
    void checkFirstLine();
    void parseHead(std::string_view head);
    void parseRequestLine(std::string_view line);
    void parseField(std::string_view line);
    void parseContentLength(std::string_view text);
    void fail(int status, std::string message);
    void skipEmptyLines();

    FramerLimits limits;
    std::string buffer;
    FramedRequest current;
    FrameFault fault;
    std::size_t searchedBytes = 0; ///< start of the buffer known not to hold the end of the header section
    std::size_t bodyBytes = 0;
    bool hasHead = false;
    bool hasFirstLine = false;
    bool hasLength = false;
    bool mustContinue = false;
    bool hasFailed = false;
};

} // namespace agatedrum
