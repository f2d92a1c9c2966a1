#include "lavenderpick/Protocol/Datagrams.h"

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

namespace {

// One-letter field names keep a load report near 100 bytes, as the control budget of 2 KB/s needs.
nlohmann::json toJson(const Subscribe &subscribe)
{
    return { { "t", "s" },
             { "e", subscribe.entry },
             { "a", subscribe.address },
             { "v", subscribe.documentVersion },
             { "n", subscribe.reportIntervalMilliseconds } };
}

nlohmann::json toJson(const LoadReport &report)
{
    return {
        { "t", "l" },
        { "u", report.upstream },
        { "v", report.documentVersion },
        { "q", report.sequence },
        { "i", report.incarnation },
        { "o", report.accepting },
        { "m", report.models },
        { "k", report.kvTokensInUse },
        { "c", report.kvCapacity },
        { "r", report.running },
        { "w", report.waiting },
        { "p", report.prefillBacklog },
        { "b", report.shortBacklog },
        { "s", report.stepMicroseconds },
        { "g", report.ageMilliseconds },
    };
}

nlohmann::json toJson(const Gossip &gossip)
{
    return {
        { "t", "g" },
        { "e", gossip.entry },
        { "a", gossip.address },
        { "v", gossip.documentVersion },
        { "g", gossip.confirmationAgeMilliseconds },
        { "u", gossip.usage },
        { "n", gossip.usageEpoch },
        { "r", gossip.answer },
    };
}

Subscribe parseSubscribe(const nlohmann::json &json)
{
    return Subscribe {
        .entry = requireString(json, "e"),
        .address = requireString(json, "a"),
        .documentVersion = requireInteger(json, "v"),
        .reportIntervalMilliseconds = optionalInteger(json, "n", 1000, 100, 60'000),
    };
}

LoadReport parseLoadReport(const nlohmann::json &json)
{
    LoadReport report {
        .upstream = requireString(json, "u"),
        .documentVersion = requireInteger(json, "v"),
        .sequence = requireInteger(json, "q"),
        .incarnation = requireInteger(json, "i"),
        .accepting = requireBool(json, "o"),
        .kvTokensInUse = requireInteger(json, "k"),
        .kvCapacity = requireInteger(json, "c"),
        .running = requireInteger(json, "r"),
        .waiting = requireInteger(json, "w"),
        .prefillBacklog = requireInteger(json, "p"),
        .shortBacklog = optionalInteger(json, "b", -1, -1),
        .stepMicroseconds = requireInteger(json, "s"),
        .ageMilliseconds = requireInteger(json, "g"),
    };
    for (const nlohmann::json &model : requireArray(json, "m")) {
        if (!model.is_string())
            throw Error(ErrorKind::InvalidMessage, "A model's name must be a string",
                        "Run the same release on both ends.");
        report.models.push_back(model.get<std::string>());
    }
    return report;
}

Gossip parseGossip(const nlohmann::json &json)
{
    Gossip gossip {
        .entry = requireString(json, "e"),
        .address = requireString(json, "a"),
        .documentVersion = requireInteger(json, "v"),
        .confirmationAgeMilliseconds = requireInteger(json, "g"),
        .usageEpoch = optionalInteger(json, "n", 0),
        .answer = requireBool(json, "r"),
    };
    for (const auto &[customer, usage] : requireObject(json, "u").items()) {
        if (!usage.is_number())
            throw Error(ErrorKind::InvalidMessage, "A customer's usage must be a number",
                        "Run the same release on both ends.");
        gossip.usage.emplace(customer, usage.get<double>());
    }
    return gossip;
}

std::string tagOf(const std::string &body, const std::string &key)
{
    return keyedTag(key, body).substr(0, datagramTagBytes);
}

} // namespace

std::string encodeDatagram(const Datagram &datagram, const std::string &key)
{
    const std::string body =
            toCbor(std::visit([](const auto &message) { return toJson(message); }, datagram));
    return body + tagOf(body, key);
}

Datagram decodeDatagram(const std::string &bytes, const std::string &key)
{
    if (bytes.size() <= datagramTagBytes || bytes.size() > maximumDatagramBytes)
        throw Error(ErrorKind::InvalidMessage, "A datagram has a wrong size",
                    "Run the same release on both ends.");
    const std::string body = bytes.substr(0, bytes.size() - datagramTagBytes);
    if (!equalConstantTime(bytes.substr(body.size()), tagOf(body, key)))
        throw Error(ErrorKind::Unauthenticated, "A datagram has a wrong tag",
                    "Set the same cluster key on all processes.");
    const nlohmann::json json = parseCbor(body, "datagram");
    const std::string type = requireString(json, "t");
    if (type == "s")
        return parseSubscribe(json);
    if (type == "l")
        return parseLoadReport(json);
    if (type == "g")
        return parseGossip(json);
    throw Error(ErrorKind::InvalidMessage, "A datagram has an unknown type",
                "Run the same release on both ends.");
}

} // namespace Lavenderpick
