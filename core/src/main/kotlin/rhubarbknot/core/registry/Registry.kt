package rhubarbknot.core.registry

import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.table.TeamRow
import java.security.MessageDigest

/**
 * Replicated state machine of the registry: teams, API keys, zones, queues and the distribution of ceilings over zones.
 *
 * It is deterministic: replaying the same commands in the same order gives a byte-identical state. The sum of a team's
 * grants is never increased beyond its ceiling, and a grant is reduced only after its zone has returned it.
 */
class Registry(
    state: RegistryState = RegistryState(),
) {
    var state: RegistryState = state
        private set

    val version: Long get() = state.version

    /** Applies [command] and returns its result. */
    fun reduce(command: RegistryCommand): ChangeResult =
        when (command) {
            is RegistryCommand.Change -> change(command)
            is RegistryCommand.ReturnGrant -> returnGrant(command)
            is RegistryCommand.Rebalance -> rebalance(command.moves)
            is RegistryCommand.Offer -> recordOffer(command.offer)
            is RegistryCommand.RecordRefusal -> recordRefusal(command)
        }

    fun snapshot(): ByteArray = Codec.encode(RegistryState.serializer(), state)

    fun restore(bytes: ByteArray) {
        state = Codec.decode(RegistryState.serializer(), bytes)
    }

    /** The team that the key [secret] belongs to, or null if no active key matches. */
    fun teamOfKey(secret: String): TeamId? = teamOfHash(KeyHash.of(secret))

    /** The team of the active key with this [hash], or null. */
    fun teamOfHash(hash: String): TeamId? {
        var found: TeamId? = null
        // Compares every key, so that the time taken does not reveal which one matched.
        state.keys.values.forEach { key ->
            val same = MessageDigest.isEqual(key.sha256.toByteArray(), hash.toByteArray())
            if (same && !key.withdrawn) found = key.team
        }
        return found
    }

    private fun change(command: RegistryCommand.Change): ChangeResult {
        val digest = Codec.digest(Codec.encode(Edit.serializer(), command.edit))
        state.answers[command.id]?.let { stored ->
            val same = stored.digest == digest
            return if (same) stored.result else ChangeResult.Invalid(listOf("change id ${command.id.value} was used for another change"))
        }
        val validator = EditValidator(state, command)
        val before = validator.describeCurrent()
        val result = validator.rejection() ?: commit(command)
        storeResult(command, digest, result, before)
        return result
    }

    private fun commit(command: RegistryCommand.Change): ChangeResult {
        state.version++
        applyEdit(command.edit)
        return ChangeResult.Committed(state.version)
    }

    private fun storeResult(
        command: RegistryCommand.Change,
        digest: String,
        result: ChangeResult,
        before: String,
    ) {
        state.answers[command.id] = StoredChangeResult(digest, result)
        if (state.answers.size > MAX_STORED_RESULTS) {
            val iterator = state.answers.iterator()
            iterator.next()
            iterator.remove()
        }
        val accepted = result is ChangeResult.Committed
        val after = if (accepted) EditValidator(state, command).describeCurrent() else result.toString()
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
            MAX_AUDIT_RECORDS,
        )
    }

    private fun recordOffer(offer: ZoneOffer): ChangeResult {
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
            MAX_AUDIT_RECORDS,
        )
        return ChangeResult.Committed(state.version)
    }

    private fun applyEdit(edit: Edit) {
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
        val unlisted = if (edit.whole) state.rows.keys - edit.rows.map { it.team }.toSet() else emptySet()
        (edit.remove + unlisted).forEach { team ->
            state.rows.remove(team)
            // Grants remain until the zones return them, so that a new row of the same name cannot grant them twice.
            resizeGrants(team, 0)
        }
        edit.rows.forEach { row ->
            val old = state.rows[row.team]
            if (old?.row != row) state.rows[row.team] = VersionedRow(row, state.version)
            resizeGrants(row.team, row.ceiling)
        }
    }

    private fun addZone(zone: ZoneId) {
        if (zone in state.zones) return
        state.zones[zone] = ZoneRecord(zone, true, state.version)
        state.rows.values.forEach { (row, _) -> resizeGrants(row.team, row.ceiling) }
    }

    private fun resizeGrants(
        team: TeamId,
        ceiling: Int,
    ) {
        val grants = state.grants.getOrPut(team) { LinkedHashMap() }
        state.zones.keys.forEach { grants.getOrPut(it) { Grant(0, 0, state.version) } }
        GrantPlanner.resize(grants, ceiling).forEach { (zone, wanted) -> setWanted(grants, zone, wanted, ceiling) }
        removeIfEmpty(team, grants)
    }

    private fun removeIfEmpty(
        team: TeamId,
        grants: Map<ZoneId, Grant>,
    ) {
        if (team !in state.rows && grants.values.all { it.granted == 0 }) state.grants.remove(team)
    }

    private fun setWanted(
        grants: LinkedHashMap<ZoneId, Grant>,
        zone: ZoneId,
        wanted: Int,
        ceiling: Int,
    ) {
        val old = grants.getValue(zone)
        val free = maxOf(0, ceiling - grants.values.sumOf { it.granted })
        val granted = if (wanted > old.granted) old.granted + minOf(free, wanted - old.granted) else old.granted
        // A target above the grant would not be backed by granted capacity.
        val backed = minOf(wanted, granted)
        if (granted != old.granted || backed != old.wanted) grants[zone] = Grant(granted, backed, state.version)
    }

    private fun rebalance(moves: List<GrantMove>): ChangeResult {
        state.version++
        moves.forEach { move ->
            val ceiling = state.rows[move.team]?.row?.ceiling ?: return@forEach
            val grants = state.grants[move.team] ?: return@forEach
            if (move.zone in grants) setWanted(grants, move.zone, maxOf(0, move.wanted), ceiling)
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
        removeIfEmpty(command.team, grants)
        return ChangeResult.Committed(state.version)
    }

    /** Sum of [team]'s grants over all zones. */
    fun granted(team: TeamId): Int = state.grants[team]?.values?.sumOf { it.granted } ?: 0

    fun row(team: TeamId): TeamRow? = state.rows[team]?.row

    companion object {
        /** Number of results kept to answer repeated changes; covers nine hours at 53,000 changes a day. */
        const val MAX_STORED_RESULTS = 20_000
        const val MAX_AUDIT_RECORDS = 20_000
    }
}
