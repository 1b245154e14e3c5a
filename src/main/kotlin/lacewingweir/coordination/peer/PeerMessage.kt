package lacewingweir.coordination.peer

import kotlinx.serialization.Serializable

/**
 * A message between instances. Each part of coordination declares its own messages beside its agent.
 *
 * A release that adds a message keeps the old ones: receivers skip types that they don't know.
 */
@Serializable
public sealed interface PeerMessage
