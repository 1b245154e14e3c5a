package lacewingweir.coordination.store

/** The result of a call to the store. */
public sealed interface StoreResult<out T> {
    /** The store processed the call. */
    public data class Ok<out T>(
        val value: T,
    ) : StoreResult<T>

    /** The store did not apply the call, for example because no connection could be established. */
    public data class Unavailable(
        val reason: String,
    ) : StoreResult<Nothing>

    /** The call was sent but no response arrived, so a write may have been applied. Read the key to find out. */
    public data class Unknown(
        val reason: String,
    ) : StoreResult<Nothing>
}

/** Returns the result of [next] for the value of a [StoreResult.Ok], or this result if it is a failure. */
public inline fun <T, R> StoreResult<T>.then(next: (T) -> StoreResult<R>): StoreResult<R> =
    when (this) {
        is StoreResult.Ok -> next(value)
        is StoreResult.Unavailable -> this
        is StoreResult.Unknown -> this
    }

/** Returns the value of a [StoreResult.Ok], or null for a failure. */
public fun <T> StoreResult<T>.valueOrNull(): T? = (this as? StoreResult.Ok<T>)?.value
