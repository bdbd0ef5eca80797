package rhubarbknot.cli.report

import kotlinx.html.body
import kotlinx.html.div
import kotlinx.html.h1
import kotlinx.html.h2
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.img
import kotlinx.html.lang
import kotlinx.html.li
import kotlinx.html.meta
import kotlinx.html.p
import kotlinx.html.stream.createHTML
import kotlinx.html.style
import kotlinx.html.title
import kotlinx.html.ul
import kotlinx.html.unsafe
import java.util.Base64

/** Formats the report as one self-contained HTML page. */
object HtmlReport {
    fun page(reports: List<TeamReport>): String =
        "<!DOCTYPE html>\n" +
            createHTML().html {
                lang = "en"
                head {
                    meta(charset = "utf-8")
                    title("The last 24 hours by team")
                    style { unsafe { +STYLE } }
                }
                body {
                    h1 { +"The last 24 hours by team" }
                    if (reports.isEmpty()) p { +"No team submitted a job." }
                    reports.forEach { report ->
                        div {
                            h2 { +report.title }
                            p { +report.counts }
                            ul { (report.waitLines() + report.otherLines()).forEach { line -> li { +line.trim() } } }
                            when (val plot = WaitPlot.of(report.hours)) {
                                is Plot.Drawn ->
                                    img(alt = "Minutes waited in each of the last 24 hours") {
                                        src = "data:image/png;base64,${Base64.getEncoder().encodeToString(plot.png)}"
                                    }
                                is Plot.NotDrawn -> p { +"The plot is left out: ${plot.why}." }
                            }
                        }
                    }
                }
            }

    private const val STYLE = "body{font-family:sans-serif;max-width:50em;margin:2em auto}li{margin:.3em 0}"
}
