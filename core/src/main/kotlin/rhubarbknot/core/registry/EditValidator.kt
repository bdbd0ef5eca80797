package rhubarbknot.core.registry

import rhubarbknot.core.table.TeamRow

/** Whether a change may be made: what it touches, whether that was changed since, and whether it makes sense. */
internal class EditValidator(
    private val state: RegistryState,
    private val command: RegistryCommand.Change,
) {
    /** The answer that refuses the change, or null when it may be made. */
    fun verdict(): ChangeResult? {
        val findings = findings()
        if (findings.isNotEmpty()) return ChangeResult.Invalid(findings)
        val newest = touchedVersion()
        return if (newest > command.basedOn) ChangeResult.Conflict(subject(command.edit), newest, present()) else null
    }

    private fun touchedVersion(): Long =
        when (val edit = command.edit) {
            is Edit.Table -> tableVersion(edit)
            is Edit.Queue -> state.queues[edit.row.queue]?.version ?: 0
            is Edit.GiveKey -> state.keys[edit.keyId]?.version ?: 0
            is Edit.WithdrawKey -> state.keys[edit.keyId]?.version ?: 0
            is Edit.AddZone -> state.zones[edit.zone]?.version ?: 0
            is Edit.SetZone -> state.zones[edit.zone]?.version ?: 0
        }

    private fun tableVersion(edit: Edit.Table): Long {
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
        val doubled =
            edit.rows
                .groupBy { it.team }
                .filterValues { it.size > 1 }
                .keys
        val missing = edit.remove.filter { it !in state.rows }
        val bad =
            edit.rows.filter {
                it.share < 1 ||
                    it.ceiling < 0 ||
                    it.urgent < 0 ||
                    it.queueLimit < 0 ||
                    it.retriesPerMinute < 0 ||
                    it.overtakeSeconds !in 0..TeamRow.MAX_OVERTAKE_SECONDS
            }
        return doubled.map { "team $it stands twice" } + missing.map { "no team $it" } +
            bad.map {
                "team ${it.team}: share must be at least 1, overtakeSeconds at most ${TeamRow.MAX_OVERTAKE_SECONDS}, everything else at least 0"
            }
    }

    /** What stands now in the place that the change touches. */
    fun present(): String =
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
            is Edit.GiveKey -> keyText(edit.keyId)
            is Edit.WithdrawKey -> keyText(edit.keyId)
            is Edit.AddZone -> zoneText(edit.zone.name)
            is Edit.SetZone -> zoneText(edit.zone.name)
        }

    private fun keyText(keyId: String): String =
        state.keys[keyId]?.let { "key $keyId of ${it.team} ${if (it.withdrawn) "withdrawn" else "in force"}" }.orEmpty()

    private fun zoneText(name: String): String =
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
