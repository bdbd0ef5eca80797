package rhubarbknot.flowd

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.nio.file.Path
import java.util.concurrent.TimeUnit

@DisplayName("a process with a fatal error")
class FatalErrorSpec {
    @ParameterizedTest
    @ValueSource(strings = ["invariant", "memory"])
    fun `halts and logs the failure even if a shutdown hook blocks`(errorKind: String) {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val process =
            ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), FailingProcess::class.java.name, errorKind)
                .redirectErrorStream(true)
                .start()
        try {
            expectThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue()
            expectThat(process.exitValue()).isEqualTo(EXIT_FATAL_ERROR)
            expectThat(process.inputStream.readAllBytes().decodeToString()).contains("\"event\":\"failed\"")
        } finally {
            process.destroyForcibly()
        }
    }

    private companion object {
        const val EXIT_TIMEOUT_SECONDS = 15L
        const val EXIT_FATAL_ERROR = 3
    }
}
