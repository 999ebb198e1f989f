#include "http_framer_p.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace agatedrum {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

bool isTokenCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isVisibleCharacter(char c)
{
    return c > ' ' && c != '\x7f';
}

bool isFieldValueCharacter(char c)
{
    return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f');
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
    });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Returns true if a comma-separated list contains the word, ignoring case.
bool listContains(std::string_view list, std::string_view word)
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (equalsIgnoringCase(trimmed(list.substr(0, comma)), word)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

HttpFramer::HttpFramer(FramerLimits limits)
    : limits(limits)
{
}

void HttpFramer::setLimits(FramerLimits newLimits)
{
    this->limits = newLimits;
}

void HttpFramer::feed(std::string_view bytes)
{
    if (this->hasFailed) {
        return;
    }
    this->buffer.append(bytes);
    // A caller that pipelines requests may have at most one more request of maximum size buffered.
    if (this->buffer.size() > 2 * (this->limits.maxHeaderBytes + this->limits.maxBodyBytes)) {
        this->fail(413, "too many bytes of pipelined requests");
    }
}

std::variant<FrameIncomplete, FramedRequest, FrameError> HttpFramer::next()
{
    if (!this->hasFailed && !this->isHeadParsed) {
        this->skipEmptyLines();
        this->checkRequestLine();
        const auto end = this->buffer.find(headEnd, this->searchedBytes);
        const auto headBytes = end == std::string::npos ? this->buffer.size() : end + headEnd.size();
        if (this->hasFailed) {
            return this->error;
        }
        if (headBytes > this->limits.maxHeaderBytes) {
            this->fail(431, "header section is larger than " + std::to_string(this->limits.maxHeaderBytes) + " bytes");
        } else if (end != std::string::npos) {
            this->parseHead(std::string_view(this->buffer).substr(0, end));
            this->buffer.erase(0, headBytes);
        } else {
            this->searchedBytes = this->buffer.size() - std::min(this->buffer.size(), headEnd.size() - 1);
            return FrameIncomplete {};
        }
    }
    if (this->hasFailed) {
        return this->error;
    }
    if (this->buffer.size() < this->bodyBytes) {
        return FrameIncomplete {};
    }
    this->request.body = this->buffer.substr(0, this->bodyBytes);
    this->buffer.erase(0, this->bodyBytes);
    this->searchedBytes = 0;
    this->bodyBytes = 0;
    this->isHeadParsed = false;
    this->isRequestLineChecked = false;
    this->hasContentLength = false;
    this->isContinueExpected = false;
    return std::exchange(this->request, {});
}

bool HttpFramer::takeContinueExpected()
{
    return !this->hasFailed && std::exchange(this->isContinueExpected, false);
}

bool HttpFramer::isEmpty() const
{
    return this->buffer.empty() && !this->isHeadParsed && !this->hasFailed;
}

bool HttpFramer::isReadingHead() const
{
    return !this->buffer.empty() && !this->isHeadParsed && !this->hasFailed;
}

void HttpFramer::checkRequestLine()
{
    const auto end = this->buffer.find('\n');
    if (this->isRequestLineChecked || end == std::string::npos) {
        return;
    }
    if (end == 0 || this->buffer[end - 1] != '\r') {
        this->fail(400, "request line does not end with CR LF");
        return;
    }
    this->parseRequestLine(std::string_view(this->buffer).substr(0, end - 1));
    this->isRequestLineChecked = true;
}

void HttpFramer::parseHead(std::string_view head)
{
    const auto end = std::min(head.find(lineEnd), head.size());
    head.remove_prefix(std::min(end + lineEnd.size(), head.size()));
    while (!head.empty() && !this->hasFailed) {
        const auto length = std::min(head.find(lineEnd), head.size());
        this->parseField(head.substr(0, length));
        head.remove_prefix(std::min(length + lineEnd.size(), head.size()));
    }
    this->isHeadParsed = true;
}

void HttpFramer::parseRequestLine(std::string_view line)
{
    const auto firstSpace = line.find(' ');
    const auto lastSpace = line.rfind(' ');
    if (firstSpace == std::string_view::npos || lastSpace == firstSpace) {
        this->fail(400, "request line is not \"METHOD TARGET HTTP/1.1\"");
        return;
    }
    const auto method = line.substr(0, firstSpace);
    const auto target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    const auto version = line.substr(lastSpace + 1);
    if (!isToken(method) || target.empty() || target.front() != '/'
        || !std::all_of(target.begin(), target.end(), isVisibleCharacter)) {
        this->fail(400, "request line is not \"METHOD TARGET HTTP/1.1\"");
    } else if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        this->fail(400, "protocol version is neither HTTP/1.1 nor HTTP/1.0");
    }
    this->request.method = std::string(method);
    this->request.target = std::string(target);
    // No resource supports HEAD, and the caller would read the body of the refusal as the start of the next response.
    this->request.closeAfter = version == "HTTP/1.0" || method == "HEAD";
}

void HttpFramer::parseField(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        this->fail(400, "header line is not \"NAME: VALUE\"");
        return;
    }
    const auto name = line.substr(0, colon);
    const auto text = trimmed(line.substr(colon + 1));
    if (!std::all_of(text.begin(), text.end(), isFieldValueCharacter)) {
        this->fail(400, "header \"" + std::string(name) + "\" contains a control character");
        return;
    }
    std::string key(name);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); });
    this->request.headers[std::move(key)] = std::string(text);
    if (equalsIgnoringCase(name, "Content-Length")) {
        this->parseContentLength(text);
    } else if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        this->fail(411, "Transfer-Encoding is not supported, send Content-Length");
    } else if (equalsIgnoringCase(name, "Connection") && listContains(text, "close")) {
        this->request.closeAfter = true;
    } else if (equalsIgnoringCase(name, "Expect")) {
        this->isContinueExpected = equalsIgnoringCase(text, "100-continue");
    }
}

void HttpFramer::parseContentLength(std::string_view text)
{
    std::size_t length = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool isOutOfRange = code == std::errc::result_out_of_range;
    if (this->hasContentLength || text.empty() || end != text.data() + text.size()
        || (code != std::errc() && !isOutOfRange)) {
        this->fail(400, "Content-Length is not a single non-negative integer");
    } else if (isOutOfRange || length > this->limits.maxBodyBytes) {
        this->fail(413, "body is larger than " + std::to_string(this->limits.maxBodyBytes) + " bytes");
    }
    this->hasContentLength = true;
    this->bodyBytes = length;
}

void HttpFramer::fail(int status, std::string message)
{
    if (!this->hasFailed) {
        this->error = {status, std::move(message)};
        this->hasFailed = true;
    }
}

void HttpFramer::skipEmptyLines()
{
    std::size_t skipped = 0;
    while (this->buffer.compare(skipped, lineEnd.size(), lineEnd) == 0) {
        skipped += lineEnd.size();
    }
    if (skipped > 0) {
        this->buffer.erase(0, skipped);
        this->searchedBytes = 0;
    }
}

} // namespace agatedrum
