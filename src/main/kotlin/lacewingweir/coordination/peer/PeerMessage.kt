package lacewingweir.coordination.peer

import kotlinx.serialization.Serializable

/**
 * A message between instances.
 *
 * Receivers skip messages of unknown types, so that a release can add a message while older releases are running. A
 * release that adds a message must keep the existing ones.
 */
@Serializable
public sealed interface PeerMessage
