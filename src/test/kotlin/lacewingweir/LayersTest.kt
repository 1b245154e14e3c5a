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
    /** The layers that each layer may use besides itself. */
    private val allowedLayers =
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

    private val sourceRoot = Path.of("src/main/kotlin/lacewingweir")
    private val layerReference = Regex("""\blacewingweir\.([a-z]+)\.""")

    private fun sources(): List<Path> =
        Files.walk(sourceRoot).use { files -> files.filter { it.extension == "kt" }.toList() }

    /** Returns the code of a file without comments. Qualified names in the code count as uses, like imports. */
    private fun Path.codeWithoutComments(): String = readText().replace(Regex("""(?s)/\*.*?\*/|//[^\n]*"""), "")

    // Guards against a layer that depends on one above it, which makes it impossible to test alone.
    @Test
    fun `each layer uses only the layers below it`() {
        val files = sources()
        expectThat(files.size).isGreaterThan(100)
        val violations =
            files.flatMap { file ->
                val layer = sourceRoot.relativize(file).first().toString()
                val allowed = checkNotNull(allowedLayers[layer]) { "$file is in no known layer" }
                layerReference
                    .findAll(file.codeWithoutComments())
                    .map { it.groupValues[1] }
                    .filter { it != layer && it !in allowed }
                    .map { "$file uses $it" }
                    .toList()
            }
        expectThat(violations).isEmpty()
    }

    // Guards against blocking or hard-to-test code in the two layers that consist of pure functions and data.
    @Test
    fun `state and protocol perform no input or output`() {
        val ioReference =
            Regex("""\b(java\.net\.(Socket|ServerSocket|http)|java\.nio\.file|java\.io\.File|io\.ktor)\b""")
        val violations =
            sources()
                .filter { sourceRoot.relativize(it).first().toString() in setOf("state", "protocol") }
                .filter { ioReference.containsMatchIn(it.codeWithoutComments()) }
        expectThat(violations).isEmpty()
    }
}
