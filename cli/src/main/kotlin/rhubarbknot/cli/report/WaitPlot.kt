package rhubarbknot.cli.report

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChart
import org.knowm.xchart.CategoryChartBuilder

/** A plot, or the reason why there is none. */
sealed interface Plot {
    /** The plot as a PNG image. */
    class Drawn(
        val png: ByteArray,
    ) : Plot

    /** Drawing fails where no fonts are installed. */
    data class NotDrawn(
        val why: String,
    ) : Plot
}

/** Plots how long the jobs of a team waited in each of the last 24 hours. */
object WaitPlot {
    fun of(hours: List<ReportHour>): Plot {
        System.setProperty("java.awt.headless", "true")
        return try {
            Plot.Drawn(BitmapEncoder.getBitmapBytes(chart(hours), BitmapEncoder.BitmapFormat.PNG))
        } catch (e: LinkageError) {
            notDrawn(e)
        } catch (e: InternalError) {
            notDrawn(e)
        }
    }

    private fun notDrawn(cause: Throwable) = Plot.NotDrawn("no fonts are installed to draw with (${cause.message})")

    private fun chart(hours: List<ReportHour>): CategoryChart {
        val chart =
            CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("Waiting by hour")
                .xAxisTitle("hours ago")
                .yAxisTitle("minutes waited, all jobs together")
                .build()
        chart.styler.isLegendVisible = false
        chart.addSeries("waited", hours.map { it.hoursAgo }, hours.map { it.waitedMillis / MILLIS_PER_MINUTE })
        return chart
    }

    private const val WIDTH_PIXELS = 700
    private const val HEIGHT_PIXELS = 300
    private const val MILLIS_PER_MINUTE = 60_000.0
}
