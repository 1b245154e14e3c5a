package lacewingweir

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText
import kotlin.streams.toList

internal class LayersTest {
    /** Layers that each layer may use besides itself; section 3 of the design. */
    private val allowed =
        mapOf(
            "state" to setOf(),
            "coordination" to setOf("state"),
            "protocol" to setOf("state", "coordination"),
            "transport" to setOf("state", "coordination", "protocol"),
            "platform" to setOf("state", "coordination", "protocol", "transport"),
            "standin" to setOf("state", "coordination", "protocol", "transport"),
            "load" to setOf("state", "coordination", "protocol", "transport"),
            "cli" to setOf("state", "coordination", "protocol", "transport", "platform", "standin", "load"),
        )

    private val root = Path.of("src/main/kotlin/lacewingweir")
    private val reference = Regex("""\blacewingweir\.([a-z]+)\.""")

    private fun sources(): List<Path> = Files.walk(root).use { files -> files.filter { it.extension == "kt" }.toList() }

    /** Code without its comments; qualified names in the code count like imports. */
    private fun Path.code(): String = readText().replace(Regex("""(?s)/\*.*?\*/|//[^\n]*"""), "")

    // Guards against layers that grow together, so that the lower ones can't be tested without the upper ones.
    @Test
    fun `each layer uses only the layers below it`() {
        val files = sources()
        expectThat(files.size).isGreaterThan(100)
        val offences =
            files.flatMap { file ->
                val layer = root.relativize(file).first().toString()
                val lower = checkNotNull(allowed[layer]) { "$file is in no known layer" }
                reference
                    .findAll(file.code())
                    .map { it.groupValues[1] }
                    .filter { it != layer && it !in lower }
                    .map { "$file uses $it" }
                    .toList()
            }
        expectThat(offences).isEmpty()
    }

    // Guards against blocking or untestable code in the parts that are meant to be pure.
    @Test
    fun `state and protocol do no input or output`() {
        val io = Regex("""\b(java\.net\.(Socket|ServerSocket|http)|java\.nio\.file|java\.io\.File|io\.ktor)\b""")
        val offences =
            sources()
                .filter { root.relativize(it).first().toString() in setOf("state", "protocol") }
                .filter { io.containsMatchIn(it.code()) }
        expectThat(offences).isEmpty()
    }
}
