package lacewingweir.benchmark

import java.lang.management.ManagementFactory

/** Retained memory and processor time of code under measurement. */
internal object Measure {
    private val memory = ManagementFactory.getMemoryMXBean()
    private val system = ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean
    private val threads = ManagementFactory.getThreadMXBean()

    /** Heap in use after garbage collections. */
    fun retainedBytes(): Long {
        repeat(4) {
            System.gc()
            Thread.sleep(30)
        }
        return memory.heapMemoryUsage.used
    }

    /** Heap that the result of [build] retains. */
    fun <T : Any> retainedBy(build: () -> T): Pair<T, Long> {
        val before = retainedBytes()
        val built = build()
        return built to retainedBytes() - before
    }

    /** Processor time of this process over all its threads. */
    fun processCpuNanos(): Long = system.processCpuTime

    /**
     * Processor time of this thread for one [call], averaged over [measureMillis] after [warmUpMillis] of calls, so
     * that the calls run compiled code.
     */
    inline fun microsPerCall(
        warmUpMillis: Long = WARM_UP_MILLIS,
        measureMillis: Long = MEASURE_MILLIS,
        call: () -> Unit,
    ): Double {
        val warm = System.nanoTime() + warmUpMillis * NANOS_PER_MILLI
        while (System.nanoTime() < warm) call()
        val end = System.nanoTime() + measureMillis * NANOS_PER_MILLI
        val before = threadCpuNanos()
        var calls = 0L
        while (System.nanoTime() < end) {
            call()
            calls++
        }
        return (threadCpuNanos() - before) / 1_000.0 / calls
    }

    fun threadCpuNanos(): Long = threads.currentThreadCpuTime

    const val WARM_UP_MILLIS: Long = 2_000
    const val MEASURE_MILLIS: Long = 1_500
    const val NANOS_PER_MILLI: Long = 1_000_000
}
