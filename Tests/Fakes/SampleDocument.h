#pragma once

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Document/Document.h"

namespace Lavenderpick {

/// Entries for tests. The secret of `sampleKeys` is "secret".
inline nlohmann::json sampleKeys()
{
    const std::string salt = "0123456789abcdef";
    return nlohmann::json::array(
            { { { "salt", salt }, { "hash", saltedKeyHash(salt, "secret") } } });
}

inline nlohmann::json sampleCustomer(double weight = 1)
{
    return { { "keys", sampleKeys() },
             { "weight", weight },
             { "budget", 100 },
             { "roles", { "completions" } } };
}

inline nlohmann::json sampleOperator(const std::vector<std::string> &sections)
{
    return { { "keys", sampleKeys() }, { "sections", sections } };
}

inline nlohmann::json sampleModel()
{
    return { { "versions", { "1" } }, { "maximum_prompt_tokens", 1'000'000 } };
}

inline nlohmann::json sampleService(bool repeatable)
{
    return { { "repeatable", repeatable }, { "paths", { "/bookings" } }, { "timeout", "5 s" } };
}

} // namespace Lavenderpick
