/**
 * Names of the platform's headers, paths and store keys.
 *
 * The constants are named in the terms of this project. A comment explains a name on the wire that suggests another
 * meaning.
 */
package lacewingweir.platform

internal object PlatformHeaders {
    /** The id of the request, which is the same for every endpoint that the request is sent to. */
    const val REQUEST_ID = "Attempt-Id"

    /** The time that remains for the response in milliseconds, not a point in time. */
    const val REMAINING_MILLIS = "Deadline-Ms"
    const val API_KEY = "X-Api-Key"

    /** The id of the customer that sent the request. Set for endpoints. */
    const val CUSTOMER = "Tenant"

    /** The id of the endpoint that the request is meant for, although the name says instance. */
    const val EXPECTED_ENDPOINT = "Expect-Instance"

    /** The number of the weights that the engine must use, not a version of its software. */
    const val EXPECTED_WEIGHTS = "Expect-Version"

    /** Present, with any value, on responses of endpoints that did not run the request. */
    const val NOT_RUN = "Not-Executed"
    const val MODEL = "Model"

    /** The size of the prompt and the greatest size of the answer in tokens, separated by a comma. */
    const val TOKEN_COUNTS = "Token-Counts"

    /** The parts of the prompt in order, each with its size in tokens: `id:tokens`, separated by commas. */
    const val PROMPT_PARTS = "Prompt-Prefix"

    /** The id of the last event that the receiver of the stream already has. */
    const val LAST_EVENT_ID = "Last-Event-Id"

    /** The id of the request whose response began the stream that this request continues. */
    const val RESUMED_REQUEST = "Resumes"
    const val CACHE_SALT = "Cache-Salt"

    /** The address of an engine from which the KV cache of prompt parts can be copied. */
    const val CACHE_SOURCE = "Kv-Fetch"

    /**
     * The copy of a run's KV cache with which another engine continues the run: the address of the engine that holds
     * the copy, a slash and the handle of the copy.
     */
    const val CACHE_COPY = "Kv-From"
    const val PRIORITY = "Request-Priority"

    /** The requests per second that an endpoint accepts from all instances together, as a decimal number. */
    const val REQUEST_LIMIT = "Server-Limit"

    /** Set to `1` on all responses of an endpoint that is about to exit. */
    const val LEAVING = "Server-Leaving"

    /** Refusals a second for want of room that an endpoint survives. On all its responses while it is brittle. */
    const val BRITTLE = "Server-Brittle"

    /** Rises by one each time the store comes back from an older copy. In all responses of the store. */
    const val STORE_ERA = "Store-Era"

    /** The number of the weights that produced the answer: a single integer, although the name is a plural. */
    const val WEIGHTS = "Weight-Versions"

    /** Headers that only instances may set. They are removed from requests of callers. */
    val reservedForInstances =
        setOf(
            REMAINING_MILLIS,
            CUSTOMER,
            EXPECTED_ENDPOINT,
            EXPECTED_WEIGHTS,
            CACHE_SALT,
            PRIORITY,
            CACHE_SOURCE,
            "Kv-Save",
            CACHE_COPY,
            "Kv-Backup",
            "Hold",
            "Pin-Ms",
        ).mapTo(HashSet()) { it.lowercase() }
}

internal object PlatformPaths {
    /** Returns the status of an engine. */
    const val ENGINE_STATUS = "/lacewingweir/report"

    /** Accepts a command to load weights. */
    const val LOAD_COMMAND = "/lacewingweir/order"

    /** Copies the KV cache of a run to another engine. Despite the name, the run only stops if the request says so. */
    const val KV_CACHE_COPY = "/lacewingweir/kv-move"

    /** Followed by the handle of a copy, which the request releases. */
    const val KV_CACHE_COPY_PREFIX = "/lacewingweir/kv-handle/"

    /** In the paths of the store, `kv` stands for "key-value". In the paths above, it stands for the KV cache. */
    const val KEY_RANGE = "/lacewingweir/kv-range"
    const val KEY_WATCH = "/lacewingweir/kv-watch"
    const val TRANSACTION = "/lacewingweir/kv-txn"
    const val LEASE_GRANT = "/lacewingweir/kv-lease"
    const val LEASE_RENEW = "/lacewingweir/kv-keep/"
    const val LEASE_END = "/lacewingweir/kv-lease-end/"
}

internal object PlatformKeys {
    const val CONFIG = "op/config"

    /** Items that hold the target weights of the models, as set by the operators. */
    const val TARGET_WEIGHTS_PREFIX = "op/version/"

    /** Followed by the id of an endpoint. */
    const val ENDPOINT_PREFIX = "servers/"

    /** Followed by the name of an instance. */
    const val INSTANCE_PREFIX = "lacewingweir/instances/"

    /** One item for each instance that runs or did shortly before. */
    const val RUN_PREFIX = "lacewingweir/runs/"
    const val HOT_CUSTOMERS = "lacewingweir/hot-customers"

    /** Prompt parts, and also whole requests, that crash endpoints. Removing the item unblocks them. */
    const val BLOCK_LIST = "lacewingweir/blocked-parts"

    /** When target weights were set, as instances have observed it. */
    const val TARGET_MOMENTS = "lacewingweir/target-moments"

    /** Software versions of endpoints, by service, that served lately. */
    const val SERVED_VERSIONS = "lacewingweir/served-versions"

    /**
     * Followed by the name of an instance, a slash and a number. Streams that began lately, while their service had
     * several software versions.
     */
    const val BEGUN_STREAMS_PREFIX = "lacewingweir/streams/"

    /** Held by the instance that coordinates the loading of weights. */
    const val ROLLOUT_LEASE = "lacewingweir/rollout"

    /** Followed by the name of a service. The operators' orders to move it to another software version. */
    const val ROLLOUT_ORDER_PREFIX = "op/rollout/"

    /** Followed by the name of a service. The outcome of its order, for the operators. */
    const val ROLLOUT_STATUS_PREFIX = "status/rollout/"

    /** Held by the instance that decides on rollouts of software versions. */
    const val VERSION_ROLLOUT_LEASE = "lacewingweir/version-rollout"

    /** The steps of the rollouts of software versions. */
    const val VERSION_ROLLOUTS = "lacewingweir/version-rollouts"
}
