/// \file
/// \brief The events that the class ownership handles and the actions that it returns.

#pragma once

#include "../Rules/rule_set.h"
#include "../Table/table.h"
#include "messages.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace damaskward {

/// Identifies an operation, to match its answer with it.
using operation_id = std::uint64_t;

/// The periodic event that starts operations which have become due.
struct tick
{ };

/// The result of \ref read_table.
struct read_done
{
    operation_id id = 0;
    std::optional<table_changes> changes; ///< empty if the table could not be reached
};

/// The result of \ref commit_table.
struct commit_done
{
    operation_id id = 0;
    commit_answer answer;
};

/// The result of \ref send_grant.
struct grant_done
{
    target_id target;
    std::optional<grant_answer> answer; ///< empty if the target did not answer
    bool connectionRefused = false; ///< nothing listens there: it has certainly terminated
};

/// Another VM has requested a promise.
struct hold_request_received
{
    operation_id id = 0;
    hold_request request;
};

/// Another VM has requested a vote.
struct vote_request_received
{
    operation_id id = 0;
    vote_request request;
};

/// The result of \ref send_hold_request.
struct hold_answered
{
    operation_id id = 0;
    vm_id from;
    std::optional<hold_answer> answer; ///< empty if the VM did not answer
};

/// The result of \ref send_vote_request.
struct vote_answered
{
    operation_id id = 0;
    vm_id from;
    std::optional<vote_answer> answer; ///< empty if the VM did not answer
};

/// This VM has put a version of the rules into force.
struct rules_adopted
{
    std::uint64_t version = 0;
    std::shared_ptr<const rule_set> rules;
};

/// The process has been requested to stop: its roles are handed over and its session ends.
struct stop_requested
{ };

/// All events that the class ownership handles.
using ownership_event = std::variant<tick, read_done, commit_done, grant_done,
                                     hold_request_received, vote_request_received, hold_answered,
                                     vote_answered, rules_adopted, stop_requested>;

/// Read all rows changed after a revision.
struct read_table
{
    operation_id id = 0;
    table_revision since = 0;
    vm_id through; ///< the VM that relays the read; empty to read directly
};

/// Apply a transaction.
struct commit_table
{
    operation_id id = 0;
    table_transaction transaction;
    vm_id through; ///< the VM that relays the transaction; empty to send it directly
};

/// Send a command to a target.
struct send_grant
{
    std::string address;
    grant_request request;
};

/// Request a promise from another VM.
struct send_hold_request
{
    operation_id id = 0;
    vm_id to;
    hold_request request;
};

/// Request a vote from another VM.
struct send_vote_request
{
    operation_id id = 0;
    vm_id to;
    vote_request request;
};

/// Answer \ref hold_request_received.
struct answer_hold
{
    operation_id id = 0;
    hold_answer answer;
};

/// Answer \ref vote_request_received.
struct answer_vote
{
    operation_id id = 0;
    vote_answer answer;
};

/// All actions that the class ownership returns.
using ownership_action = std::variant<read_table, commit_table, send_grant, send_hold_request,
                                      send_vote_request, answer_hold, answer_vote>;

/// Actions in the order in which they are to be started.
using action_list = std::vector<ownership_action>;

} // namespace damaskward
