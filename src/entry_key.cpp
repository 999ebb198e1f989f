#include "entry_key_p.h"

#include <xxhash.h>

#include <memory>
#include <string>

namespace agatedrum {

namespace {

struct StateDeleter
{
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

/// Computes XXH3-64 over a sequence of fields. The length of each string is included, so that two different sequences
/// never produce the same hash input.
class FieldHash
{
public:
    FieldHash()
        : state(XXH3_createState())
    {
        XXH3_64bits_reset(this->state.get());
    }
    void add(const std::string &text)
    {
        this->add(static_cast<std::int64_t>(text.size()));
        XXH3_64bits_update(this->state.get(), text.data(), text.size());
    }
    void add(std::int64_t number)
    {
        XXH3_64bits_update(this->state.get(), &number, sizeof number);
    }
    std::int64_t digest() const
    {
        return static_cast<std::int64_t>(XXH3_64bits_digest(this->state.get()));
    }

private:
    std::unique_ptr<XXH3_state_t, StateDeleter> state;
};

} // namespace

std::int64_t jobDigest(const wire::JobSpec &spec)
{
    FieldHash hash;
    hash.add(spec.team);
    hash.add(spec.serviceName);
    hash.add(spec.submittedAtMs);
    hash.add(std::int64_t {spec.idempotent ? 1 : 0});
    hash.add(static_cast<std::int64_t>(spec.tasks.size()));
    for (const auto &task : spec.tasks) {
        hash.add(task.id);
        hash.add(task.body);
        hash.add(task.declaredMicros);
    }
    return hash.digest();
}

std::size_t cellIndex(const wire::JobKey &key, std::size_t cells)
{
    const auto text = key.caller + '\0' + key.submission;
    return XXH3_64bits(text.data(), text.size()) % cells;
}

} // namespace agatedrum
