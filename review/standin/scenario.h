/// \file
/// \brief What the scripted cases share: a small deployment, callers and the end of a run.

#pragma once

#include "backend.h"
#include "node_process.h"
#include "run_record.h"
#include "store.h"

#include <memory>
#include <string>
#include <vector>

namespace damaskward::review {

/// The exit codes of a case.
enum exit_code : int { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

/// How one request of a caller ended.
struct call_outcome
{
    bool isAnswered = false;
    bool isClosed = false; ///< the connection ended without an answer
    int status = 0;
};

/// \returns \a outcome as a text for the record.
std::string textOf(const call_outcome &outcome);

/// A requester with one connection to one node, which it keeps. Records what it sends and gets.
class caller
{
public:
    caller(run_record &record, const node_place &node)
        : m_record(record)
        , m_node(node)
    { }

    /// Sends a request and waits for its answer, at most for \a budgetMs. Opens a connection if it
    /// has none, and drops it if there is no answer.
    /// \param fields further header fields, each ending with CRLF
    call_outcome call(const std::string &method, const std::string &path, const std::string &id,
                      const std::string &fields, int budgetMs);
    bool hasConnection() const { return m_stream != nullptr; }

private:
    run_record &m_record;
    node_place m_node;
    std::unique_ptr<http_stream> m_stream;
};

/// A small deployment: a store, some nodes in one zone, and backends that the case adds.
class scenario
{
public:
    scenario(const std::string &recordPath, int nodeCount);
    ~scenario();
    scenario(const scenario &) = delete;
    scenario &operator=(const scenario &) = delete;

    run_record &record() { return m_record; }
    store &rows() { return *m_store; }
    const std::vector<std::unique_ptr<node_process>> &nodes() const { return m_nodes; }
    /// \returns a loopback address for backends.
    const std::string &backendIp() const { return m_backendIp; }
    /// Adds a backend at that address.
    backend &addBackend(const std::string &id, const std::string &service, bool sharded,
                        int slots = 8);
    const std::vector<std::unique_ptr<backend>> &backends() const { return m_backends; }
    /// Writes the config: two routes and their services, and no tenants.
    void writeConfig();
    /// Starts the nodes and waits until they are ready.
    bool startNodes();
    /// Ends all processes and stand-ins. To be called before what the interceptors use is gone.
    void stop();

private:
    std::string m_folder;
    run_record m_record;
    std::string m_backendIp;
    std::unique_ptr<store> m_store;
    std::vector<std::unique_ptr<node_process>> m_nodes;
    std::vector<std::unique_ptr<backend>> m_backends;
};

/// Hosts and paths of the routes in writeConfig().
inline constexpr const char *ledgerRoute = "/ledger/"; ///< unsafe, to the service `ledger`
inline constexpr const char *archiveRoute = "/archive/"; ///< safe, to the service `archive`
inline constexpr const char *ranksRoute = "/ranks/"; ///< safe, to the sharded service `ranks`

/// \returns whether the case runs with its disruption.
bool hasTrouble();

int runSpoiledTrailer(const std::string &recordPath);
int runSecondAnswer(const std::string &recordPath);
int runForeignEntry(const std::string &recordPath);
int runLongEntry(const std::string &recordPath);

} // namespace damaskward::review
