#include "lavenderpick/Document/DocumentReplica.h"

#include <benchmark/benchmark.h>

using namespace Lavenderpick;

namespace {

DocumentChange change(std::int64_t version, std::int64_t customer)
{
    DocumentChange result;
    result.version = version;
    result.section = "customers";
    result.entries["customer-" + std::to_string(customer)] = {
        { "key_hash", std::string(64, 'a') }, { "salt", "salt" }, { "budget", 1.5 }, { "weight", 1 }
    };
    return result;
}

// One change of a customer in a document with as many customers as the argument says.
void documentChange(benchmark::State &state)
{
    const SystemClock clock;
    DocumentReplica replica(clock);
    std::int64_t version = 0;
    for (std::int64_t customer = 0; customer < state.range(0); ++customer)
        replica.offerChanges({ change(++version, customer) }, DocumentSource::Store);
    for (auto _ : state) {
        ++version;
        const DocumentChange next = change(version, version % state.range(0));
        const OfferResult result = replica.offerChanges({ next }, DocumentSource::Store);
        if (result != OfferResult::Applied)
            state.SkipWithError("the change was not applied");
    }
    state.SetComplexityN(state.range(0));
}

BENCHMARK(documentChange)->Arg(400)->Arg(1'600)->Arg(6'700)->Complexity();

} // namespace
