package rhubarbknot.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.table.Finding

/** Parses and validates the body of a job submission. Reports all invalid fields at once. */
internal class JobRequestValidator {
    private val findings = ArrayList<Finding>()

    fun parse(body: String): Result<JobRequest, List<Finding>> {
        val request =
            try {
                apiJson.decodeFromString(JobRequest.serializer(), body)
            } catch (e: SerializationException) {
                return Err(listOf(Finding("body", 0, "", "", firstLine(e))))
            } catch (e: IllegalArgumentException) {
                return Err(listOf(Finding("body", 0, "", "", firstLine(e))))
            }
        validate(request)
        return if (findings.isEmpty()) Ok(request) else Err(findings)
    }

    private fun firstLine(e: Exception): String =
        e.message
            .orEmpty()
            .lineSequence()
            .first()

    private fun validate(request: JobRequest) {
        validateField("queue", request.queue, QUEUE_NAME.matches(request.queue), "letters, digits, dot, dash and underscore, 1 to 64")
        val id = request.id
        if (id != null) validateField("id", id, JOB_ID.matches(id), "letters, digits, dot, dash, colon and underscore, 1 to 128")
        validateField("kind", request.kind, request.kind in KINDS, KINDS.joinToString())
        validateField("tasks", request.tasks, request.tasks in 1..MAX_TASKS, "1 to $MAX_TASKS")
        validateField("tasks", request.tasks, request.kind != "call" || request.tasks == 1, "1 for a call")
        if (request.spreadZones) validateSpread(request)
        val processors = request.processors
        validateField("processors", processors, processors >= 0 && processors <= MAX_PROCESSORS, "0 to $MAX_PROCESSORS")
        validateField("memoryMb", request.memoryMb, request.memoryMb in 0..MAX_MEMORY_MB, "0 to $MAX_MEMORY_MB")
        validateField("accelerators", request.accelerators, request.accelerators in 0..MAX_ACCELERATORS, "0 to $MAX_ACCELERATORS")
        validateField("expectedRunMillis", request.expectedRunMillis, request.expectedRunMillis >= 0, "0 or more")
        validateField("deadlineMillis", request.deadlineMillis, request.deadlineMillis >= 0, "0 or more")
        validateField("waitMillis", request.waitMillis, request.waitMillis in 0..MAX_WAIT_MILLIS, "0 to $MAX_WAIT_MILLIS")
        validateField(
            "payload",
            "${request.payload.length} characters",
            request.payload.length <= MAX_PAYLOAD_CHARACTERS,
            "at most $MAX_PAYLOAD_CHARACTERS characters",
        )
    }

    private fun validateSpread(request: JobRequest) {
        validateField("spreadZones", true, request.kind != "call" && !request.gang, "false for a call and for a gang")
        val id = request.id ?: return
        validateField("id", id, id.length <= MAX_SPREAD_ID_CHARACTERS, "at most $MAX_SPREAD_ID_CHARACTERS characters with spreadZones")
    }

    private fun validateField(
        field: String,
        value: Any,
        valid: Boolean,
        allowed: String,
    ) {
        if (!valid) findings += Finding("body", 0, field, value.toString(), allowed)
    }

    companion object {
        const val MAX_PAYLOAD_CHARACTERS = 64 * 1024
        const val MAX_BODY_BYTES = 256 * 1024L
        const val MAX_WAIT_MILLIS = 60_000L
        private const val MAX_SPREAD_ID_CHARACTERS = 63
        private const val MAX_TASKS = 10_000
        private const val MAX_PROCESSORS = 1_000.0
        private const val MAX_MEMORY_MB = 64 * 1024 * 1024
        private const val MAX_ACCELERATORS = 1_000
        private const val MILLI_CPUS_PER_PROCESSOR = 1_000
        private val KINDS = listOf("call", "batch", "service")
        private val QUEUE_NAME = Regex("[A-Za-z0-9._-]{1,64}")
        val JOB_ID = Regex("[A-Za-z0-9._:-]{1,128}")

        fun specOf(request: JobRequest): JobSpec {
            val kind = WorkKind.valueOf(request.kind.uppercase())
            val workerResources = Resources((request.processors * MILLI_CPUS_PER_PROCESSOR).toInt(), request.memoryMb, request.accelerators)
            return JobSpec(
                kind = kind,
                tasks = request.tasks,
                gang = request.gang,
                need = if (kind == WorkKind.CALL) Resources.ONE_SLOT else workerResources,
                idempotent = request.idempotent,
                urgent = request.urgent,
                expectedRunMillis = request.expectedRunMillis,
                deadlineMillis = request.deadlineMillis,
                payload = request.payload,
            )
        }
    }
}
