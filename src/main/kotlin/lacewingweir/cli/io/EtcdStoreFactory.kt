package lacewingweir.cli.io

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import lacewingweir.protocol.settings.HostPort
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.store.EtcdConfigStore
import lacewingweir.transport.store.EtcdStoreSettings
import lacewingweir.transport.store.StoreAddress

/** Connects to the store in etcd for the duration of a command. */
internal object EtcdStoreFactory {
    /** Longer than the timeout of an instance, because operators would rather wait than get an unknown outcome. */
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
