package lacewingweir.transport.http

import java.io.IOException

/** The other end of a connection closed it, or was disconnected because it stalled. */
public class PeerClosedException(
    message: String,
) : IOException(message)
