#pragma once

#include "lavenderpick/Base/Error.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

/// A value that parses must survive its own serialisation; anything else must throw `Error`.
template <typename Value>
void checkRoundTrip(const nlohmann::json &json)
{
    try {
        const Value value = Value::parse(json);
        if (!(Value::parse(value.toJson()) == value))
            std::abort();
    } catch (const Lavenderpick::Error &) {
        return;
    }
}
