#pragma once

#include "Services/Entry/EntrySettings.h"
#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Metrics.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Document/DocumentReplica.h"

namespace Lavenderpick {

/// What most parts of an entry process use. All members are safe for concurrent use and outlive the
/// parts.
struct EntryContext
{
    const EntrySettings &settings;
    const Clock &clock;
    Random &random;
    Metrics &metrics;
    DocumentReplica &replica;
};

} // namespace Lavenderpick
