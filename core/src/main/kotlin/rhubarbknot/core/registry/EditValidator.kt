package rhubarbknot.core.registry

import rhubarbknot.core.table.TeamRow

/**
 * Validates a change against the current state: its contents, and whether the records it modifies have changed since
 * the version it is based on (optimistic concurrency control).
 *
 * The texts made here are part of the replicated state (stored results and audit records).
 */
internal class EditValidator(
    private val state: RegistryState,
    private val command: RegistryCommand.Change,
) {
    /** The result that rejects the change, or null if the change is valid. */
    fun rejection(): ChangeResult? {
        val findings = findings()
        if (findings.isNotEmpty()) return ChangeResult.Invalid(findings)
        val latest = modifiedRecordsVersion()
        return if (latest > command.basedOn) ChangeResult.Conflict(subject(command.edit), latest, describeCurrent()) else null
    }

    private fun modifiedRecordsVersion(): Long =
        when (val edit = command.edit) {
            is Edit.Table -> modifiedRowsVersion(edit)
            is Edit.Queue -> state.queues[edit.row.queue]?.version ?: 0
            is Edit.GiveKey -> state.keys[edit.keyId]?.version ?: 0
            is Edit.WithdrawKey -> state.keys[edit.keyId]?.version ?: 0
            is Edit.AddZone -> state.zones[edit.zone]?.version ?: 0
            is Edit.SetZone -> state.zones[edit.zone]?.version ?: 0
        }

    private fun modifiedRowsVersion(edit: Edit.Table): Long {
        if (edit.whole) return state.rows.values.maxOfOrNull { it.version } ?: 0
        val teams = edit.rows.map { it.team } + edit.remove
        return teams.maxOfOrNull { state.rows[it]?.version ?: 0 } ?: 0
    }

    private fun findings(): List<String> =
        when (val edit = command.edit) {
            is Edit.Table -> tableFindings(edit)
            is Edit.Queue -> if (edit.row.team in state.rows) emptyList() else listOf("queue ${edit.row.queue}: no team ${edit.row.team}")
            is Edit.GiveKey -> if (edit.team in state.rows) emptyList() else listOf("key ${edit.keyId}: no team ${edit.team}")
            is Edit.WithdrawKey -> if (edit.keyId in state.keys) emptyList() else listOf("no key ${edit.keyId}")
            is Edit.AddZone -> if (edit.zone.name.isBlank()) listOf("a zone needs a name") else emptyList()
            is Edit.SetZone -> if (edit.zone in state.zones) emptyList() else listOf("no zone ${edit.zone}")
        }

    private fun tableFindings(edit: Edit.Table): List<String> {
        val duplicates =
            edit.rows
                .groupBy { it.team }
                .filterValues { it.size > 1 }
                .keys
        val unknown = edit.remove.filter { it !in state.rows }
        val outOfRange =
            edit.rows.filter {
                it.share < 1 ||
                    it.ceiling < 0 ||
                    it.urgent < 0 ||
                    it.queueLimit < 0 ||
                    it.retriesPerMinute < 0 ||
                    it.overtakeSeconds !in 0..TeamRow.MAX_OVERTAKE_SECONDS
            }
        return duplicates.map { "team $it stands twice" } + unknown.map { "no team $it" } +
            outOfRange.map {
                "team ${it.team}: share must be at least 1, overtakeSeconds at most ${TeamRow.MAX_OVERTAKE_SECONDS}, everything else at least 0"
            }
    }

    /** Describes the current value of the records that the change modifies. */
    fun describeCurrent(): String =
        when (val edit = command.edit) {
            is Edit.Table -> {
                val teams = (edit.rows.map { it.team } + edit.remove).distinct()
                teams.mapNotNull { state.rows[it]?.row }.joinToString("; ") { "${it.team} share=${it.share} ceiling=${it.ceiling}" }
            }
            is Edit.Queue ->
                state.queues[edit.row.queue]
                    ?.row
                    ?.toString()
                    .orEmpty()
            is Edit.GiveKey -> describeKey(edit.keyId)
            is Edit.WithdrawKey -> describeKey(edit.keyId)
            is Edit.AddZone -> describeZone(edit.zone.name)
            is Edit.SetZone -> describeZone(edit.zone.name)
        }

    private fun describeKey(keyId: String): String =
        state.keys[keyId]?.let { "key $keyId of ${it.team} ${if (it.withdrawn) "withdrawn" else "in force"}" }.orEmpty()

    private fun describeZone(name: String): String =
        state.zones.values
            .firstOrNull { it.zone.name == name }
            ?.let { "zone $name ${if (it.inService) "in" else "out"}" }
            .orEmpty()

    companion object {
        fun subject(edit: Edit): String =
            when (edit) {
                is Edit.Table -> "table " + (edit.rows.map { it.team } + edit.remove).distinct().joinToString()
                is Edit.Queue -> "queue ${edit.row.queue}"
                is Edit.GiveKey -> "key ${edit.keyId}"
                is Edit.WithdrawKey -> "key ${edit.keyId}"
                is Edit.AddZone -> "zone ${edit.zone}"
                is Edit.SetZone -> "zone ${edit.zone}"
            }
    }
}
