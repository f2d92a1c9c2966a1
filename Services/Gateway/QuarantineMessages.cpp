#include "Services/Gateway/QuarantineMessages.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

nlohmann::json encodeQuarantineNews(const QuarantineNews &news)
{
    nlohmann::json json = nlohmann::json::object();
    for (const BrokenAttempt &attempt : news.broken)
        json["broken"].push_back({ attempt.upstream, attempt.promptParts });
    for (const QuarantineNews::Sound &sound : news.sound)
        json["sound"].push_back({ sound.part, toMilliseconds(sound.sentAgo) });
    for (const QuarantineNews::Held &held : news.held)
        json["held"].push_back({ held.parts, toMilliseconds(held.left),
                                 toMilliseconds(held.firstCrashAgo), held.timesHeld });
    return json;
}

QuarantineNews decodeQuarantineNews(const nlohmann::json &json)
{
    QuarantineNews news;
    for (const nlohmann::json &entry : json.value("broken", nlohmann::json::array()))
        news.broken.push_back({ .upstream = entry.at(0).get<std::string>(),
                                .promptParts = entry.at(1).get<std::vector<std::string>>() });
    for (const nlohmann::json &entry : json.value("sound", nlohmann::json::array()))
        news.sound.push_back({ .part = entry.at(0).get<std::string>(),
                               .sentAgo = Milliseconds(entry.at(1).get<std::int64_t>()) });
    for (const nlohmann::json &entry : json.value("held", nlohmann::json::array()))
        news.held.push_back({ .parts = entry.at(0).get<std::vector<std::string>>(),
                              .left = Milliseconds(entry.at(1).get<std::int64_t>()),
                              .firstCrashAgo = Milliseconds(entry.at(2).get<std::int64_t>()),
                              .timesHeld = entry.at(3).get<int>() });
    return news;
}

} // namespace Lavenderpick
