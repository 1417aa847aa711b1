package org.sequoiahill.bench.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sequoiahill.daemon.process.config.ConfigurationLimits;
import org.sequoiahill.daemon.process.config.ConfigurationStateMachine;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.sequoiahill.protocol.gen.ConfigurationFetch;
import org.sequoiahill.protocol.gen.ConfigurationProposal;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.DocumentKind;

/**
 * Measures the memory that documents take on a store, and the size of the messages that distribute
 * them.
 */
final class DocumentCost {
    private static final int DOCUMENTS = 1_000;

    private DocumentCost() {}

    static void measure(String template, ObjectNode json) {
        Identity identity = Identity.of("bench-entry-1", "ne-a", 1);
        ConfigurationView view = ConfigurationView.of(identity);
        ConfigurationStateMachine machine =
                ConfigurationStateMachine.of(identity, view, ConfigurationLimits.standard());
        long before = usedBytes();
        for (int i = 0; i < DOCUMENTS; i++) {
            machine.apply(i, proposalOf(identity, template, i));
        }
        double mebibytes = (usedBytes() - before) / (double) (1 << 20);
        ConfigurationDelta idle = view.deltaAfter(view.current().revision());
        ConfigurationDelta change = view.deltaAfter(view.current().revision() - 1);
        int fetchBytes =
                ThriftBytes.write(new ConfigurationFetch(identity.sender(), DOCUMENTS)).length;
        json.put("documents", machine.documentCount())
                .put("document bytes", template.length())
                .put("mebibytes on a store", mebibytes)
                .put("snapshot bytes", machine.snapshot().length)
                .put("fetch bytes", fetchBytes)
                .put("idle answer bytes", ThriftBytes.write(idle).length)
                .put("answer bytes of one change", ThriftBytes.write(change).length);
        System.out.printf(
                "%,d documents of %,d bytes: %.1f MiB on a store%n",
                machine.documentCount(), template.length(), mebibytes);
    }

    private static byte[] proposalOf(Identity identity, String template, int number) {
        String name = "service-" + number;
        String body = template.replace("\"ledger\"", "\"" + name + "\"");
        ConfigurationWrite write =
                new ConfigurationWrite(
                        identity.sender(),
                        "change-" + number,
                        "bench",
                        DocumentKind.SERVICE,
                        name,
                        0,
                        body,
                        "*");
        return ThriftBytes.write(new ConfigurationProposal(number, write));
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
