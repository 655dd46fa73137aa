/// \file
/// \brief Everything that the daemon needs of the platform, in the product's own types.

#pragma once

#include "../Fleet/deployment.h"
#include "../Fleet/target_book.h"
#include "../Proxy/header_names.h"
#include "../Proxy/outgoing_pool.h"
#include "../Ranges/range_keeper.h"
#include "../Table/store_port.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace damaskward {

/// How an order to a target ended.
struct order_answer
{
    order_outcome outcome = order_outcome::Unanswered;
    std::string handover; ///< of a release that was carried out
    bool otherTarget = false; ///< another target has the address now
};

/// What an operators' row says, if anything that concerns the daemon.
struct operator_news
{
    std::shared_ptr<const deployment> config; ///< a version of the configuration, or null
    std::string outDataCenter; ///< a data centre that is to be taken out or back, or empty
};

/// The adapter to a platform: names and encodings, no decisions.
struct platform_port
{
    store_port store;
    header_names headers;
    std::string readyPath;
    std::string operatorTable;
    std::string targetTable;
    std::string ownTable; ///< free for the product's own rows
    std::function<operator_news(const table_row &)> decodeOperatorRow;
    std::function<std::optional<target_record>(const table_row &)> decodeTarget;
    std::function<outgoing_call(const range_order &, const std::string &address)> encodeOrder;
    std::function<order_answer(const call_result &)> decodeOrderAnswer;
};

} // namespace damaskward
