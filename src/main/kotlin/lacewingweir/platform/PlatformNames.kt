/** Names of the platform's headers, paths, keys and operations. Nothing outside this folder knows them. */
package lacewingweir.platform

internal object PlatformHeaders {
    const val REQUEST_ID = "Attempt-Id"
    const val REMAINING_MILLIS = "Deadline-Ms"
    const val API_KEY = "X-Api-Key"

    /** The customer's name, for endpoints. */
    const val CUSTOMER = "Tenant"
    const val EXPECTED_ENDPOINT = "Expect-Instance"
    const val EXPECTED_WEIGHTS = "Expect-Version"

    /** Present on answers of endpoints that did not run the request. */
    const val NOT_RUN = "Not-Executed"
    const val MODEL = "Model"
    const val TOKEN_COUNTS = "Token-Counts"
    const val PROMPT_PARTS = "Prompt-Prefix"
    const val LAST_EVENT_ID = "Last-Event-Id"
    const val CACHE_SALT = "Cache-Salt"

    /** Address of an engine that holds parts of the prompt. */
    const val PREFIX_SOURCE = "Kv-Fetch"

    /** Engine and name of the copy of a run with which the same run goes on. */
    const val CONTINUED_COPY = "Kv-From"
    const val PRIORITY = "Request-Priority"

    /** One whole number in spite of its plural. */
    const val WEIGHTS = "Weight-Versions"

    /** Headers that instances set; what callers send under these names is dropped. */
    val reservedForInstances =
        setOf(
            REMAINING_MILLIS,
            CUSTOMER,
            EXPECTED_ENDPOINT,
            EXPECTED_WEIGHTS,
            CACHE_SALT,
            PRIORITY,
            PREFIX_SOURCE,
            "Kv-Save",
            CONTINUED_COPY,
            "Kv-Backup",
            "Hold",
            "Pin-Ms",
        ).mapTo(HashSet()) { it.lowercase() }
}

internal object PlatformPaths {
    const val ENGINE_STATUS = "/lacewingweir/report"
    const val LOAD_COMMAND = "/lacewingweir/order"
    const val RUN_TRANSFER = "/lacewingweir/kv-move"
    const val RUN_COPY = "/lacewingweir/kv-handle/"
    const val KEY_RANGE = "/lacewingweir/kv-range"
    const val KEY_WATCH = "/lacewingweir/kv-watch"
    const val TRANSACTION = "/lacewingweir/kv-txn"
    const val LEASE_GRANT = "/lacewingweir/kv-lease"
    const val LEASE_RENEW = "/lacewingweir/kv-keep/"
    const val LEASE_END = "/lacewingweir/kv-lease-end/"
}

internal object PlatformKeys {
    const val CONFIG = "op/config"
    const val TARGET_WEIGHTS_PREFIX = "op/version/"
    const val ENDPOINT_PREFIX = "servers/"
    const val INSTANCE_PREFIX = "lacewingweir/instances/"
    const val HOT_CUSTOMERS = "lacewingweir/hot-customers"
    const val ROLLOUT_LEASE = "lacewingweir/rollout"
}
