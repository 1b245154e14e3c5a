package lacewingweir.testing

import java.net.InetSocketAddress
import java.net.Socket

/** Connects to a loopback port with a small window, so that responses wait at the server until they are read. */
internal fun smallWindowSocket(
    port: Int,
    readTimeoutMillis: Int,
): Socket =
    Socket().apply {
        receiveBufferSize = 16_384
        soTimeout = readTimeoutMillis
        connect(InetSocketAddress("127.0.0.1", port))
    }
