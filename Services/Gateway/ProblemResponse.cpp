#include "Services/Gateway/ProblemResponse.h"

#include "lavenderpick/Base/Json.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

/// Seconds with two decimals.
std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text {};
    const double seconds = std::chrono::duration<double>(duration).count();
    std::snprintf(text.data(), text.size(), "%.2f", seconds);
    return text.data();
}

} // namespace

std::string ProblemResponse::toHttp(const HeaderNames &names) const
{
    const nlohmann::json body { { "reason", toString(reason) },
                                { "message", message },
                                { "ran", toString(ran) },
                                { "request_id", requestId } };
    const std::string text = toJsonText(body);
    std::string response =
            "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase(status)) + "\r\n";
    if (!requestId.empty())
        appendField(names.requestId, requestId, response);
    appendField("Content-Type", "application/json", response);
    if (retryAfter)
        appendField("Retry-After", formatSeconds(*retryAfter), response);
    appendFraming(BodyFraming::Length, text.size(), response);
    if (closesConnection)
        appendField("Connection", "close", response);
    response += "\r\n";
    if (!toHeadRequest)
        response += text;
    return response;
}

} // namespace Lavenderpick
