package lacewingweir.transport.http

import java.io.IOException

/** Thrown if the other end of a connection has closed it or was disconnected because it read nothing for too long. */
public class PeerClosedException(
    message: String,
) : IOException(message)
