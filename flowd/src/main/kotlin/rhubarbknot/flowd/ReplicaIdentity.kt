package rhubarbknot.flowd

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import rhubarbknot.flow.node.MembershipManager
import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/**
 * Persistent identity of the replica on this disk. An empty disk gets a new replica id, because a replica that lost its
 * vote and log must never vote again under its old id.
 *
 * @property replica id of the replica.
 * @property founders ids of the group's initial voters if this replica is one of them, otherwise empty.
 */
@Serializable
data class ReplicaIdentity(
    val replica: String,
    val founders: List<String>,
) {
    /** Membership that applies while the replica's log contains none. */
    fun bootstrap(): Members = Members(founders.map { ReplicaId(it) }.toSet())

    companion object {
        private const val FILE_NAME = "identity.json"
        private const val FOUNDER = "0"

        /**
         * Loads the identity from [folder], or creates one and syncs it to disk.
         *
         * @param founders peer addresses of the group's initial voters at its first start; null if the group exists.
         */
        fun load(
            folder: Path,
            address: String,
            founders: Set<String>?,
        ): ReplicaIdentity {
            Files.createDirectories(folder)
            val file = folder.resolve(FILE_NAME)
            if (Files.exists(file)) return Json.decodeFromString(serializer(), Files.readString(file))
            val isFounder = founders != null && address in founders
            val incarnation = if (isFounder) FOUNDER else System.currentTimeMillis().toString()
            val ids = if (isFounder) founders.orEmpty().map { MembershipManager.replicaIdFor(it, FOUNDER).name } else emptyList()
            val identity = ReplicaIdentity(MembershipManager.replicaIdFor(address, incarnation).name, ids.sorted())
            write(folder, file, identity)
            return identity
        }

        private fun write(
            folder: Path,
            file: Path,
            identity: ReplicaIdentity,
        ) {
            val temporary = folder.resolve("$FILE_NAME.tmp")
            Files.writeString(temporary, Json.encodeToString(serializer(), identity))
            FileChannel.open(temporary, StandardOpenOption.WRITE).use { it.force(true) }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE)
            FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
        }
    }
}
