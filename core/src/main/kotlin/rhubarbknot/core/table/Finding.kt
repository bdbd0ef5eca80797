package rhubarbknot.core.table

import kotlinx.serialization.Serializable

/**
 * A validation error in an input file, with its position.
 *
 * @property row row number, where the header is row 1; 0 if the error concerns the whole input.
 * @property found the invalid value.
 * @property allowed description of the valid values.
 */
@Serializable
data class Finding(
    val source: String,
    val row: Int,
    val column: String,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String = "$source: row $row, column $column: found \"$found\", allowed: $allowed"
}
