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

bool isVisible(char c)
{
    return c > ' ' && c != '\x7f';
}

bool isFieldCharacter(char c)
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

/// Whether a comma-separated list holds the word.
bool listHolds(std::string_view list, std::string_view word)
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
    // A caller that sends requests ahead may fill at most one more request of full size.
    if (this->buffer.size() > 2 * (this->limits.maxHeaderBytes + this->limits.maxBodyBytes)) {
        this->fail(413, "too many bytes sent ahead of an answer");
    }
}

std::variant<FrameIncomplete, FramedRequest, FrameFault> HttpFramer::next()
{
    if (!this->hasFailed && !this->hasHead) {
        this->skipEmptyLines();
        this->checkFirstLine();
        const auto end = this->buffer.find(headEnd, this->searchedBytes);
        const auto headBytes = end == std::string::npos ? this->buffer.size() : end + headEnd.size();
        if (this->hasFailed) {
            return this->fault;
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
        return this->fault;
    }
    if (this->buffer.size() < this->bodyBytes) {
        return FrameIncomplete {};
    }
    this->current.body = this->buffer.substr(0, this->bodyBytes);
    this->buffer.erase(0, this->bodyBytes);
    this->searchedBytes = 0;
    this->bodyBytes = 0;
    this->hasHead = false;
    this->hasFirstLine = false;
    this->hasLength = false;
    this->mustContinue = false;
    return std::exchange(this->current, {});
}

bool HttpFramer::takeContinue()
{
    return !this->hasFailed && std::exchange(this->mustContinue, false);
}

bool HttpFramer::isEmpty() const
{
    return this->buffer.empty() && !this->hasHead && !this->hasFailed;
}

bool HttpFramer::isInHead() const
{
    return !this->buffer.empty() && !this->hasHead && !this->hasFailed;
}

void HttpFramer::checkFirstLine()
{
    const auto end = this->buffer.find('\n');
    if (this->hasFirstLine || end == std::string::npos) {
        return;
    }
    if (end == 0 || this->buffer[end - 1] != '\r') {
        this->fail(400, "request line does not end with CR LF");
        return;
    }
    this->parseRequestLine(std::string_view(this->buffer).substr(0, end - 1));
    this->hasFirstLine = true;
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
    this->hasHead = true;
}

void HttpFramer::parseRequestLine(std::string_view line)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || last == first) {
        this->fail(400, "request line is not \"METHOD TARGET HTTP/1.1\"");
        return;
    }
    const auto method = line.substr(0, first);
    const auto target = line.substr(first + 1, last - first - 1);
    const auto version = line.substr(last + 1);
    if (!isToken(method) || target.empty() || target.front() != '/'
        || !std::all_of(target.begin(), target.end(), isVisible)) {
        this->fail(400, "request line is not \"METHOD TARGET HTTP/1.1\"");
    } else if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        this->fail(400, "protocol version is neither HTTP/1.1 nor HTTP/1.0");
    }
    this->current.method = std::string(method);
    this->current.target = std::string(target);
    // No resource offers HEAD, and the refusal's body would be read as the start of the next answer.
    this->current.closeAfter = version == "HTTP/1.0" || method == "HEAD";
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
    if (!std::all_of(text.begin(), text.end(), isFieldCharacter)) {
        this->fail(400, "header \"" + std::string(name) + "\" contains a control character");
        return;
    }
    std::string key(name);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); });
    this->current.headers[std::move(key)] = std::string(text);
    if (equalsIgnoringCase(name, "Content-Length")) {
        this->parseContentLength(text);
    } else if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        this->fail(411, "Transfer-Encoding is not supported, send Content-Length");
    } else if (equalsIgnoringCase(name, "Connection") && listHolds(text, "close")) {
        this->current.closeAfter = true;
    } else if (equalsIgnoringCase(name, "Expect")) {
        this->mustContinue = equalsIgnoringCase(text, "100-continue");
    }
}

void HttpFramer::parseContentLength(std::string_view text)
{
    std::size_t length = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool isHuge = code == std::errc::result_out_of_range;
    if (this->hasLength || text.empty() || end != text.data() + text.size() || (code != std::errc() && !isHuge)) {
        this->fail(400, "Content-Length is not one whole number");
    } else if (isHuge || length > this->limits.maxBodyBytes) {
        this->fail(413, "body is larger than " + std::to_string(this->limits.maxBodyBytes) + " bytes");
    }
    this->hasLength = true;
    this->bodyBytes = length;
}

void HttpFramer::fail(int status, std::string message)
{
    if (!this->hasFailed) {
        this->fault = {status, std::move(message)};
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
