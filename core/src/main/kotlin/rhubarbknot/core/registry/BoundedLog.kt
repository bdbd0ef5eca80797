package rhubarbknot.core.registry

import kotlinx.serialization.Serializable

/** An append-only list that drops its oldest items when it reaches a limit. */
@Serializable
class BoundedLog<T> {
    private val items = ArrayList<T>()

    val size: Int get() = items.size

    fun toList(): List<T> = items.toList()

    /** Appends [item]. At [limit] items, the oldest quarter is dropped in one step, so that appends stay cheap. */
    fun add(
        item: T,
        limit: Int,
    ) {
        if (items.size >= limit) items.subList(0, maxOf(1, limit / 4)).clear()
        items.add(item)
    }
}
