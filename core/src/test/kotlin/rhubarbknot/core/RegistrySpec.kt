package rhubarbknot.core

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.ChangeId
import rhubarbknot.core.registry.ChangeResult
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.registry.GrantMove
import rhubarbknot.core.registry.KeyHash
import rhubarbknot.core.registry.Registry
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.registry.ZoneView
import rhubarbknot.core.table.TableReader
import rhubarbknot.core.table.TeamRow
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

@DisplayName("the registry")
class RegistrySpec {
    private val registry = Registry()
    private val crew = TeamId("crew")
    private var changeCount = 0

    private fun change(
        edit: Edit,
        basedOn: Long = registry.version,
        id: String = "c${changeCount++}",
    ) = registry.reduce(RegistryCommand.Change(ChangeId(id), "operator", basedOn, 0, edit))

    private fun row(ceiling: Int) = Edit.Table(listOf(TeamRow(crew, 1, ceiling)))

    @Test
    fun `returns the original result for a repeated change, and rejects its id for a different change`() {
        val first = change(row(5), id = "same")
        expectThat(change(row(5), id = "same")).isEqualTo(first)
        expectThat(change(row(6), id = "same")).isA<ChangeResult.Invalid>()
        expectThat(registry.row(crew)?.ceiling).isEqualTo(5)
    }

    @Test
    fun `rejects a row with a value out of range`() {
        val atMaximum = TeamRow(crew, 1, 5, overtakeSeconds = TeamRow.MAX_OVERTAKE_SECONDS)
        expectThat(
            change(Edit.Table(listOf(atMaximum.copy(overtakeSeconds = TeamRow.MAX_OVERTAKE_SECONDS + 1)))),
        ).isA<ChangeResult.Invalid>()
        expectThat(change(Edit.Table(listOf(atMaximum)))).isA<ChangeResult.Committed>()
    }

    @Test
    fun `reports the current value to the later of two conflicting changes, and does not apply it`() {
        change(row(5))
        val readVersion = registry.version
        change(row(6), basedOn = readVersion)
        val rejected = change(row(7), basedOn = readVersion)
        expectThat(rejected).isA<ChangeResult.Conflict>().get { present }.contains("ceiling=6")
        expectThat(registry.row(crew)?.ceiling).isEqualTo(6)
        expectThat(
            registry.state.audit
                .toList()
                .last()
                .accepted,
        ).isEqualTo(false)
    }

    @Test
    fun `does not store the secret of a key, and accepts the key until it is withdrawn`() {
        change(row(5))
        change(Edit.GiveKey("k", crew, KeyHash.of("open sesame")))
        expectThat(registry.teamOfKey("open sesame")).isEqualTo(crew)
        expectThat("open sesame" in String(registry.snapshot(), Charsets.ISO_8859_1)).isEqualTo(false)
        change(Edit.WithdrawKey("k"))
        expectThat(registry.teamOfKey("open sesame")).isNull()
    }

    @Nested
    @DisplayName("distributing a ceiling over zones")
    inner class Grants {
        private fun grantOf(zone: String) =
            registry.state.grants
                .getValue(crew)
                .getValue(ZoneId(zone))

        @Test
        fun `grants to a zone only what another zone has returned`() {
            change(Edit.AddZone(ZoneId("a")))
            change(row(10))
            change(Edit.AddZone(ZoneId("b")))
            expectThat(grantOf("a").granted).isEqualTo(10)
            registry.reduce(
                RegistryCommand.Rebalance(
                    listOf(
                        GrantMove(crew, ZoneId("a"), 4),
                        GrantMove(crew, ZoneId("b"), 6),
                    ),
                ),
            )
            expectThat(grantOf("b").granted).isEqualTo(0)
            registry.reduce(RegistryCommand.ReturnGrant(crew, ZoneId("a"), held = 7, atVersion = registry.version))
            registry.reduce(RegistryCommand.Rebalance(listOf(GrantMove(crew, ZoneId("b"), 6))))
            expectThat(grantOf("a").granted).isEqualTo(7)
            expectThat(grantOf("b").granted).isEqualTo(3)
            expectThat(registry.granted(crew) <= 10).isTrue()
        }

        @Test
        fun `marks a team as over its lowered ceiling in every zone until the zones have returned enough`() {
            listOf("a", "b").forEach { change(Edit.AddZone(ZoneId(it))) }
            change(row(10))
            change(row(4))
            val isOverCeiling = { zone: String -> checkNotNull(ZoneView.of(registry.state, ZoneId(zone))).rows.single().overCeiling }
            registry.reduce(RegistryCommand.ReturnGrant(crew, ZoneId("b"), held = 0, atVersion = registry.version))
            expectThat(registry.granted(crew)).isEqualTo(7)
            expectThat(listOf(isOverCeiling("a"), isOverCeiling("b"))).isEqualTo(listOf(true, true))
            registry.reduce(RegistryCommand.ReturnGrant(crew, ZoneId("a"), held = 2, atVersion = registry.version))
            expectThat(listOf(isOverCeiling("a"), isOverCeiling("b"))).isEqualTo(listOf(false, false))
        }

        @Test
        fun `ignores a return that is based on a version before the grant changed`() {
            change(Edit.AddZone(ZoneId("a")))
            change(row(10))
            val versionBefore = registry.version
            change(row(4))
            registry.reduce(RegistryCommand.ReturnGrant(crew, ZoneId("a"), held = 0, atVersion = versionBefore))
            expectThat(grantOf("a").granted).isEqualTo(10)
        }
    }

    @Nested
    @DisplayName("parsing a team table")
    inner class Tables {
        private fun findings(text: String) =
            TableReader("t.csv")
                .read(text)
                .getError()
                .orEmpty()

        @Test
        fun `parses CSV as spreadsheets export it`() {
            val text = "\uFEFFteam;share;ceiling\r\n crew ; 2 ;1 200\r\n\r\nmill;1;30\r\n"
            val rows = TableReader("t.csv").read(text).get()
            expectThat(rows).isEqualTo(listOf(TeamRow(crew, 2, 1_200), TeamRow(TeamId("mill"), 1, 30)))
        }

        @Test
        fun `reports all errors at once, with their positions`() {
            val found = findings("team,share,ceiling\ncrew,0,5\nbad name,1,1.200\ncrew,1,x\n")
            expectThat(found).hasSize(4)
            expectThat(found.map { "${it.row} ${it.column}" }).isEqualTo(listOf("2 share", "3 team", "3 ceiling", "4 ceiling"))
        }

        @Test
        fun `reports the right row for a duplicate team, also below a row that failed to parse`() {
            val found = findings("team,share,ceiling\nbad name,1,5\ncrew,1,5\ncrew,1,6\n")
            expectThat(found.map { "${it.row} ${it.column}" }).isEqualTo(listOf("2 team", "4 team"))
            expectThat(found.last().allowed).isEqualTo("each team at most once; already defined in row 3")
        }

        @Test
        fun `reports missing and unknown columns`() {
            expectThat(findings("team,share,celing\n").map { it.column }.toSet()).isEqualTo(setOf("ceiling", "celing"))
        }
    }
}
