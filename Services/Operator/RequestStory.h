#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace Lavenderpick {

/// What the logs of all processes tell of one request, in order of time.
///
/// Logs are read twice, as the lines that explain a request name the upstreams that it was sent to
/// and not the request: `readRequest` for each log, then `readSurroundings` for each.
class RequestStory
{
public:
    explicit RequestStory(std::string requestId);

    /// Takes the request's own lines. Other text, such as a collector's prefix before the JSON, is
    /// skipped.
    void readRequest(std::istream &log);

    /// Takes what its processes and upstreams went through meanwhile.
    void readSurroundings(std::istream &log);

    bool isEmpty() const { return m_own.empty(); }

    /// Lines that look like JSON and are not; a log that was cut ends with one.
    std::int64_t brokenLines() const { return m_brokenLines; }

    nlohmann::json toJson() const;
    std::string toText() const;

private:
    /// Other work that one of its upstreams got meanwhile.
    struct OtherWork
    {
        int requests { 0 };
        std::int64_t largestPrompt { 0 }; ///< Tokens.
        std::string largestRequest;
    };

    template <typename Take>
    void readLines(std::istream &log, Take take);

    bool isMeanwhile(double time) const;
    void takeOtherWork(const nlohmann::json &line);
    std::vector<nlohmann::json> ordered() const;

    std::string m_requestId;
    std::vector<nlohmann::json> m_own;
    std::vector<nlohmann::json> m_surroundings;
    std::set<std::string> m_processes;
    std::set<std::string> m_upstreams;
    std::map<std::string, OtherWork> m_otherWork; ///< By upstream.
    double m_begin { 0 };                         ///< Seconds since 1970.
    double m_end { 0 };
    std::int64_t m_brokenLines { 0 };
};

} // namespace Lavenderpick
