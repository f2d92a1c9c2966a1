#include "EngineSimulation.h"

#include "EngineOutput.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace Lavenderpick::StandIns {

namespace {

constexpr std::chrono::milliseconds idleWait { 50 };
constexpr std::chrono::seconds finishedRetention { 10 };

/// A handle names the digest and tokens it stands for, so that another engine can continue.
struct HandleContent
{
    std::uint64_t digest { 0 };
    std::int64_t tokens { 0 };
};

// Handles look like kv-<engine>-<number>-<digest in hex>-<tokens>.
std::optional<HandleContent> parseHandle(const std::string &handle)
{
    const std::size_t last = handle.rfind('-');
    if (last == std::string::npos || last == 0)
        return std::nullopt;
    const std::size_t middle = handle.rfind('-', last - 1);
    if (middle == std::string::npos)
        return std::nullopt;
    HandleContent content;
    const char *text = handle.data();
    const auto digest = std::from_chars(text + middle + 1, text + last, content.digest, 16);
    const auto tokens = std::from_chars(text + last + 1, text + handle.size(), content.tokens);
    if (digest.ec != std::errc() || tokens.ec != std::errc())
        return std::nullopt;
    return content;
}

} // namespace

EngineSimulation::EngineSimulation(const EngineOptions &options)
    : m_options(options)
    , m_cache(options.eventDelayMilliseconds, options.eventGap)
    , m_state({ { "models", nlohmann::json::object() },
                { "adapters", nlohmann::json::object() },
                { "role", "both" },
                { "fence", 0 } })
{
    for (const std::string &model : options.models)
        m_state["models"][model] = "1";
    publishLoad();
}

