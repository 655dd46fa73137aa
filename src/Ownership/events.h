/// \file
/// \brief What goes into the ownership machine and what comes out of it.

#pragma once

#include "../Rules/rule_set.h"
#include "../Table/table.h"
#include "messages.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace damaskward {

/// Numbers an operation so that its answer finds it again.
using operation_id = std::uint64_t;

/// Time has passed.
struct tick
{ };

/// The answer to \ref read_table; nothing when the table could not be reached.
struct read_done
{
    operation_id id = 0;
    std::optional<table_changes> changes;
};

/// The answer to \ref commit_table.
struct commit_done
{
    operation_id id = 0;
    commit_answer answer;
};

/// The answer to \ref send_grant; nothing when the target did not answer.
struct grant_done
{
    target_id target;
    std::optional<grant_answer> answer;
    bool connectionRefused = false; ///< nobody listens there: the target is surely not running
};

/// Another VM asks for a promise.
struct hold_asked
{
    operation_id id = 0;
    hold_request request;
};

/// Another VM asks for a vote.
struct vote_asked
{
    operation_id id = 0;
    vote_request request;
};

/// The answer to \ref ask_hold.
struct hold_answered
{
    operation_id id = 0;
    vm_id from;
    std::optional<hold_answer> answer;
};

/// The answer to \ref ask_vote.
struct vote_answered
{
    operation_id id = 0;
    vm_id from;
    std::optional<vote_answer> answer;
};

/// A version of the rules is in force at this VM from now on.
struct rules_adopted
{
    std::uint64_t version = 0;
    std::shared_ptr<const rule_set> rules;
};

/// The process was asked to stop; its roles are to be handed over.
struct stop_requested
{ };

/// Everything that can happen to the ownership machine.
using ownership_event =
    std::variant<tick, read_done, commit_done, grant_done, hold_asked, vote_asked, hold_answered,
                 vote_answered, rules_adopted, stop_requested>;

/// Read all rows changed after a revision, directly or, when \a through is named, by way of that
/// VM.
struct read_table
{
    operation_id id = 0;
    table_revision since = 0;
    vm_id through; ///< empty: directly
};

/// Apply a transaction, directly or, when \a through is named, by way of that VM.
struct commit_table
{
    operation_id id = 0;
    table_transaction transaction;
    vm_id through; ///< empty: directly
};

/// Send an order to a target.
struct send_grant
{
    std::string address;
    grant_request request;
};

struct ask_hold
{
    operation_id id = 0;
    vm_id to;
    hold_request request;
};

struct ask_vote
{
    operation_id id = 0;
    vm_id to;
    vote_request request;
};

struct answer_hold
{
    operation_id id = 0;
    hold_answer answer;
};

struct answer_vote
{
    operation_id id = 0;
    vote_answer answer;
};

/// Everything that the ownership machine can ask for.
using ownership_action = std::variant<read_table, commit_table, send_grant, ask_hold, ask_vote,
                                      answer_hold, answer_vote>;

/// Actions in the order in which they are to be started.
using action_list = std::vector<ownership_action>;

} // namespace damaskward
