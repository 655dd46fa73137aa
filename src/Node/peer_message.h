/// \file
/// \brief What VMs tell each other. Source of the codec: nlohmann's JSON library (CBOR).

#pragma once

#include "../Admission/token_desk.h"
#include "../Core/ids.h"
#include "../Fleet/peer_book.h"
#include "../Fleet/registry_relay.h"
#include "../Ranges/key_demand.h"
#include "../Ranges/range_map.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damaskward {

/// The owners of all keys, as the keeper publishes them: without lives and fences, which concern
/// the keeper alone.
struct owner_update
{
    std::uint64_t version = 0; ///< rises; a later keeper's versions are above all earlier ones
    std::map<service_id, range_map> maps;
};

/// Owners that are asked for more than they get done.
struct owner_shares
{
    std::uint64_t version = 0; ///< as in owner_update, but counted apart
    std::map<std::string, double>
        shares; ///< of the requests that a target can take; others take all
};

/// "Send me your owner_update."
struct owner_query
{
    std::string from;
};

/// A draw of tokens, with the VM that wants them.
struct peer_draw
{
    std::string from;
    token_draw draw;
};

using peer_message = std::variant<peer_beat, owner_update, owner_query, key_demand, peer_draw,
                                  token_grant, registry_delta, peer_digest, owner_shares>;

/// \returns \a message as a datagram.
std::string encodeMessage(const peer_message &message);

/// \returns the message, or nothing when the datagram is malformed.
std::optional<peer_message> decodeMessage(std::string_view datagram);

} // namespace damaskward
