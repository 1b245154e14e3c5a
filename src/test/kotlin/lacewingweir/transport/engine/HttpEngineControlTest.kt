package lacewingweir.transport.engine

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.rollout.CommandResult
import lacewingweir.coordination.rollout.LoadedModel
import lacewingweir.standin.engine.StandinEngine
import lacewingweir.standin.engine.StandinEngineFaults
import lacewingweir.standin.engine.StandinEngineOptions
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import lacewingweir.transport.http.HttpClient
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class HttpEngineControlTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)
    private val engine = StandinEngine(StandinEngineOptions(loadMillis = 60_000)).start()
    private val control = HttpEngineControl(client, timeoutMillis = 3_000)
    private val model = ModelName("model")
    private val endpoint =
        Endpoint(EndpointId("e"), EndpointKind.ENGINE, "127.0.0.1", engine.port, FailureDomain("d"), listOf(model))

    @AfterEach
    fun tearDown() {
        client.close()
        engine.close()
        group.shutdownGracefully()
    }

    // Guards against reporting a fenced command as accepted, and against reporting a status for an unreachable engine.
    @Test
    fun `status and load commands report the responses of the engine`() =
        runBlocking<Unit> {
            engine.setFaults(StandinEngineFaults(leaving = true))
            val initialStatus = control.status(endpoint)
            expectThat(initialStatus).isNotNull().get { leaving }.isTrue()
            expectThat(initialStatus?.models).isEqualTo(listOf(LoadedModel(model, WeightsVersion("v1"), false)))
            expectThat(control.load(endpoint, model, WeightsVersion("v2"), 7)).isEqualTo(CommandResult.Accepted)
            expectThat(control.load(endpoint, model, WeightsVersion("v3"), 6)).isEqualTo(CommandResult.Fenced)
            expectThat(control.status(endpoint)?.models)
                .isEqualTo(listOf(LoadedModel(model, WeightsVersion("v2"), true)))
            engine.close()
            expectThat(control.status(endpoint)).isNull()
            expectThat(control.load(endpoint, model, WeightsVersion("v3"), 8)).isA<CommandResult.Failed>()
        }
}
