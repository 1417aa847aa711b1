package org.sequoiahill.daemon.process.endpoints;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.time.Duration;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.FeedItem;
import org.sequoiahill.protocol.gen.WatchReply;

/** Tests of {@link FeedMirror}. */
final class FeedMirrorTest {
    private static Stream<Named<UnaryOperator<EndpointReport>>> faults() {
        return Stream.of(
                Named.of("no port", report -> report.setAddress("10.0.0.1")),
                Named.of("port 0", report -> report.setAddress("10.0.0.1:0")),
                Named.of("port 70000", report -> report.setAddress("10.0.0.1:70000")),
                Named.of("long port", report -> report.setAddress("10.0.0.1:99999999999")),
                Named.of("octet 999", report -> report.setAddress("999.0.0.1:80")),
                Named.of("not IPv4", report -> report.setAddress("::::::::7998:80")),
                Named.of("negative slots", report -> report.setSlots(Integer.MIN_VALUE)),
                Named.of("too many slots", report -> report.setSlots(Integer.MAX_VALUE)),
                Named.of("endless cold time", report -> report.setColdMillis(Long.MAX_VALUE)),
                Named.of("negative cold time", report -> report.setColdMillis(-1)),
                Named.of("start far ahead", report -> report.setStartedAt(Long.MAX_VALUE)),
                Named.of("sequence far ahead", report -> report.setSequence(Long.MAX_VALUE)),
                Named.of(
                        "version far ahead",
                        report -> report.setVersions(Map.of("model", Long.MAX_VALUE))));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void apply_impossibleReportAmongOthers_keepsTheOthers(UnaryOperator<EndpointReport> fault) {
        WatchReply reply = new WatchReply().setFeed(1).setChange(3).setWhole(true);
        reply.addToItems(item(Reports.ready("before", 100, 5)));
        reply.addToItems(item(fault.apply(Reports.ready("odd", 100, 5))));
        reply.addToItems(item(Reports.ready("after", 100, 5)));
        FeedMirror mirror = new FeedMirror();
        mirror.apply(reply, Duration.ofSeconds(1));
        assertThat(
                StreamSupport.stream(mirror.endpoints().spliterator(), false)
                        .map(EndpointInfo::id)
                        .sorted()
                        .toList(),
                contains("after", "before"));
    }

    private static FeedItem item(EndpointReport report) {
        return new FeedItem().setKey(FeedKeys.endpoint(report.getId())).setEndpoint(report);
    }
}
