#pragma once

#include "agatedrum/config.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace agatedrum {

/// One complete request as received on a connection.
struct FramedRequest
{
    std::string method;
    std::string target; ///< path and query as sent
    std::map<std::string, std::string> headers; ///< by lower-case name; of a repeated header the last value is kept
    std::string body;
    bool closeAfter = false; ///< the connection must be closed after the response
};

/// Reason for which the received bytes are not a valid request. The connection must be closed after the response.
struct FrameError
{
    int status = 400;
    std::string message;
};

/// The request has not been received completely.
struct FrameIncomplete
{
};

struct FramerLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = AGATEDRUM_MAX_BODY_BYTES;
};

/// Splits the bytes received on one connection into complete HTTP/1.1 requests. Does no I/O. Not thread-safe.
class HttpFramer
{
public:
    explicit HttpFramer(FramerLimits limits = {});

    /// Sets the limits for bytes that have not been parsed yet.
    void setLimits(FramerLimits newLimits);
    /// Appends received bytes. Bytes that follow an error are ignored.
    void feed(std::string_view bytes);
    /// Returns the next complete request, or the error in it. After an error, every call returns that error.
    std::variant<FrameIncomplete, FramedRequest, FrameError> next();
    /// Returns true once for each request whose caller waits for "100 Continue" before it sends the body. Call after
    /// next().
    bool takeContinueExpected();
    /// Returns true if no byte of a further request has been received.
    bool isEmpty() const;
    /// Returns true if a header section has been received in part but not completely.
    bool isReadingHead() const;

private:
    /// Parses the request line as soon as it is complete, so that a malformed one is refused without waiting for the
    /// remaining header section.
    void checkRequestLine();
    void parseHead(std::string_view head);
    void parseRequestLine(std::string_view line);
    void parseField(std::string_view line);
    void parseContentLength(std::string_view text);
    void fail(int status, std::string message);
    void skipEmptyLines();

    FramerLimits limits;
    std::string buffer;
    FramedRequest request;
    FrameError error;
    /// Length of the buffer's prefix in which the end of the header section cannot start.
    std::size_t searchedBytes = 0;
    std::size_t bodyBytes = 0;
    bool isHeadParsed = false;
    bool isRequestLineChecked = false;
    bool hasContentLength = false;
    bool isContinueExpected = false;
    bool hasFailed = false;
};

} // namespace agatedrum
