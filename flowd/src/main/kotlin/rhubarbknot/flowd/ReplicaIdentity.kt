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
 * Who the replica on this disk is. An empty disk makes a new replica, since one that forgot what it promised must
 * never vote again under its old name.
 *
 * @property founders first voters of the group, on a replica that was one of them.
 */
@Serializable
data class ReplicaIdentity(
    val replica: String,
    val founders: List<String>,
) {
    /** Members that the replica starts from when its log names none. */
    fun bootstrap(): Members = Members(founders.map { ReplicaId(it) }.toSet())

    companion object {
        private const val FILE = "identity.json"
        private const val FOUNDER = "0"

        /**
         * Reads the identity in [folder], or makes one and syncs it.
         *
         * @param founders machines that found the group at its first start; null when the group exists.
         */
        fun load(
            folder: Path,
            address: String,
            founders: Set<String>?,
        ): ReplicaIdentity {
            Files.createDirectories(folder)
            val file = folder.resolve(FILE)
            if (Files.exists(file)) return Json.decodeFromString(serializer(), Files.readString(file))
            val isFounder = founders != null && address in founders
            val life = if (isFounder) FOUNDER else System.currentTimeMillis().toString()
            val names = if (isFounder) founders.orEmpty().map { MembershipManager.replicaIdFor(it, FOUNDER).name } else emptyList()
            val identity = ReplicaIdentity(MembershipManager.replicaIdFor(address, life).name, names.sorted())
            write(folder, file, identity)
            return identity
        }

        private fun write(
            folder: Path,
            file: Path,
            identity: ReplicaIdentity,
        ) {
            val aside = folder.resolve("$FILE.tmp")
            Files.writeString(aside, Json.encodeToString(serializer(), identity))
            FileChannel.open(aside, StandardOpenOption.WRITE).use { it.force(true) }
            Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE)
            FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
        }
    }
}
