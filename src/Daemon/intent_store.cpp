#include "intent_store.h"

#include <vector>

namespace damaskward {

void intent_store::write(const std::string &name, row_version expected, const std::string &value,
                         write_callback done)
{
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t ticket = ++m_nextTicket;
        m_callbacks[ticket] = std::move(done);
        m_committer.add({ticket, name, expected, value});
    }
    sendNext();
}

void intent_store::sendNext()
{
    std::optional<table_transaction> transaction;
    {
        const std::lock_guard lock(m_mutex);
        transaction = m_committer.next();
    }
    if (!transaction) {
        return;
    }
    m_platform.commit(*transaction, [self = shared_from_this()](const commit_answer &answer) {
        self->onCommitAnswer(answer);
    });
}

void intent_store::onCommitAnswer(const commit_answer &answer)
{
    struct finished_call
    {
        finished_write write;
        write_callback done;
    };
    std::vector<finished_call> calls;
    {
        const std::lock_guard lock(m_mutex);
        for (const finished_write &write : m_committer.finish(answer)) {
            const auto callback = m_callbacks.find(write.ticket);
            calls.push_back({write, std::move(callback->second)});
            m_callbacks.erase(callback);
        }
    }
    sendNext();
    for (const finished_call &call : calls) {
        call.done(call.write);
    }
}

void intent_store::record(const std::string &name, const intent_row &row, record_callback done)
{
    write(name, 0, encode(row),
          [self = shared_from_this(), name, row,
           done = std::move(done)](const finished_write &finished) {
              if (finished.outcome == write_outcome::Applied) {
                  done({intent_outcome::kind::Recorded, finished.version, {}});
                  return;
              }
              self->readBack(name, row, done);
          });
}

void intent_store::readBack(const std::string &name, const intent_row &row,
                            const record_callback &done)
{
    m_platform.readRows({name}, [row, done](const std::optional<table_changes> &found) {
        intent_outcome outcome;
        if (found && !found->rows.empty()) {
            const table_row &stored = found->rows.front();
            const std::optional<intent_row> existing = decodeIntent(stored.value);
            if (existing && existing->token == row.token) {
                outcome.what = intent_outcome::kind::Recorded;
                outcome.version = stored.version;
            } else if (existing) {
                outcome.what = intent_outcome::kind::Exists;
                outcome.existing = *existing;
            }
        }
        done(outcome);
    });
}

void intent_store::complete(const std::string &name, row_version version, const intent_row &row,
                            std::function<void()> done)
{
    write(name, version, encode(row),
          [done = std::move(done)](const finished_write & /*write*/) { done(); });
}

void intent_store::withdraw(const std::string &name, row_version version,
                            std::function<void()> done)
{
    write(name, version, "",
          [done = std::move(done)](const finished_write & /*write*/) { done(); });
}

} // namespace damaskward
