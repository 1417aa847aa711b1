package org.sequoiahill.bench.processes;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.protocol.weights.Digests;

/** Writes the settings files of a deployment's daemons. */
final class SettingsWriter {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final Path mFolder;
    private final Topology mTopology;
    private final Consumer<ObjectNode> mChangeSettings;

    SettingsWriter(Path folder, Topology topology, Consumer<ObjectNode> changeSettings) {
        mFolder = folder;
        mTopology = topology;
        mChangeSettings = changeSettings;
    }

    Path writeEntry(Vm vm) throws IOException {
        boolean isStore = mTopology.storeVms().contains(vm);
        return write(vm, isStore ? List.of("entry", "store") : List.of("entry"), root -> {});
    }

    Path writeAgent(Vm vm, String service, int capacity, boolean checksFencing) throws IOException {
        return write(
                vm,
                List.of("agent"),
                root ->
                        root.putObject("agent")
                                .put("service", service)
                                .put("engine", "http://" + vm.standIn())
                                .put("origin", "http://" + Deployment.originAddress(mTopology))
                                .put("capacity", capacity)
                                .put("checksFencing", checksFencing));
    }

    private Path write(Vm vm, List<String> roles, Consumer<ObjectNode> roleSettings)
            throws IOException {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("vm", vm.name());
        root.put("dataCentre", vm.dataCentre());
        root.put("region", vm.dataCentre());
        roles.forEach(root.putArray("roles")::add);
        root.put("dataFolder", mFolder.resolve(vm.name()).toString());
        root.put("admin", vm.admin());
        root.put("control", vm.control());
        root.put("data", vm.data());
        addPeers(root.putArray("entries"), mTopology.entryVms());
        addPeers(root.putArray("stores"), mTopology.storeVms());
        root.putArray("operators")
                .addObject()
                .put("name", "bench")
                .put("team", "*")
                .put("tokenDigest", Digests.of(Deployment.OPERATOR_TOKEN));
        root.putObject("log").put("file", mFolder.resolve(vm.name() + ".log").toString());
        roleSettings.accept(root);
        mChangeSettings.accept(root);
        Path file = mFolder.resolve(vm.name() + ".json");
        Files.writeString(file, root.toPrettyString());
        return file;
    }

    private static void addPeers(ArrayNode array, List<Vm> vms) {
        for (Vm vm : vms) {
            array.addObject()
                    .put("vm", vm.name())
                    .put("dataCentre", vm.dataCentre())
                    .put("control", vm.control())
                    .put("data", vm.data());
        }
    }
}
