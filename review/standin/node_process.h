/// \file
/// \brief Starts and ends damaskward-node as the platform does.

#pragma once

#include "run_record.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace damaskward::review {

/// The addresses of one node, all on its own loopback address.
struct node_place
{
    std::string name;
    std::string zone;
    std::string ip;
    int callerPort = 0;
    int readyPort = 0;
    int controlPort = 0;
    int peerPort = 0;
};

/// \returns a node's place, with ports that are free now.
node_place findPlace(const std::string &name, const std::string &zone, const std::string &ip);

/// One process of damaskward-node.
class node_process
{
public:
    /// \param folder a temporary folder for settings and logs
    node_process(run_record &record, node_place place, std::string folder, std::string storeAddress,
                 const std::vector<node_place> &all);
    ~node_process();
    node_process(const node_process &) = delete;
    node_process &operator=(const node_process &) = delete;

    const node_place &place() const { return m_place; }
    void start();
    /// \returns whether it answered its readiness check with 200 before \a timeout had passed.
    bool waitUntilReady(milliseconds timeout) const;
    /// \returns whether the process has ended. Records how, once.
    bool hasEnded();
    void kill(int signal) const;

private:
    run_record &m_record;
    node_place m_place;
    std::string m_folder;
    std::string m_settings;
    pid_t m_id = 0;
    bool m_isFirstStart = true;
    std::string m_storeAddress;
    std::vector<node_place> m_all;
};

} // namespace damaskward::review
