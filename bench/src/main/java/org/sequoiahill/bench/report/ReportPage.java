package org.sequoiahill.bench.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Builds the HTML page of one site: plots of its days, and a table of its journal entries. */
final class ReportPage {
    private ReportPage() {}

    /** Returns the page as HTML, with the plots as data URLs. */
    static String of(String site, List<JournalEntry> entries) throws IOException {
        List<WorthCharts.Point> points = new ArrayList<>();
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < entries.size(); i++) {
            JournalEntry entry = entries.get(i);
            for (PlayedDayResult day : entry.days()) {
                points.add(new WorthCharts.Point(i + 1, day));
            }
            rows.append(row(i + 1, entry));
        }
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>");
        page.append(escape(site)).append("</title></head>\n<body>\n<h1>").append(escape(site));
        Map<String, List<WorthCharts.Point>> byDay = pointsOfRepeatedDays(points);
        List<WorthCharts.Point> repeatedDays = new ArrayList<>();
        byDay.values().forEach(repeatedDays::addAll);
        page.append("</h1>\n").append(image(WorthCharts.worthByDay(site, repeatedDays)));
        for (Map.Entry<String, List<WorthCharts.Point>> day : byDay.entrySet()) {
            String name = day.getKey();
            page.append(
                    image(
                            WorthCharts.valuesOfDay(
                                    name + ": credit by part",
                                    day.getValue(),
                                    PlayedDayResult::parts)));
            page.append(
                    image(
                            WorthCharts.valuesOfDay(
                                    name + ": prices", day.getValue(), PlayedDayResult::prices)));
        }
        page.append("<table border=\"1\">\n<tr><th>entry</th><th>started</th><th>played</th>");
        page.append("<th>why</th><th>worth by day</th><th>broken rules</th></tr>\n");
        return page.append(rows).append("</table>\n</body></html>\n").toString();
    }

    /** Returns the points of each day that has several; a single point shows no change. */
    private static Map<String, List<WorthCharts.Point>> pointsOfRepeatedDays(
            List<WorthCharts.Point> points) {
        Map<String, List<WorthCharts.Point>> byDay = new TreeMap<>();
        for (WorthCharts.Point point : points) {
            byDay.computeIfAbsent(point.day().name(), name -> new ArrayList<>()).add(point);
        }
        byDay.values().removeIf(pointsOfDay -> pointsOfDay.size() < 2);
        return byDay;
    }

    private static String row(int number, JournalEntry entry) {
        List<String> worth = new ArrayList<>();
        Set<String> broken = new TreeSet<>();
        for (PlayedDayResult day : entry.days()) {
            worth.add(String.format(Locale.ROOT, "%s %.3f", day.name(), day.worth()));
            broken.addAll(day.brokenRules().keySet());
        }
        return String.format(
                Locale.ROOT,
                "<tr><td>%d</td><td>%s</td><td>%s</td><td>%s</td><td>%s</td><td>%s</td></tr>%n",
                number,
                entry.startedAt(),
                escape(entry.command()),
                escape(entry.why()),
                escape(String.join(", ", worth)),
                escape(String.join(", ", broken)));
    }

    private static String image(String url) {
        return "<p><img alt=\"\" src=\"" + url + "\"></p>\n";
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