std::chrono::nanoseconds EngineSimulation::scaled(double simulatedMicroseconds) const
{
    return std::chrono::nanoseconds(
            static_cast<std::int64_t>(simulatedMicroseconds * 1'000 * m_options.timeScale));
}

std::chrono::nanoseconds EngineSimulation::step()
{
    std::unique_lock lock(m_mutex);
    applyOrders();
    dropFinished();
    admitWaiting();
    std::int64_t budget = m_options.tokenBudget;
    decode(budget);
    double microseconds = prefill(budget);
    const bool worked = budget < m_options.tokenBudget;
    if (worked) {
        microseconds += m_options.stepMilliseconds * 1'000;
        m_lastStepMilliseconds = microseconds / 1'000;
        m_changed.notify_all();
    }
    publishLoad();
    if (worked)
        return scaled(microseconds);
    m_changed.wait_for(lock, idleWait);
    return {};
}

bool EngineSimulation::submit(const GenerateRequest &request, bool isSegment)
{
    const std::lock_guard lock(m_mutex);
    Sequence sequence { .id = request.id, .isSegment = isSegment, .digest = emptyPromptDigest };
    for (const std::string &handle : request.handles) {
        const auto content = parseHandle(handle);
        if (!content)
            return false;
        sequence.digest = content->digest;
        sequence.contextTokens += content->tokens;
    }
    if (request.handles.empty())
        sequence.blocks = PrefixCache::blocksOf(request.prompt);
    sequence.digest = extendPromptDigest(sequence.digest, request.prompt);
    sequence.promptTokens =
            tokensInBytes(request.prompt.size()) + tokensInBytes(request.resumeText.size());
    sequence.firstOffset = request.resumeOffset;
    sequence.maximumTokens = isSegment ? 0 : request.maximumTokens;
    sequence.kvTokenCount = sequence.promptTokens
            + std::max<std::int64_t>(0, sequence.maximumTokens - request.resumeOffset);
    sequence.text = request.resumeText;
    sequence.priority = request.priority;
    sequence.arrival = ++m_arrivals;
    if (sequence.kvTokenCount > m_options.kvCapacity)
        return false;
    const bool added = m_sequences.emplace(request.id, std::move(sequence)).second;
    m_changed.notify_all();
    return added;
}

bool EngineSimulation::cancel(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end())
        return false;
    if (found->second.admitted && !found->second.finished)
        m_kvUsed -= found->second.kvTokenCount;
    m_sequences.erase(found);
    m_changed.notify_all();
    return true;
}

std::vector<Sequence *> EngineSimulation::byRank()
{
    std::vector<Sequence *> ranked;
    for (auto &[id, sequence] : m_sequences) {
        if (!sequence.finished)
            ranked.push_back(&sequence);
    }
    std::ranges::sort(ranked, [](const Sequence *left, const Sequence *right) {
        return std::pair(-left->priority, left->arrival)
                < std::pair(-right->priority, right->arrival);
    });
    return ranked;
}

void EngineSimulation::admitWaiting()
{
    for (Sequence *sequence : byRank()) {
        if (sequence->admitted)
            continue;
        // A sequence that doesn't fit holds those behind it back, so that it can't starve.
        if (m_kvUsed + sequence->kvTokenCount > m_options.kvCapacity)
            return;
        m_kvUsed += sequence->kvTokenCount;
        sequence->admitted = true;
        sequence->cachedTokens = m_cache.cachedTokens(sequence->blocks);
        sequence->prefilled = sequence->cachedTokens;
        m_cache.shrinkTo(m_options.kvCapacity - m_kvUsed);
    }
}

void EngineSimulation::decode(std::int64_t &budget)
{
    for (Sequence *sequence : byRank()) {
        if (budget == 0 || !sequence->admitted || sequence->isSegment)
            continue;
        if (sequence->prefilled < sequence->promptTokens)
            continue;
        --budget;
        if (sequence->produced() < sequence->maximumTokens)
            sequence->text += outputToken(sequence->digest, sequence->produced());
        if (sequence->produced() >= sequence->maximumTokens)
            finish(*sequence);
    }
}

double EngineSimulation::prefill(std::int64_t &budget)
{
    double microseconds = 0;
    for (Sequence *sequence : byRank()) {
        const std::int64_t left = sequence->promptTokens - sequence->prefilled;
        if (!sequence->admitted || budget == 0)
            continue;
        const std::int64_t chunk = std::min(left, budget);
        const double earlier = sequence->contextTokens + sequence->prefilled + chunk / 2.0;
        microseconds += chunk * m_options.prefillMicrosecondsPerToken
                + chunk * earlier * m_options.attentionNanosecondsPerPair / 1'000;
        sequence->prefilled += chunk;
        budget -= chunk;
        if (sequence->isSegment && sequence->prefilled == sequence->promptTokens)
            finish(*sequence);
    }
    return microseconds;
}

void EngineSimulation::finish(Sequence &sequence)
{
    sequence.finished = true;
    sequence.finishedAt = std::chrono::steady_clock::now();
    m_kvUsed -= sequence.kvTokenCount;
    if (sequence.isSegment)
        sequence.handle = newHandle(sequence.digest, sequence.promptTokens);
    m_cache.insert(sequence.blocks);
    m_cache.shrinkTo(m_options.kvCapacity - m_kvUsed);
}

void EngineSimulation::dropFinished()
{
    const auto oldest = std::chrono::steady_clock::now() - finishedRetention;
    std::erase_if(m_sequences, [&](const auto &item) {
        return item.second.finished && item.second.finishedAt < oldest;
    });
}

std::string EngineSimulation::newHandle(std::uint64_t digest, std::int64_t tokens)
{
    char hex[17] {};
    std::to_chars(hex, hex + 16, digest, 16);
    const std::string handle = "kv-" + m_options.name + "-" + std::to_string(++m_handleCount) + "-"
            + hex + "-" + std::to_string(tokens);
    m_handles[handle] = tokens;
    m_kvUsed += tokens;
    return handle;
}

EngineSimulation::Progress EngineSimulation::progress(const std::string &id, std::int64_t from,
                                                      std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    const auto hasNews = [&] {
        const auto found = m_sequences.find(id);
        return found == m_sequences.end() || found->second.finished
                || (!found->second.isSegment && found->second.produced() > from);
    };
    m_changed.wait_for(lock, timeout, hasNews);
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end())
        return { .gone = true };
    const Sequence &sequence = found->second;
    Progress progress { .finished = sequence.finished,
                        .count = sequence.produced(),
                        .promptTokens = sequence.contextTokens + sequence.promptTokens,
                        .cachedTokens = sequence.cachedTokens,
                        .handle = sequence.handle };
    for (std::int64_t offset = std::max(from, sequence.firstOffset); offset < sequence.produced();
         ++offset)
        progress.tokens.emplace_back(offset, sequence.text.substr(offset * bytesPerToken, 4));
    if (sequence.finished)
        progress.text = sequence.text;
    return progress;
}

