#include "Services/Operator/RequestStory.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Lavenderpick {

namespace {

// A belief that misled a request may have changed some seconds before it.
constexpr double secondsBefore = 5;
constexpr double secondsAfter = 0.5;
// A prompt that an engine reads when the request arrives was sent within the longest reading.
constexpr double workSecondsBefore = 2;

std::string textField(const nlohmann::json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double timeOf(const nlohmann::json &line)
{
    const auto found = line.find("time");
    return found != line.end() && found->is_number() ? found->get<double>() : 0;
}

std::set<std::string> upstreamsOf(const nlohmann::json &line)
{
    std::set<std::string> upstreams;
    if (const std::string upstream = textField(line, "upstream"); !upstream.empty())
        upstreams.insert(upstream);
    const auto helpers = line.find("helpers");
    if (helpers != line.end() && helpers->is_array()) {
        for (const nlohmann::json &helper : *helpers) {
            if (helper.is_string())
                upstreams.insert(helper.get<std::string>());
        }
    }
    return upstreams;
}

std::string describe(const nlohmann::json &line, double begin)
{
    std::array<char, 32> offset {};
    std::snprintf(offset.data(), offset.size(), "%+9.1f ms", (timeOf(line) - begin) * 1'000);
    std::string text = std::string(offset.data()) + "  " + textField(line, "process") + "  "
            + textField(line, "message");
    for (const auto &[name, value] : line.items()) {
        static const std::set<std::string> shown { "time",  "process",    "message",
                                                   "level", "request_id", "component" };
        if (!shown.contains(name))
            text += "  " + name + "="
                    + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text + "\n";
}

} // namespace

RequestStory::RequestStory(std::string requestId)
    : m_requestId(std::move(requestId))
{ }

template <typename Take>
void RequestStory::readLines(std::istream &log, Take take)
{
    std::string line;
    while (std::getline(log, line)) {
        const std::size_t begin = line.find('{');
        if (begin == std::string::npos)
            continue;
        const nlohmann::json json = nlohmann::json::parse(
                line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
        if (json.is_object() && json.contains("time"))
            take(json);
        else
            ++m_brokenLines;
    }
}

void RequestStory::readRequest(std::istream &log)
{
    readLines(log, [this](const nlohmann::json &line) {
        if (textField(line, "request_id") != m_requestId)
            return;
        const double time = timeOf(line);
        m_begin = m_own.empty() ? time : std::min(m_begin, time);
        m_end = std::max(m_end, time);
        m_processes.insert(textField(line, "process"));
        m_upstreams.merge(upstreamsOf(line));
        m_own.push_back(line);
    });
}

bool RequestStory::isMeanwhile(double time) const
{
    return time >= m_begin - secondsBefore && time <= m_end + secondsAfter;
}

void RequestStory::readSurroundings(std::istream &log)
{
    readLines(log, [this](const nlohmann::json &line) {
        if (!isMeanwhile(timeOf(line)) || textField(line, "request_id") == m_requestId)
            return;
        if (line.contains("request_id")) {
            takeOtherWork(line);
            return;
        }
        const std::string upstream = textField(line, "upstream");
        const bool concerns = upstream.empty() ? m_processes.contains(textField(line, "process"))
                                               : m_upstreams.contains(upstream);
        if (concerns)
            m_surroundings.push_back(line);
    });
}

void RequestStory::takeOtherWork(const nlohmann::json &line)
{
    if (textField(line, "message") != "sent" || timeOf(line) < m_begin - workSecondsBefore
        || timeOf(line) > m_end)
        return;
    const auto tokens = line.find("tokens");
    const std::int64_t prompt =
            tokens != line.end() && tokens->is_number() ? tokens->get<std::int64_t>() : 0;
    for (const std::string &upstream : upstreamsOf(line)) {
        if (!m_upstreams.contains(upstream))
            continue;
        OtherWork &work = m_otherWork[upstream];
        ++work.requests;
        if (prompt > work.largestPrompt) {
            work.largestPrompt = prompt;
            work.largestRequest = textField(line, "request_id");
        }
    }
}

std::vector<nlohmann::json> RequestStory::ordered() const
{
    std::vector<nlohmann::json> lines = m_own;
    lines.insert(lines.end(), m_surroundings.begin(), m_surroundings.end());
    std::stable_sort(lines.begin(), lines.end(), [](const auto &left, const auto &right) {
        return timeOf(left) < timeOf(right);
    });
    return lines;
}

nlohmann::json RequestStory::toJson() const
{
    nlohmann::json work = nlohmann::json::object();
    for (const auto &[upstream, other] : m_otherWork)
        work[upstream] = { { "requests", other.requests },
                           { "largest_prompt", other.largestPrompt },
                           { "largest_request", other.largestRequest } };
    return { { "request_id", m_requestId },
             { "lines", ordered() },
             { "other_work", work },
             { "broken_lines", m_brokenLines } };
}

std::string RequestStory::toText() const
{
    std::string text = "Request " + m_requestId + ", times from its first line:\n";
    for (const nlohmann::json &line : ordered())
        text += describe(line, m_begin);
    for (const auto &[upstream, work] : m_otherWork) {
        text += "Meanwhile " + upstream + " got " + std::to_string(work.requests)
                + (work.requests == 1 ? " other request" : " other requests");
        if (work.largestPrompt > 0)
            text += ", the largest of " + std::to_string(work.largestPrompt) + " tokens ("
                    + work.largestRequest + ")";
        text += ".\n";
    }
    if (m_brokenLines > 0)
        text += std::to_string(m_brokenLines) + " lines of the logs could not be read.\n";
    return text;
}

} // namespace Lavenderpick
