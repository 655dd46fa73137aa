/// \file
/// \brief Puts a new version of the rules in force.

#pragma once

#include "../Core/diagnostic.h"
#include "../Platform/platform_client.h"
#include "../Table/rows.h"

#include <string>
#include <vector>

namespace damaskward {

/// The rules in force.
struct current_rules
{
    head_row head; ///< version 0: there are none yet
    row_version rowVersion = 0;
    std::string text;
};

/// How an attempt to apply rules ended.
struct apply_outcome
{
    enum class kind {
        Accepted, ///< in force at every live VM
        Partly, ///< accepted by the platform, but some VMs have not acknowledged it
        Overtaken, ///< another operator's version came first; nothing was applied
        Refused ///< the rules have mistakes; nothing was applied
    };
    kind what = kind::Refused;
    std::uint64_t version = 0;
    std::vector<vm_id> behind; ///< the live VMs that have not acknowledged it
    std::vector<diagnostic> mistakes;
};

/// \class rules_applier
/// \brief Checks, stores and activates rules, and waits for the VMs' acknowledgements.
///
/// The text goes into an object of its own name first; then a compare-and-set of the head row
/// makes it the version in force. So of two operators one wins and the other is told.
///
/// \code
/// rules_applier applier(platform, nonce);
/// result<apply_outcome> outcome = applier.apply(current, text, deadline);
/// \endcode
class rules_applier
{
public:
    /// \param nonce random; makes the object's name this command's own
    rules_applier(platform_client &platform, std::uint64_t nonce);

    /// \returns the rules in force.
    result<current_rules> current();
    /// Replaces \a base by \a text.
    /// \param file names the text in reports of mistakes
    /// \param deadline how long to wait for acknowledgements
    result<apply_outcome> apply(const current_rules &base, const std::string &text,
                                const std::string &file, time_point deadline);

private:
    result<bool> moveHead(const current_rules &base, const head_row &next);
    result<std::vector<vm_id>> vmsBehind(std::uint64_t version);
    result<std::vector<diagnostic>> removedOwners(const current_rules &base,
                                                  const std::string &text, const std::string &file);

    platform_client &m_platform;
    std::uint64_t m_nonce;
};

} // namespace damaskward