bool EngineSimulation::contains(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_sequences.contains(id);
}

std::optional<std::string> EngineSimulation::exportStream(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end() || found->second.prefilled < found->second.promptTokens)
        return std::nullopt;
    const std::int64_t tokens = found->second.promptTokens;
    if (m_kvUsed + tokens > m_options.kvCapacity)
        return std::nullopt;
    return newHandle(found->second.digest, tokens);
}

std::optional<std::string> EngineSimulation::importHandle(const std::string &handle)
{
    const std::lock_guard lock(m_mutex);
    const auto content = parseHandle(handle);
    if (!content || m_kvUsed + content->tokens > m_options.kvCapacity)
        return std::nullopt;
    return newHandle(content->digest, content->tokens);
}

bool EngineSimulation::releaseHandle(const std::string &handle)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_handles.find(handle);
    if (found == m_handles.end())
        return false;
    m_kvUsed -= found->second;
    m_handles.erase(found);
    m_changed.notify_all();
    return true;
}

void EngineSimulation::publishLoad()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_load.is_null()
        && now - m_loadAt < std::chrono::milliseconds(m_options.loadLagMilliseconds))
        return;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t backlog = 0;
    for (const Sequence *sequence : byRank()) {
        ++(sequence->admitted ? running : waiting);
        backlog += sequence->promptTokens - sequence->prefilled;
    }
    m_load = { { "kv_used", m_kvUsed },        { "kv_capacity", m_options.kvCapacity },
               { "running", running },         { "waiting", waiting },
               { "prefill_backlog", backlog }, { "step_ms", m_lastStepMilliseconds } };
    m_loadAt = now;
}

nlohmann::json EngineSimulation::load() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json load = m_load;
    const auto age = std::chrono::steady_clock::now() - m_loadAt;
    load["as_of_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return load;
}

nlohmann::json EngineSimulation::inventory() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json streams = nlohmann::json::array();
    nlohmann::json handles = nlohmann::json::array();
    for (const auto &[id, sequence] : m_sequences) {
        if (!sequence.finished)
            streams.push_back(id);
    }
    for (const auto &[handle, tokens] : m_handles)
        handles.push_back(handle);
    return { { "streams", streams }, { "handles", handles } };
}

nlohmann::json EngineSimulation::cacheEvents(std::int64_t after) const
{
    const std::lock_guard lock(m_mutex);
    return m_cache.events(after);
}

nlohmann::json EngineSimulation::state()
{
    const std::lock_guard lock(m_mutex);
    applyOrders();
    return m_state;
}

bool EngineSimulation::order(const nlohmann::json &order)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t fence = order.at("fence");
    if (fence < m_highestFence && !m_options.ignoreFence)
        return false;
    m_highestFence = std::max(m_highestFence, fence);
    m_orders.push_back({ order,
                         std::chrono::steady_clock::now()
                                 + std::chrono::milliseconds(m_options.orderMilliseconds) });
    return true;
}

void EngineSimulation::applyOrders()
{
    while (!m_orders.empty() && m_orders.front().effectiveAt <= std::chrono::steady_clock::now()) {
        const nlohmann::json order = m_orders.front().order;
        m_orders.erase(m_orders.begin());
        const std::string kind = order.at("kind");
        const std::string name = order.at("name");
        if (kind == "load_model" || kind == "load_adapter")
            m_state[kind == "load_model" ? "models" : "adapters"][name] = order.at("version");
        else if (kind == "unload_model" || kind == "unload_adapter")
            m_state[kind == "unload_model" ? "models" : "adapters"].erase(name);
        else if (kind == "role")
            m_state["role"] = name;
        m_state["fence"] = order.at("fence");
    }
}

} // namespace Lavenderpick::StandIns
