package lacewingweir.benchmark

import java.lang.management.ManagementFactory

/** Measures retained memory and processor time. */
internal object Measure {
    private val memory = ManagementFactory.getMemoryMXBean()
    private val system = ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean
    private val threads = ManagementFactory.getThreadMXBean()

    /** Returns the used heap in bytes after garbage collection. */
    fun retainedBytes(): Long {
        repeat(4) {
            System.gc()
            Thread.sleep(30)
        }
        return memory.heapMemoryUsage.used
    }

    /** Returns the result of [build] and the number of heap bytes that it retains. */
    fun <T : Any> retainedBy(build: () -> T): Pair<T, Long> {
        val bytesBefore = retainedBytes()
        val built = build()
        return built to retainedBytes() - bytesBefore
    }

    /** Returns the processor time of all threads of this process. */
    fun processCpuNanos(): Long = system.processCpuTime

    /**
     * Returns the processor time of this thread for one [call] in microseconds, averaged over [measureMillis].
     *
     * The calls of the preceding [warmUpMillis] are not counted, so that the measured calls run compiled code.
     */
    inline fun microsPerCall(
        warmUpMillis: Long = WARM_UP_MILLIS,
        measureMillis: Long = MEASURE_MILLIS,
        call: () -> Unit,
    ): Double {
        val warmUpEnd = System.nanoTime() + warmUpMillis * NANOS_PER_MILLI
        while (System.nanoTime() < warmUpEnd) call()
        val end = System.nanoTime() + measureMillis * NANOS_PER_MILLI
        val startNanos = threadCpuNanos()
        var calls = 0L
        while (System.nanoTime() < end) {
            call()
            calls++
        }
        return (threadCpuNanos() - startNanos) / 1_000.0 / calls
    }

    fun threadCpuNanos(): Long = threads.currentThreadCpuTime

    const val WARM_UP_MILLIS: Long = 2_000
    const val MEASURE_MILLIS: Long = 1_500
    const val NANOS_PER_MILLI: Long = 1_000_000
}
