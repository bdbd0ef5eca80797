package rhubarbknot.core.registry

import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.table.TeamRow
import java.security.MessageDigest

/**
 * Reducer of the registry: teams, keys, zones, queues and the split of ceilings over zones.
 *
 * It is deterministic: equal commands in equal order give equal state, to the byte. The sum of what is granted of a
 * team's ceiling grows only as far as the ceiling, and a grant shrinks only once its zone gave it back.
 */
class Registry(
    state: RegistryState = RegistryState(),
) {
    var state: RegistryState = state
        private set

    val version: Long get() = state.version

    /** Applies [command] and returns the answer to it. */
    fun reduce(command: RegistryCommand): ChangeResult =
        when (command) {
            is RegistryCommand.Change -> change(command)
            is RegistryCommand.ReturnGrant -> returnGrant(command)
            is RegistryCommand.Rebalance -> rebalance(command.moves)
            is RegistryCommand.Offer -> offer(command.offer)
            is RegistryCommand.RecordRefusal -> recordRefusal(command)
        }

    fun snapshot(): ByteArray = Codec.encode(RegistryState.serializer(), state)

    fun restore(bytes: ByteArray) {
        state = Codec.decode(RegistryState.serializer(), bytes)
    }

    /** The team that [secret] belongs to, or null when no key that is in force has it. */
    fun teamOfKey(secret: String): TeamId? = teamOfHash(KeyHash.of(secret))

    /** The team whose key in force has [hash]. */
    fun teamOfHash(hash: String): TeamId? {
        var found: TeamId? = null
        // Every key is compared, so that the time taken tells nothing about which one matched.
        state.keys.values.forEach { key ->
            val same = MessageDigest.isEqual(key.sha256.toByteArray(), hash.toByteArray())
            if (same && !key.withdrawn) found = key.team
        }
        return found
    }

    private fun change(command: RegistryCommand.Change): ChangeResult {
        val digest = Codec.digest(Codec.encode(Edit.serializer(), command.edit))
        state.answers[command.id]?.let { known ->
            val same = known.digest == digest
            return if (same) known.result else ChangeResult.Invalid(listOf("change id ${command.id.value} was used for another change"))
        }
        val check = EditValidator(state, command)
        val before = check.present()
        val result = check.verdict() ?: commit(command)
        remember(command, digest, result, before)
        return result
    }

    private fun commit(command: RegistryCommand.Change): ChangeResult {
        state.version++
        apply(command.edit)
        return ChangeResult.Committed(state.version)
    }

    private fun remember(
        command: RegistryCommand.Change,
        digest: String,
        result: ChangeResult,
        before: String,
    ) {
        state.answers[command.id] = StoredChangeResult(digest, result)
        if (state.answers.size > MAX_ANSWERS) {
            val iterator = state.answers.iterator()
            iterator.next()
            iterator.remove()
        }
        val accepted = result is ChangeResult.Committed
        val after = if (accepted) EditValidator(state, command).present() else result.toString()
        val subject = EditValidator.subject(command.edit)
        state.audit.add(
            AuditRecord(
                state.version,
                command.atMillis,
                command.actor,
                command.id.value,
                command.basedOn,
                accepted,
                subject,
                before,
                after,
            ),
            MAX_AUDIT,
        )
    }

    private fun offer(offer: ZoneOffer): ChangeResult {
        if (offer.zone in state.zones && state.offers[offer.zone] != offer) {
            state.version++
            state.offers[offer.zone] = offer
        }
        return ChangeResult.Committed(state.version)
    }

    private fun recordRefusal(command: RegistryCommand.RecordRefusal): ChangeResult {
        if (state.audit.toList().any { it.changeId == command.id }) return ChangeResult.Committed(state.version)
        state.audit.add(
            AuditRecord(state.version, command.atMillis, command.actor, command.id, state.version, false, command.what, "", "refused"),
            MAX_AUDIT,
        )
        return ChangeResult.Committed(state.version)
    }

    private fun apply(edit: Edit) {
        val version = state.version
        when (edit) {
            is Edit.Table -> applyTable(edit)
            is Edit.Queue -> state.queues[edit.row.queue] = VersionedQueue(edit.row, version)
            is Edit.GiveKey -> state.keys[edit.keyId] = KeyRecord(edit.keyId, edit.team, edit.sha256, false, version)
            is Edit.WithdrawKey ->
                state.keys[edit.keyId] =
                    state.keys.getValue(edit.keyId).copy(withdrawn = true, version = version)
            is Edit.AddZone -> addZone(edit.zone)
            is Edit.SetZone -> state.zones[edit.zone] = ZoneRecord(edit.zone, edit.inService, version)
        }
    }

    private fun applyTable(edit: Edit.Table) {
        val missing = if (edit.whole) state.rows.keys - edit.rows.map { it.team }.toSet() else emptySet()
        (edit.remove + missing).forEach { team ->
            state.rows.remove(team)
            // Grants stay until the zones gave them back; a row of the same name can't count them twice.
            resize(team, 0)
        }
        edit.rows.forEach { row ->
            val old = state.rows[row.team]
            if (old?.row != row) state.rows[row.team] = VersionedRow(row, state.version)
            resize(row.team, row.ceiling)
        }
    }

    private fun addZone(zone: ZoneId) {
        if (zone in state.zones) return
        state.zones[zone] = ZoneRecord(zone, true, state.version)
        state.rows.values.forEach { (row, _) -> resize(row.team, row.ceiling) }
    }

    private fun resize(
        team: TeamId,
        ceiling: Int,
    ) {
        val grants = state.grants.getOrPut(team) { LinkedHashMap() }
        state.zones.keys.forEach { grants.getOrPut(it) { Grant(0, 0, state.version) } }
        GrantPlanner.resize(grants, ceiling).forEach { (zone, wanted) -> want(grants, zone, wanted, ceiling) }
        dropEmpty(team, grants)
    }

    private fun dropEmpty(
        team: TeamId,
        grants: Map<ZoneId, Grant>,
    ) {
        if (team !in state.rows && grants.values.all { it.granted == 0 }) state.grants.remove(team)
    }

    private fun want(
        grants: LinkedHashMap<ZoneId, Grant>,
        zone: ZoneId,
        wanted: Int,
        ceiling: Int,
    ) {
        val old = grants.getValue(zone)
        val free = maxOf(0, ceiling - grants.values.sumOf { it.granted })
        val granted = if (wanted > old.granted) old.granted + minOf(free, wanted - old.granted) else old.granted
        // Wanting more than is granted would be a promise without cover.
        val covered = minOf(wanted, granted)
        if (granted != old.granted || covered != old.wanted) grants[zone] = Grant(granted, covered, state.version)
    }

    private fun rebalance(moves: List<GrantMove>): ChangeResult {
        state.version++
        moves.forEach { move ->
            val ceiling = state.rows[move.team]?.row?.ceiling ?: return@forEach
            val grants = state.grants[move.team] ?: return@forEach
            if (move.zone in grants) want(grants, move.zone, maxOf(0, move.wanted), ceiling)
        }
        return ChangeResult.Committed(state.version)
    }

    private fun returnGrant(command: RegistryCommand.ReturnGrant): ChangeResult {
        val grants = state.grants[command.team]
        val old = grants?.get(command.zone)
        if (old == null || command.atVersion < old.version || command.held >= old.granted) {
            return ChangeResult.Committed(state.version)
        }
        state.version++
        grants[command.zone] = old.copy(granted = maxOf(old.wanted, command.held), version = state.version)
        dropEmpty(command.team, grants)
        return ChangeResult.Committed(state.version)
    }

    /** Sum of what the zones may have running of [team]'s ceiling. */
    fun granted(team: TeamId): Int = state.grants[team]?.values?.sumOf { it.granted } ?: 0

    fun row(team: TeamId): TeamRow? = state.rows[team]?.row

    companion object {
        /** Answers kept for resends: at 53,000 changes a day, those of nine hours. */
        const val MAX_ANSWERS = 20_000
        const val MAX_AUDIT = 20_000
    }
}
