package org.sequoiahill.bench.report;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws line charts over the entries of a journal as PNG images. */
final class WorthCharts {
    private static final int WIDTH = 1000;
    private static final int HEIGHT = 420;

    private WorthCharts() {}

    /** Score of a day in one entry; the entry's number is the place on the horizontal axis. */
    record Point(int entry, PlayedDayResult day) {}

    /** Returns a chart of the worth of each day, as a data URL. */
    static String worthByDay(String site, List<Point> points) throws IOException {
        Map<String, XYSeries> series = new TreeMap<>();
        for (Point point : points) {
            series.computeIfAbsent(point.day().name(), XYSeries::new)
                    .add(point.entry(), point.day().worth());
        }
        return image(site + ": worth by day", "credit less prices", series);
    }

    /**
     * Returns a chart of the parts or prices of one day, as a data URL; leaves out those that are
     * never above zero.
     */
    static String valuesOfDay(
            String title, List<Point> points, Function<PlayedDayResult, Map<String, Double>> values)
            throws IOException {
        Map<String, XYSeries> series = new TreeMap<>();
        for (Point point : points) {
            values.apply(point.day())
                    .forEach(
                            (name, value) ->
                                    series.computeIfAbsent(name, XYSeries::new)
                                            .add(point.entry(), value));
        }
        series.values().removeIf(line -> line.getMaxY() <= 0);
        return image(title, "credit or cost", series);
    }

    private static String image(String title, String valueAxis, Map<String, XYSeries> series)
            throws IOException {
        XYSeriesCollection data = new XYSeriesCollection();
        series.values().forEach(data::addSeries);
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        title,
                        "entry of the journal",
                        valueAxis,
                        data,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setRenderer(new XYLineAndShapeRenderer(true, true));
        plot.getDomainAxis().setStandardTickUnits(NumberAxis.createIntegerTickUnits());
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        ChartUtils.writeChartAsPNG(png, chart, WIDTH, HEIGHT);
        return "data:image/png;base64," + Base64.getEncoder().encodeToString(png.toByteArray());
    }
}
