package lacewingweir.cli.io

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import lacewingweir.protocol.settings.HostPort
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.store.EtcdConfigStore
import lacewingweir.transport.store.EtcdStoreSettings
import lacewingweir.transport.store.StoreAddress

/** Opens the platform's store for the duration of one command. */
internal object EtcdStoreFactory {
    /** Longer than an instance's timeout, since an operator rather waits than gets an unknown outcome. */
    private const val CALL_TIMEOUT_MILLIS: Long = 3_000

    fun open(addresses: List<HostPort>): StoreHandle {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val client = HttpClient(group)
        val settings = EtcdStoreSettings(addresses.map { StoreAddress(it.host, it.port) }, CALL_TIMEOUT_MILLIS)
        return StoreHandle(EtcdConfigStore(client, settings)) {
            client.close()
            group.shutdownGracefully()
        }
    }
}
