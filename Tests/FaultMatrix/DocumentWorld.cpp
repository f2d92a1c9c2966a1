#include "Fakes/FakeObjectStore.h"
#include "Fakes/FakeTable.h"
#include "Fakes/SampleDocument.h"
#include "FaultMatrix/Matrix.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Document/DocumentReplica.h"
#include "lavenderpick/Document/DocumentStore.h"

#include <algorithm>

namespace Lavenderpick::FaultMatrix {

namespace {

/// An operator edits with faults; a replica reads the store with faults and tells another one.
class DocumentWorld
{
public:
    DocumentWorld(const Plan &plan, const Guards &guards)
        : m_guards(guards)
        , m_injector(m_clock, plan)
        , m_faultyTable(m_table, m_injector, guards)
        , m_faultyObjects(m_objects, m_injector, guards)
    {
        m_plain.apply({ .section = "operators",
                        .entries = { { "ops", sampleOperator({ "operators", "models" }) } } });
        m_injector.race = [this] { editElsewhere(); };
        m_injector.whileFrozen = [this] {
            m_clock.advance(Seconds(60));
            editElsewhere();
            m_plain.refresh(m_second);
        };
        m_injector.redeliver = [this] { offer(m_lastMessage); };
    }

    CellResult run()
    {
        enter([this] { edit(); });
        for (int round = 0; round < 2; ++round) {
            enter([this] { m_faulty.refresh(m_first); });
            enter([this] { tell(); });
            m_injector.quietly([this] { editElsewhere(); });
        }
        m_injector.quietly([this] { finish(); });
        return { m_injector.kinds(), m_violations };
    }

private:
    template <typename Code>
    void enter(Code code)
    {
        try {
            code();
        } catch (const ProcessKilled &) {
            // The tool or the replica's process starts anew; its next call is a new one.
        } catch (const Error &) {
            // Tried again later.
        }
        observe();
    }

    DocumentEdit makeEdit(const std::string &name)
    {
        return { .section = "models",
                 .entries = { { name, sampleModel() } },
                 .baseVersion = m_plain.load().section("models").version,
                 .editor = "ops" };
    }

    void edit()
    {
        const DocumentEdit mine = makeEdit("mine");
        try {
            const EditResult result = m_faulty.apply(mine);
            m_accepted = result.applied;
            m_refused = !result.applied;
        } catch (const Error &error) {
            m_refused = error.kind() == ErrorKind::StoreUnavailable;
        }
    }

    void editElsewhere()
    {
        m_plain.apply(makeEdit("other" + std::to_string(m_others++)));
        observe();
    }

    void tell()
    {
        const nlohmann::json message = m_first.toMessage(0, DocumentView::Whole);
        m_injector.perform<bool>(StepKind::Message, [this, message] {
            offer(message);
            return true;
        });
    }

    void offer(const nlohmann::json &message)
    {
        if (message.is_null())
            return;
        m_lastMessage = message;
        if (m_guards.ordered) {
            m_second.offerMessage(message, DocumentSource::Peer);
            observe();
        } else {
            observeSecond(message.at("version").get<std::int64_t>());
        }
    }

    void observe()
    {
        check(m_first.version() >= m_firstSeen, "a replica reverted");
        m_firstSeen = m_first.version();
        if (m_guards.ordered)
            observeSecond(m_second.version());
    }

    void observeSecond(std::int64_t version)
    {
        check(version >= m_secondSeen, "a replica reverted");
        m_secondSeen = version;
    }

    void finish()
    {
        m_injector.recover();
        m_plain.refresh(m_first);
        m_plain.refresh(m_second);
        observe();
        const std::int64_t head = m_plain.headVersion();
        check(m_first.version() == head && m_second.version() == head, "a change is not in force");
        int effects = 0;
        const auto changes = m_plain.changesSince(0);
        for (const auto &change : changes.value_or(std::vector<DocumentChange>()))
            effects += change.entries.contains("mine") ? 1 : 0;
        check(effects <= 1, "an edit took effect twice");
        check(!m_accepted || effects == 1, "an accepted edit is not in the log");
        check(!m_accepted || m_first.current()->entry("models", "mine") != nullptr,
              "an accepted edit is not in force");
        check(!m_refused || effects == 0, "a refused edit took effect");
        for (int other = 0; other < m_others; ++other)
            check(m_first.current()->entry("models", "other" + std::to_string(other)) != nullptr,
                  "the other operator's edit was lost");
    }

    void check(bool holds, const std::string &violation)
    {
        if (!holds)
            m_violations.push_back(violation);
    }

    Guards m_guards;
    ManualClock m_clock {};
    Injector m_injector;
    FakeTable m_table {};
    FakeObjectStore m_objects {};
    FaultyTable m_faultyTable;
    FaultyObjects m_faultyObjects;
    SeededRandom m_random { 1 };
    SeededRandom m_faultyRandom { 2 };
    DocumentStore m_plain { m_table, m_objects, m_random, m_clock, [](Duration) {} };
    DocumentStore m_faulty { m_faultyTable, m_faultyObjects, m_faultyRandom, m_clock,
                             [](Duration) {} };
    DocumentReplica m_first { m_clock };
    DocumentReplica m_second { m_clock };
    nlohmann::json m_lastMessage {};
    std::int64_t m_firstSeen { 0 };
    std::int64_t m_secondSeen { 0 };
    int m_others { 0 };
    bool m_accepted { false };
    bool m_refused { false };
    std::vector<std::string> m_violations {};
};

} // namespace

Scenario documentScenario()
{
    return { "document", [](const Plan &plan, const Guards &guards) {
                return DocumentWorld(plan, guards).run();
            } };
}

} // namespace Lavenderpick::FaultMatrix
