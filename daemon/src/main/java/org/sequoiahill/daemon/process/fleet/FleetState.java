package org.sequoiahill.daemon.process.fleet;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sequoiahill.protocol.gen.DataCentreChange;
import org.sequoiahill.protocol.gen.FleetChange;
import org.sequoiahill.protocol.gen.FleetContent;
import org.sequoiahill.protocol.gen.QuarantineChange;
import org.sequoiahill.protocol.gen.RoutingPut;
import org.sequoiahill.protocol.gen.WeightsChange;

/**
 * State that the stores have agreed on, as of one index of their log.
 *
 * @param index index of the last change that had an effect
 * @param routingNumber number of the routing table, 0 while there is none
 * @param routing text of the routing table as its author wrote it, deflated
 * @param outDataCentres data centres that are out of service, with the index of the change
 * @param returnedDataCentres data centres that were returned to service, with the index of the
 *     change
 * @param versions newest published version of each model
 * @param quarantinedTraits number of failed probes of each trait of requests under quarantine
 */
public record FleetState(
        long index,
        long routingNumber,
        ByteBuffer routing,
        Map<String, Long> outDataCentres,
        Map<String, Long> returnedDataCentres,
        Map<String, Long> versions,
        Map<String, Integer> quarantinedTraits) {
    /** Limit of traits under quarantine; further ones are not added. */
    private static final int MAX_QUARANTINED_TRAITS = 1_000;

    /** State before the first change. */
    public static final FleetState EMPTY =
            new FleetState(0, 0, ByteBuffer.allocate(0), Map.of(), Map.of(), Map.of(), Map.of());

    /** Copies the maps and makes the text of the routing table read-only. */
    public FleetState {
        routing = routing.asReadOnlyBuffer();
        outDataCentres = Map.copyOf(outDataCentres);
        returnedDataCentres = Map.copyOf(returnedDataCentres);
        versions = Map.copyOf(versions);
        quarantinedTraits = Map.copyOf(quarantinedTraits);
    }

    /** Returns whether a data centre is out of service. */
    public boolean isOut(String dataCentre) {
        return outDataCentres.containsKey(dataCentre);
    }

    /** Returns the index of the last change of a data centre, 0 if there was none. */
    public long lastChangeOf(String dataCentre) {
        return outDataCentres.getOrDefault(
                dataCentre, returnedDataCentres.getOrDefault(dataCentre, 0L));
    }

    /** Returns the data centres that are out of service. */
    public Set<String> outOfServiceDataCentres() {
        return outDataCentres.keySet();
    }

    /** Returns the newest published version of a model, or the default if there is none. */
    public long version(String model, long defaultVersion) {
        return versions.getOrDefault(model, defaultVersion);
    }

    /** Returns whether this state already includes a change, so that applying it has no effect. */
    public boolean includes(FleetChange change) {
        if (change.isSetRouting()) {
            return change.getRouting().getNumber() <= routingNumber;
        }
        if (change.isSetWeights()) {
            WeightsChange weights = change.getWeights();
            return weights.getVersion() <= version(weights.getModel(), 0);
        }
        if (change.isSetQuarantine()) {
            return includes(change.getQuarantine());
        }
        DataCentreChange dataCentre = change.getDataCentre();
        return isOut(dataCentre.getDataCentre()) == dataCentre.isOut();
    }

    /**
     * Returns whether a change must not take effect because it would undo a later change of the
     * same data centre.
     */
    boolean supersedes(FleetChange change) {
        return change.isSetDataCentre()
                && change.getDataCentre().isSetExpectedIndex()
                && !includes(change)
                && change.getDataCentre().getExpectedIndex()
                        != lastChangeOf(change.getDataCentre().getDataCentre());
    }

    private boolean includes(QuarantineChange change) {
        Integer failedProbes = quarantinedTraits.get(change.getTrait());
        if (failedProbes == null) {
            return !change.isQuarantined() || quarantinedTraits.size() >= MAX_QUARANTINED_TRAITS;
        }
        return change.isQuarantined() && change.getFailedProbes() <= failedProbes;
    }

    /**
     * Returns the state after a change that this state does not include, or after a change of a
     * data centre that is repeated.
     */
    FleetState with(long newIndex, FleetChange change) {
        if (change.isSetRouting()) {
            RoutingPut put = change.getRouting();
            return new FleetState(
                    newIndex,
                    put.getNumber(),
                    ByteBuffer.wrap(put.getContent()),
                    outDataCentres,
                    returnedDataCentres,
                    versions,
                    quarantinedTraits);
        }
        if (change.isSetWeights()) {
            Map<String, Long> changed = new HashMap<>(versions);
            changed.put(change.getWeights().getModel(), change.getWeights().getVersion());
            return new FleetState(
                    newIndex,
                    routingNumber,
                    routing,
                    outDataCentres,
                    returnedDataCentres,
                    changed,
                    quarantinedTraits);
        }
        if (change.isSetQuarantine()) {
            QuarantineChange quarantine = change.getQuarantine();
            Map<String, Integer> traits = new HashMap<>(quarantinedTraits);
            if (quarantine.isQuarantined()) {
                traits.put(quarantine.getTrait(), quarantine.getFailedProbes());
            } else {
                traits.remove(quarantine.getTrait());
            }
            return new FleetState(
                    newIndex,
                    routingNumber,
                    routing,
                    outDataCentres,
                    returnedDataCentres,
                    versions,
                    traits);
        }
        String name = change.getDataCentre().getDataCentre();
        Map<String, Long> out = new HashMap<>(outDataCentres);
        Map<String, Long> returned = new HashMap<>(returnedDataCentres);
        out.remove(name);
        returned.remove(name);
        (change.getDataCentre().isOut() ? out : returned).put(name, newIndex);
        return new FleetState(
                newIndex, routingNumber, routing, out, returned, versions, quarantinedTraits);
    }

    /** Returns this state with the routing table of another one. */
    FleetState withRouting(FleetState other) {
        return new FleetState(
                index,
                other.routingNumber,
                other.routing,
                outDataCentres,
                returnedDataCentres,
                versions,
                quarantinedTraits);
    }

    /** Returns the Thrift message of this state, with the text of the table only on request. */
    public FleetContent toThrift(boolean withRouting) {
        FleetContent content =
                new FleetContent(
                        index, routingNumber, outDataCentres, returnedDataCentres, versions);
        if (!quarantinedTraits.isEmpty()) {
            content.setQuarantinedTraits(quarantinedTraits);
        }
        if (withRouting && routingNumber > 0) {
            content.setRouting(routing.duplicate());
        }
        return content;
    }

    /** Returns the state of a message; the text of the table is empty if the message omits it. */
    public static FleetState fromThrift(FleetContent content) {
        return new FleetState(
                content.getIndex(),
                content.getRoutingNumber(),
                ByteBuffer.wrap(content.isSetRouting() ? content.getRouting() : new byte[0]),
                content.getOutDataCentres(),
                content.getReturnedDataCentres(),
                content.getVersions(),
                content.isSetQuarantinedTraits() ? content.getQuarantinedTraits() : Map.of());
    }

    /** Returns whether this state has the text of the table. */
    boolean hasRouting() {
        return routing.hasRemaining();
    }
}
