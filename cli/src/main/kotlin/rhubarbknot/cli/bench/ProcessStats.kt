package rhubarbknot.cli.bench

import java.lang.management.ManagementFactory
import java.nio.file.Files
import java.nio.file.Path

/** CPU time and memory of this process, as the operating system reports them. */
internal object ProcessStats {
    private const val KB_PER_MB = 1_024

    fun cpuNanos(): Long = (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean).processCpuTime

    /** Resident set size; 0 where the system does not report it. */
    fun residentMegabytes(): Long {
        val status = Path.of("/proc/self/status")
        if (!Files.isReadable(status)) return 0
        val line = Files.readAllLines(status).firstOrNull { it.startsWith("VmRSS:") } ?: return 0
        return line.filter { it.isDigit() }.toLong() / KB_PER_MB
    }
}
