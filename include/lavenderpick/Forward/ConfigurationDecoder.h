#pragma once

#include "lavenderpick/Forward/ServingConfiguration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Lavenderpick {

/// A configuration as stored.
struct ConfigurationSnapshot
{
    std::int64_t revision { 0 }; ///< Increases with every change; orders snapshots of all gateways.
    std::string text;            ///< As stored, so that a peer can pass it on unchanged.
    bool encoded { false };      ///< `text` is in the form in which the store transfers it.

    bool operator==(const ConfigurationSnapshot &) const = default;
};

/// An element of one of the configuration's arrays; empty if the array means nothing to a gateway.
using ConfigurationElement = std::variant<std::monostate, Route, ServiceProfile, Customer>;

/// Decodes the text of a configuration. The functions throw `Error` of kind InvalidMessage.
class ConfigurationDecoder
{
public:
    virtual ~ConfigurationDecoder() = default;

    /// Decodes a whole configuration.
    virtual ServingConfigurationParts decodeConfiguration(std::string_view text) const = 0;

    /// Decodes the JSON text of one element of the top-level array `member`.
    virtual ConfigurationElement decodeElement(std::string_view member,
                                               std::string_view text) const = 0;

    /// Decodes a piece of a snapshot's encoded text. Four bytes of it stand for three of the text
    /// except at its end, and pieces before the end have a multiple of four bytes.
    virtual std::string decodeTransfer(std::string_view piece) const = 0;
};

} // namespace Lavenderpick
