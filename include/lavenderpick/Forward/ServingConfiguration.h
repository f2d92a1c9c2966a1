#pragma once

#include "lavenderpick/Base/Clock.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Lavenderpick {

enum class RouteKind {
    Safe,      ///< May run more than once.
    Unsafe,    ///< May run at most once.
    Streaming, ///< Responds with events; may be retried only if the route is resumable.
};

std::string_view toString(RouteKind kind);

/// A service that receives a share of a route's requests.
struct RouteTarget
{
    std::string service;
    double weight { 1 };

    bool operator==(const RouteTarget &) const = default;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind { RouteKind::Unsafe };
    bool resumable { false };   ///< A broken stream may resume at another upstream.
    bool anonymous { false };   ///< Requests need no customer key.
    Duration timeout {};        ///< From the arrival of a request to the end of its response.
    Duration objective {};      ///< Latency objective; for streams, up to the first event.
    Duration gapObjective {};   ///< Longest time between events; zero for no objective.
    int priority { 0 };         ///< 0 is served first.
    int maximumUpstreams { 1 }; ///< Upstreams that may run one request.
    std::vector<RouteTarget> targets;

    bool isIdempotent() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }

    bool operator==(const Route &) const = default;
};

/// Speed and capacity of one service's model engines, as published by its operator.
struct EngineParameters
{
    int maximumBatchSize { 1 };          ///< Requests that an engine decodes at once.
    std::int64_t kvCapacityTokens { 0 }; ///< Shared by prompts and outputs.
    int tokensPerPass { 1 };             ///< Decoded for each request in a scheduling pass.
    int prefillChunkTokens { 1 };        ///< Most prompt tokens that a step prefills.
    double stepMs { 1 };                 ///< Fixed time of a step.
    double stepMsPerSequence { 0 };
    double stepMsPerThousandContextTokens { 0 }; ///< Context summed over sequences.
    double prefillTokensPerMs { 1 };
    double prefillMsPerMillionPairs { 0 }; ///< Pairs of a prompt token and an earlier one.

    bool operator==(const EngineParameters &) const = default;
};

struct ServiceProfile
{
    std::string name;
    int maximumConnections { 0 }; ///< To one upstream, from all gateways together.
    std::optional<EngineParameters> engine {};
    Duration coldDuration {};           ///< For which an upstream is cold after its start.
    double coldRequestsPerSecond { 0 }; ///< That a cold upstream tolerates; zero for no limit.

    bool operator==(const ServiceProfile &) const = default;
};

struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority {}; ///< Overrides the route's priority.

    bool operator==(const Customer &) const = default;
};

/// Limits on what a caller may send.
struct CallerLimits
{
    std::size_t headBytes { 16'384 };
    std::size_t bodyBytes { 4'194'304 };
    Duration headTimeout { Seconds(3) };
    Duration idleTimeout { Seconds(15) };

    bool operator==(const CallerLimits &) const = default;
};

/// The contents of a configuration, as decoded by a `ControlPlaneSource`.
struct ServingConfigurationParts
{
    std::int64_t version { 0 };
    std::vector<Route> routes;
    std::vector<ServiceProfile> services;
    std::optional<std::vector<Customer>> customers {}; ///< Empty if no request needs a key.
    CallerLimits limits {};

    bool operator==(const ServingConfigurationParts &) const = default;
};

/// A sequence of elements that configurations share, iterated as if it held the elements.
template <typename Element>
class SharedElements
{
public:
    using Pointers = std::vector<std::shared_ptr<const Element>>;

    class Iterator
    {
    public:
        explicit Iterator(typename Pointers::const_iterator position)
            : m_position(position)
        { }
        const Element &operator*() const { return **m_position; }
        Iterator &operator++()
        {
            ++m_position;
            return *this;
        }
        bool operator==(const Iterator &) const = default;

    private:
        typename Pointers::const_iterator m_position;
    };

    void add(std::shared_ptr<const Element> element) { m_pointers.push_back(std::move(element)); }
    std::size_t size() const { return m_pointers.size(); }
    Iterator begin() const { return Iterator(m_pointers.begin()); }
    Iterator end() const { return Iterator(m_pointers.end()); }

    /// Compares the elements, not their addresses.
    bool operator==(const SharedElements &other) const
    {
        return std::ranges::equal(m_pointers, other.m_pointers,
                                  [](const auto &one, const auto &two) { return *one == *two; });
    }

private:
    Pointers m_pointers;
};

/// One version of the operator's configuration, indexed for lookups. Elements are added one by one,
/// so that a large configuration can be built in slices; in use it is shared as const.
class ServingConfiguration
{
public:
    ServingConfiguration() = default;
    explicit ServingConfiguration(ServingConfigurationParts parts);
    // The indexes point to the elements.
    ServingConfiguration(const ServingConfiguration &) = delete;
    ServingConfiguration &operator=(const ServingConfiguration &) = delete;

    /// Of elements with the same host and prefix, name or key, the one added first is found.
    void add(std::shared_ptr<const Route> route);
    void add(std::shared_ptr<const ServiceProfile> service);
    void add(std::shared_ptr<const Customer> customer);
    /// Sets what is not an element. Customers count only if keys are required.
    void setGeneral(std::int64_t version, const CallerLimits &limits, bool requiresKeys);

    std::int64_t version() const { return m_version; }
    const CallerLimits &limits() const { return m_limits; }
    const SharedElements<ServiceProfile> &services() const { return m_services; }
    std::size_t routeCount() const { return m_routes.size(); }
    bool requiresKeys() const { return m_requiresKeys; }

    /// The host's route with the longest prefix that matches the path, or null.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const ServiceProfile *findService(const std::string &name) const;

    /// The customer that owns the key, or null.
    const Customer *findCustomer(const std::string &key) const;

    bool operator==(const ServingConfiguration &other) const;

private:
    using HostAndPrefix = std::pair<std::string_view, std::string_view>;

    struct HashHostAndPrefix
    {
        std::size_t operator()(const HostAndPrefix &key) const;
    };

    std::int64_t m_version { 0 };
    CallerLimits m_limits;
    bool m_requiresKeys { false };
    SharedElements<Route> m_routes;
    SharedElements<ServiceProfile> m_services;
    SharedElements<Customer> m_customers;
    // The keys are parts of the elements, so that an index is cheap to build and to free.
    std::unordered_map<HostAndPrefix, const Route *, HashHostAndPrefix> m_routeIndex;
    std::unordered_map<std::string_view, const ServiceProfile *> m_serviceIndex;
    std::unordered_map<std::string_view, const Customer *> m_customerIndex; ///< By key.
};

} // namespace Lavenderpick
