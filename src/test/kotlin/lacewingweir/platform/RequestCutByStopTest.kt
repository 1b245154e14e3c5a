package lacewingweir.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.Socket

/** Guards against requests that were being received when their instance stopped, and are cut off. */
@Timeout(60)
internal class RequestCutByStopTest {
    /**
     * Sends the head of a request [HEAD_MILLIS] after the stop began and the rest of its body [restMillis] after that,
     * and returns the status line of the answer. The store takes [storeMillis] to respond from then on.
     */
    private fun playStop(
        restMillis: Long,
        storeMillis: Long = 0,
    ): String =
        runBlocking {
            RouterFleet(size = 1, engines = 1, desks = 1).use { fleet ->
                fleet.start()
                fleet.desks.forEach { it.prefillMillis = DESK_MILLIS }
                expectThat(fleet.lookUp(0, "ready").complete).isTrue()
                coroutineScope {
                    val stop = async { fleet.stopInstance(0) }
                    delay(HEAD_MILLIS)
                    Socket(fleet.host(0), RouterFleet.CALLER_PORT).use { socket ->
                        socket.soTimeout = READ_TIMEOUT_MILLIS
                        socket.send(HEAD + "4\r\nbody\r\n")
                        fleet.store.responseMillis = storeMillis
                        delay(restMillis)
                        socket.send("0\r\n\r\n")
                        stop.await()
                        val sentOn = fleet.desks.any { desk -> desk.arrivals.any { it.body == "body" } }
                        println("stop: the request was sent on=$sentOn")
                        socket
                            .getInputStream()
                            .bufferedReader()
                            .readLine()
                            .orEmpty()
                    }
                }
            }
        }

    private fun Socket.send(text: String) =
        getOutputStream().run {
            write(text.encodeToByteArray())
            flush()
        }

    @Test
    fun `a request whose body ends after its instance has closed its ports is answered`() {
        expectThat(playStop(restMillis = 1_400)).isEqualTo("HTTP/1.1 200 OK")
    }

    /** The instance removes itself from the store after its last request, which takes long if the store is slow. */
    @Test
    fun `a request that is sent on while its instance removes itself from the store is answered`() {
        expectThat(playStop(restMillis = 900, storeMillis = 1_000)).isEqualTo("HTTP/1.1 200 OK")
    }

    private companion object {
        const val DESK_MILLIS = 900L
        const val HEAD_MILLIS = 2_000L
        const val READ_TIMEOUT_MILLIS = 10_000
        const val HEAD =
            "POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 00000000000000ab\r\nX-Api-Key: k1\r\n" +
                "Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
    }
}
