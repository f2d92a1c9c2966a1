#include "lavenderpick/Forward/EventSplitter.h"
#include "lavenderpick/Forward/HttpParser.h"

#include <algorithm>
#include <cstdlib>
#include <string>

using namespace Lavenderpick;

namespace {

/// Keeps what a parser finds.
struct Collector : MessageListener
{
    std::string body;
    int messages { 0 };

    void headParsed() override { }
    void bodyParsed(std::string_view bytes) override { body.append(bytes); }
    void messageParsed() override { ++messages; }
};

/// Parses the input in pieces and returns the body of the first message.
std::string parse(HttpParser::MessageType type, std::string_view input, std::size_t piece)
{
    Collector collector;
    HttpParser parser(type, collector);
    while (!input.empty() && parser.state() != HttpParser::State::Failed
           && parser.state() != HttpParser::State::Complete) {
        const std::size_t taken = parser.feed(input.substr(0, piece));
        if (taken == 0)
            break;
        input.remove_prefix(std::min(taken, input.size()));
    }
    return parser.state() == HttpParser::State::Complete ? collector.body : std::string();
}

} // namespace

/// Serialises what was accepted and parses it again: a recipient must read the same request, and
/// nothing behind it.
void checkRoundTrip(std::string_view input)
{
    Collector collector;
    HttpParser parser(HttpParser::MessageType::Request, collector);
    parser.feed(input);
    if (parser.state() != HttpParser::State::Complete)
        return;
    const RequestHead accepted = parser.request();
    std::string sent = accepted.method + " " + accepted.target + " HTTP/1.1\r\n";
    appendEndToEndHeaders(accepted.headers, sent);
    appendFraming(BodyFraming::Length, collector.body.size(), sent);
    sent += "\r\n" + collector.body;
    Collector again;
    HttpParser recipient(HttpParser::MessageType::Request, again);
    if (recipient.feed(sent) != sent.size() || recipient.state() != HttpParser::State::Complete
        || recipient.request().method != accepted.method
        || recipient.request().target != accepted.target || again.body != collector.body)
        std::abort();
    // Those that were sent on, which include neither the framing nor the connection's fields.
    std::string repeated;
    appendEndToEndHeaders(recipient.request().headers, repeated);
    std::string first;
    appendEndToEndHeaders(accepted.headers, first);
    if (repeated != first)
        std::abort();
}

// The pieces in which a message arrives must not change what is read.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    for (const HttpParser::MessageType type :
         { HttpParser::MessageType::Request, HttpParser::MessageType::Response }) {
        if (parse(type, input, size + 1) != parse(type, input, 1))
            std::abort();
    }
    checkRoundTrip(input);
    EventSplitter whole;
    EventSplitter pieces;
    const std::string together = whole.feed(input);
    std::string joined;
    for (const char byte : input)
        joined += pieces.feed({ &byte, 1 });
    if (together != joined || whole.lastEventId() != pieces.lastEventId())
        std::abort();
    return 0;
}
