package lacewingweir.cli

import java.util.Properties

/** What the running program was built from. */
internal object BuildInfo {
    /**
     * The abbreviated commit, ending in `-dirty` if files had been changed since, or `unknown` if the program was not
     * built in a repository.
     */
    val commit: String by lazy {
        val stored = BuildInfo::class.java.getResourceAsStream("/git.properties")
        val properties = Properties().apply { stored?.use(::load) }
        properties.getProperty("git.commit.id.describe", "unknown")
    }
}
