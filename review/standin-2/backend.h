/// \file
/// \brief A server of the platform: runs requests, holds keys and registers itself in the store.

#pragma once

#include "record.h"
#include "store.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace review {

/// A range of keys that a server holds, both ends inclusive.
struct hold
{
    int first = 0;
    int last = 0;
    std::uint64_t fence = 0;
    time_point expiresAt{};

    bool contains(int key) const { return first <= key && key <= last; }
};

/// One run of a request.
struct run
{
    std::string id;
    int key = -1; ///< -1 for none
};

/// The fixed properties of a server.
struct backend_options
{
    std::string service;
    std::string zone;
    int slots = 4;
    bool isSharded = false;
    int slowdownPercent = 100; ///< how long work takes on the machine of the server; 100 is usual
};

/// \class backend
/// \brief One server at a fixed address. After a crash it starts again with another id.
///
/// A request works for the milliseconds that its path states as `/work-N`, or for usualWork. The
/// body of its answer has the size that its path states as `/bytes-N`, or a few bytes.
class backend
{
public:
    using json = nlohmann::json;

    static constexpr milliseconds usualWork{40};
    static constexpr milliseconds heartbeatInterval{870};
    static constexpr int keyCount = 65536;
    /// `warmupS` of the service.
    static constexpr milliseconds warmupTime{3000};

    /// What a case adds to the behaviour of a sound server.
    struct hooks
    {
        /// \returns whether the server crashes as it begins to run \a request.
        std::function<bool(backend &self, const http_message &request)> crashes;
        /// Called with each request that the server does not turn away.
        std::function<void(backend &self, const http_message &request)> arrived;
    };

    backend(std::string name, backend_options options, const std::string &address, store &registry,
            recorder &record, hooks extra);
    ~backend();

    std::string id();
    const std::string &name() const { return m_name; }
    /// Reports that the server is about to leave. It goes on serving.
    void leave();
    /// Ends the server for good and removes its entry.
    void end();
    /// Makes the server cold for warmupTime. Its entry and its health answers say so at once.
    void becomeCold();
    bool isCold();
    /// \returns the holds that have not expired.
    std::vector<hold> holds();
    /// \returns the runs that have not ended.
    std::vector<run> runs();
    int crashCount();

private:
    void start();
    void live();
    void report();
    milliseconds warmupLeft() const;
    void handle(const http_message &request, connection &caller);
    void serveRequest(const http_message &request, connection &caller);
    void serveGrant(const json &command, connection &caller);
    void serveRelease(const json &command, connection &caller);
    void answer(connection &caller, int status, const std::string &fields,
                const std::string &body = {});
    bool holdsKey(int key) const;
    bool waitForSlot(const http_message &request, std::unique_lock<std::mutex> &lock);
    static milliseconds workOf(const http_message &request);
    static std::string bodyOf(const http_message &request);

    const std::string m_name;
    const backend_options m_options;
    std::string m_address;
    store &m_registry;
    recorder &m_record;
    hooks m_hooks;

    std::mutex m_mutex; ///< guards what follows
    std::condition_variable m_changed;
    std::string m_id;
    std::int64_t m_born = 0;
    std::int64_t m_sequence = 0;
    int m_life = 0;
    int m_crashes = 0;
    bool m_isLeaving = false;
    bool m_isUp = false;
    bool m_hasEnded = false;
    time_point m_coldUntil{};
    bool m_isStopping = false;
    std::list<hold> m_holds;
    std::list<hold> m_seen; ///< all grants that were accepted
    std::list<run> m_runs;
    std::list<std::string> m_queue; ///< the ids of the requests that wait for a slot
    std::unique_ptr<http_server> m_server;
    std::thread m_life_thread;
};

} // namespace review
