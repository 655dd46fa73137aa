/// \file
/// \brief Applies new versions of the rules.

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
    head_row head; ///< version 0 if no rules have been applied yet
    row_version rowVersion = 0;
    std::string text;
};

/// The outcome of applying rules.
struct apply_outcome
{
    enum class kind {
        Accepted, ///< in force on all live VMs
        Partly, ///< accepted by the platform, but not acknowledged by all live VMs
        Overtaken, ///< another operator applied a version first; nothing was applied
        Refused ///< the rules contain errors; nothing was applied
    };
    kind what = kind::Refused;
    std::uint64_t version = 0;
    std::vector<vm_id> unacknowledgedVms; ///< the live VMs that have not acknowledged the version
    std::vector<diagnostic> mistakes;
};

/// \class rules_applier
/// \brief Checks, stores and activates rules, and waits for the VMs' acknowledgements.
///
/// The text is first stored in an object with a unique name. A compare-and-set of the head row then
/// activates it: if two operators apply rules at once, one gets the outcome Overtaken.
///
/// \code
/// rules_applier applier(platform, nonce);
/// result<apply_outcome> outcome = applier.apply(current, text, "rules.txt", deadline);
/// \endcode
class rules_applier
{
public:
    /// \param nonce a random number that makes the names of the stored objects unique
    rules_applier(platform_client &platform, std::uint64_t nonce);

    /// \returns the rules in force.
    result<current_rules> current();
    /// Replaces the rules \a base by \a text and waits until all live VMs have acknowledged them.
    /// \param file the name of \a text in diagnostics
    /// \param deadline when to stop waiting for acknowledgements
    result<apply_outcome> apply(const current_rules &base, const std::string &text,
                                const std::string &file, time_point deadline);

private:
    result<bool> replaceHead(const current_rules &base, const head_row &next);
    result<std::vector<vm_id>> vmsBehind(std::uint64_t version);
    result<std::vector<diagnostic>> diagnoseRemovedOwners(const current_rules &base,
                                                          const std::string &text,
                                                          const std::string &file);

    platform_client &m_platform;
    std::uint64_t m_nonce;
};

} // namespace damaskward
