/// \file
/// \brief A stand-in for a backend: runs requests, and holds keys if its service is sharded.

#pragma once

#include "http.h"
#include "run_record.h"
#include "store.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace damaskward::review {

struct backend_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int slots = 8;
    bool sharded = false;
};

/// A range of keys, both ends inclusive.
struct key_span
{
    int first = 0;
    int last = 0;
};

/// Runs each request for the time that its path states (`.../work-MILLIS/...`), at most until its
/// time budget ends or its connection closes.
class backend
{
public:
    /// Handles a request in place of the backend. \returns false to leave it to the backend.
    using interceptor = std::function<bool(http_stream &, const http_message &)>;

    backend(store &rows, run_record &record, backend_options options);
    ~backend();
    backend(const backend &) = delete;
    backend &operator=(const backend &) = delete;

    std::string id() const;
    std::string address() const { return m_server->address(); }

    void setInterceptor(interceptor action);
    /// Called with the accepted grant and the time of its arrival.
    std::function<void(const backend &, key_span, long fence)> onGranted;

    /// Begins to leave: reports `draining`, or removes its entry without a report. It goes on
    /// serving.
    void leave(bool announce);

    /// What this backend does with a range of keys.
    struct key_use
    {
        int heldCount = 0; ///< keys of the range that it holds
        int runningCount = 0; ///< requests on them that it is at work on
        /// The longest time for which its last grant of a key with running work would have lasted.
        milliseconds grantLeft{0};
    };
    key_use use(key_span keys) const;
    bool holds(int key) const;

private:
    static constexpr int keyCount = 65536;

    struct key_state
    {
        long fence = 0;
        time_point heldUntil{};
        time_point grantedUntil{}; ///< like heldUntil, but a release doesn't end it
        int running = 0;
    };

    void serve(http_stream &stream);
    bool handle(http_stream &stream, const http_message &request);
    std::string grant(const http_message &request);
    std::string release(const http_message &request);
    std::string run(const http_stream &stream, const http_message &request);
    void beat();
    void writeEntry();

    store &m_rows;
    run_record &m_record;
    backend_options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    interceptor m_interceptor;
    std::vector<key_state> m_keys;
    std::atomic<int> m_runCount{0};
    int m_running = 0;
    long m_sequence = 0;
    long m_born = 0;
    bool m_isDraining = false;
    bool m_hasEntry = true;
    std::atomic<bool> m_isStopping{false};
    std::unique_ptr<http_server> m_server;
    std::thread m_beating;
};

} // namespace damaskward::review
