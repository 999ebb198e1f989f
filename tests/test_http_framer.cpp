#include "http_framer_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;

namespace {

int faultOf(const std::string &bytes)
{
    HttpFramer framer;
    framer.feed(bytes);
    const auto next = framer.next();
    const auto *fault = std::get_if<FrameFault>(&next);
    return fault != nullptr ? fault->status : 0;
}

} // namespace

TEST_CASE("A framer cuts bytes into whole requests", "[http]")
{
    HttpFramer framer;
    const std::string two = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
                            "GET /d HTTP/1.1\r\nConnection: keep-alive, Close\r\n\r\n";

    SECTION("however the bytes are split")
    {
        const auto step = GENERATE(1, 2, 7, 60, 1000);
        std::vector<FramedRequest> requests;
        for (std::size_t at = 0; at < two.size(); at += static_cast<std::size_t>(step)) {
            framer.feed(std::string_view(two).substr(at, static_cast<std::size_t>(step)));
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

    SECTION("a fault is final, so bytes behind it are never taken for a request")
    {
        framer.feed("BAD\r\n\r\nGET / HTTP/1.1\r\n\r\n");
        REQUIRE(std::holds_alternative<FrameFault>(framer.next()));
        REQUIRE(std::holds_alternative<FrameFault>(framer.next()));
    }
}

TEST_CASE("A framer refuses what could be read in two ways", "[http]")
{
    REQUIRE(faultOf("GET /\r\n\r\n") == 400);
    REQUIRE(faultOf("GET  HTTP/1.1\r\n\r\n") == 400);
    REQUIRE(faultOf("GET / a HTTP/1.1\r\n\r\n") == 400);
    REQUIRE(faultOf("GET / HTTP/2.0\r\n\r\n") == 400);
    REQUIRE(faultOf("GET http://h/ HTTP/1.1\r\n\r\n") == 400);
    REQUIRE(faultOf("G@T / HTTP/1.1\r\n\r\n") == 400);
    REQUIRE(faultOf("GET / HTTP/1.1\n\n") == 400);
    REQUIRE(faultOf("GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n") == 400);
    REQUIRE(faultOf("GET / HTTP/1.1\r\n folded\r\n\r\n") == 400);
    REQUIRE(faultOf("GET / HTTP/1.1\r\nA : b\r\n\r\n") == 400);
    REQUIRE(faultOf("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx") == 400);
    REQUIRE(faultOf("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\nx") == 400);
    REQUIRE(faultOf("POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx") == 400);
    REQUIRE(faultOf("POST / HTTP/1.1\r\nContent-Length:\r\n\r\nx") == 400);
    REQUIRE(faultOf("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\nx") == 413);
    REQUIRE(faultOf("POST / HTTP/1.1\r\nContent-Length: 4194305\r\n\r\nx") == 413);
    REQUIRE(faultOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n") == 411);
    REQUIRE(faultOf("GET / HTTP/1.1\r\nA: " + std::string(17000, 'x')) == 431);
    REQUIRE(faultOf("GET / HTTP/1.1\r\nA: " + std::string(16000, 'x') + "\r\n\r\n") == 0);
}
