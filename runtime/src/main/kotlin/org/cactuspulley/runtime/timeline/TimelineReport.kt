/*
 * Renders a merged timeline as lines of text and as a self-contained HTML page.
 */
package org.cactuspulley.runtime.timeline

import kotlinx.html.body
import kotlinx.html.h1
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.p
import kotlinx.html.span
import kotlinx.html.stream.createHTML
import kotlinx.html.style
import kotlinx.html.table
import kotlinx.html.tbody
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.thead
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.unsafe
import org.cactuspulley.core.timeline.TimelineEntry
import java.time.Instant

private const val STYLE = """
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; font-size: 0.85em; }
td, th { padding: 0.15em 0.7em; text-align: left; border-bottom: 1px solid #ddd; vertical-align: top; }
td.time { font-family: monospace; white-space: nowrap; }
td.event { background: #eef3fa; }
"""

/** Renders [entry] as one line of text. */
public fun textLine(entry: TimelineEntry): String =
    "${Instant.ofEpochMilli(entry.time.millis)}+${entry.time.counter} ${entry.process} ${entry.event}"

/** Renders [entries] as an HTML page with one column for each process and one row for each entry. */
public fun htmlPage(entries: List<TimelineEntry>): String {
    val processes = entries.map { it.process }.distinct().sorted()
    return "<!DOCTYPE html>\n" + createHTML().html {
        head {
            title("Time line")
            style { unsafe { +STYLE } }
        }
        body {
            h1 { +"Time line" }
            p { +"${entries.size} events of ${processes.size} processes" }
            table {
                thead {
                    tr {
                        th { +"time" }
                        processes.forEach { th { +it } }
                    }
                }
                tbody {
                    entries.forEach { entry ->
                        tr {
                            td("time") { +"${Instant.ofEpochMilli(entry.time.millis)}+${entry.time.counter}" }
                            processes.forEach { process ->
                                if (process == entry.process) td("event") { span { +entry.event.toString() } } else td { }
                            }
                        }
                    }
                }
            }
        }
    }
}
