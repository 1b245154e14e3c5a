package lacewingweir.cli.serve

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import lacewingweir.coordination.time.CoroutineTimerService
import lacewingweir.coordination.time.PartFailures
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.HttpClient

/** The threads, timers, clock, HTTP client and metrics registry that the components of an instance share. */
internal class InstanceRuntime : AutoCloseable {
    private val failures = PartFailures()
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default + failures.handler)
    val timers: TimerService = CoroutineTimerService(scope, failures = failures)
    val clock: MonotonicClock = MonotonicClock.SYSTEM
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory())
    val http = HttpClient(group)
    val registry = PrometheusRegistry()

    init {
        CounterWithCallback
            .builder()
            .name("lacewingweir_malformed_responses_total")
            .help("Malformed responses of endpoints and of the store, by defect.")
            .labelNames("defect")
            .callback { metric ->
                http.malformedResponses.forEach { (defect, count) ->
                    metric.call(count.toDouble(), defect.name.lowercase())
                }
            }.register(registry)
    }

    override fun close() {
        scope.cancel()
        http.close()
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val IO_THREADS: Int = 2
        const val SHUTDOWN_TIMEOUT_MILLIS: Long = 500
    }
}
