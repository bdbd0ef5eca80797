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

@DisplayName("a process that can't go on")
class FatalErrorSpec {
    @ParameterizedTest
    @ValueSource(strings = ["invariant", "memory"])
    fun `ends soon and says why, whatever its shutdown hooks wait for`(how: String) {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val process =
            ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), FailingProcess::class.java.name, how)
                .redirectErrorStream(true)
                .start()
        try {
            expectThat(process.waitFor(END_SECONDS, TimeUnit.SECONDS)).isTrue()
            expectThat(process.exitValue()).isEqualTo(EXIT_BROKEN)
            expectThat(process.inputStream.readAllBytes().decodeToString()).contains("\"event\":\"failed\"")
        } finally {
            process.destroyForcibly()
        }
    }

    private companion object {
        const val END_SECONDS = 15L
        const val EXIT_BROKEN = 3
    }
}
