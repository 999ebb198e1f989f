#include "http_framer_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;

namespace {

/// Returns the status of the error that the framer reports for the bytes; 0 if it reports none.
int errorStatus(const std::string &bytes)
{
    HttpFramer framer;
    framer.feed(bytes);
    const auto next = framer.next();
    const auto *error = std::get_if<FrameError>(&next);
    return error != nullptr ? error->status : 0;
}

} // namespace

// Guards against request boundaries that depend on how TCP splits the bytes, and against parsing bytes after an error.
TEST_CASE("A framer splits a byte stream into complete requests", "[http]")
{
    HttpFramer framer;
    const std::string twoRequests = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
                                    "GET /d HTTP/1.1\r\nConnection: keep-alive, Close\r\n\r\n";

    SECTION("requests are complete regardless of the size of the received chunks")
    {
        const auto chunkBytes = GENERATE(1, 2, 7, 60, 1000);
        std::vector<FramedRequest> requests;
        for (std::size_t offset = 0; offset < twoRequests.size(); offset += static_cast<std::size_t>(chunkBytes)) {
            framer.feed(std::string_view(twoRequests).substr(offset, static_cast<std::size_t>(chunkBytes)));
            for (auto next = framer.next(); std::holds_alternative<FramedRequest>(next); next = framer.next()) {
                requests.push_back(std::get<FramedRequest>(next));
            }
        }
        REQUIRE(requests.size() == 2);
        REQUIRE(requests[0].method == "POST");
        REQUIRE(requests[0].target == "/a?b=c");
        REQUIRE(requests[0].body == "xyz");
        REQUIRE_FALSE(requests[0].closeAfter);
        REQUIRE(requests[1].method == "GET");
        REQUIRE(requests[1].body.empty());
        REQUIRE(requests[1].closeAfter);
        REQUIRE(framer.isEmpty());
    }

    SECTION("an error is final, so bytes that follow it are never parsed as a request")
    {
        framer.feed("BAD\r\n\r\nGET / HTTP/1.1\r\n\r\n");
        REQUIRE(std::holds_alternative<FrameError>(framer.next()));
        REQUIRE(std::holds_alternative<FrameError>(framer.next()));
    }
}

// A request that can be read in two ways must be refused, because bytes of its body could be taken for a request.
TEST_CASE("A framer refuses malformed, ambiguous and oversized requests", "[http]")
{
    REQUIRE(errorStatus("GET /\r\n\r\n") == 400);
    REQUIRE(errorStatus("GET  HTTP/1.1\r\n\r\n") == 400);
    REQUIRE(errorStatus("GET / a HTTP/1.1\r\n\r\n") == 400);
    REQUIRE(errorStatus("GET / HTTP/2.0\r\n\r\n") == 400);
    REQUIRE(errorStatus("GET http://h/ HTTP/1.1\r\n\r\n") == 400);
    REQUIRE(errorStatus("G@T / HTTP/1.1\r\n\r\n") == 400);
    REQUIRE(errorStatus("GET / HTTP/1.1\n\n") == 400);
    REQUIRE(errorStatus("GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n") == 400);
    REQUIRE(errorStatus("GET / HTTP/1.1\r\n folded\r\n\r\n") == 400);
    REQUIRE(errorStatus("GET / HTTP/1.1\r\nA : b\r\n\r\n") == 400);
    REQUIRE(errorStatus("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx") == 400);
    REQUIRE(errorStatus("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\nx") == 400);
    REQUIRE(errorStatus("POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx") == 400);
    REQUIRE(errorStatus("POST / HTTP/1.1\r\nContent-Length:\r\n\r\nx") == 400);
    REQUIRE(errorStatus("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\nx") == 413);
    REQUIRE(errorStatus("POST / HTTP/1.1\r\nContent-Length: 4194305\r\n\r\nx") == 413);
    REQUIRE(errorStatus("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n") == 411);
    REQUIRE(errorStatus("GET / HTTP/1.1\r\nA: " + std::string(17000, 'x')) == 431);
    REQUIRE(errorStatus("GET / HTTP/1.1\r\nA: " + std::string(16000, 'x') + "\r\n\r\n") == 0);
}
