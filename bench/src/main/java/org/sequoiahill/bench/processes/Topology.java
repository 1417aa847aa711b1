package org.sequoiahill.bench.processes;

import java.util.ArrayList;
import java.util.List;

/**
 * What a deployment consists of.
 *
 * @param prefix first two octets of every address, such as {@code 127.30}
 * @param dataCentres the data centres
 * @param stores how many stores there are, one a data centre in turn
 */
public record Topology(String prefix, List<DataCentre> dataCentres, int stores) {
    private static final int FIRST_ENDPOINT = 10;
    private static final int ENDPOINTS_AN_OCTET = 240;
    private static final int OCTETS_BETWEEN = 20;

    /**
     * One data centre.
     *
     * @param name name of the data centre
     * @param entries how many entries it has
     * @param endpoints its endpoints
     */
    public record DataCentre(String name, int entries, List<Endpoints> endpoints) {}

    /**
     * Endpoints of one service in one data centre.
     *
     * @param service name of the service
     * @param kind stand-in behind each agent
     * @param count how many there are
     * @param capacity requests that each bears at once
     */
    public record Endpoints(String service, Kind kind, int count, int capacity) {}

    /** Stand-in behind an agent. */
    public enum Kind {
        /** A model engine that refuses orders with an old fencing number. */
        ENGINE_CHECKING_FENCING,
        /** A model engine that takes every order. */
        ENGINE,
        /** A plain service whose calls may run once. */
        LEDGER,
        /** Nothing; the agent announces an endpoint that no request is sent to. */
        NONE
    }

    /**
     * One VM of the deployment.
     *
     * @param name name of the VM
     * @param dataCentre its data centre
     * @param ip its address
     */
    public record Vm(String name, String dataCentre, String ip) {
        /** Returns the operators' address. */
        public String admin() {
            return ip + ":7000";
        }

        /** Returns the address of control messages. */
        public String control() {
            return ip + ":7001";
        }

        /** Returns the address of requests and chunks. */
        public String data() {
            return ip + ":7002";
        }

        /** Returns the address of the stand-in beside the agent. */
        public String standIn() {
            return ip + ":8000";
        }
    }

    /** Returns the entries of all data centres. */
    public List<Vm> entryVms() {
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < dataCentres.size(); i++) {
            DataCentre dataCentre = dataCentres.get(i);
            for (int n = 1; n <= dataCentre.entries(); n++) {
                String name = dataCentre.name() + "-entry-" + n;
                vms.add(new Vm(name, dataCentre.name(), prefix + "." + (i + 1) + "." + n));
            }
        }
        return List.copyOf(vms);
    }

    /** Data centres lie in the third octet; one that is full goes on in a higher one. */
    private String endpointIp(int dataCentre, int number) {
        int third = dataCentre + OCTETS_BETWEEN * (number / ENDPOINTS_AN_OCTET);
        int fourth = 1 + number % ENDPOINTS_AN_OCTET;
        return prefix + "." + third + "." + fourth;
    }

    /** Returns the stores: the first entries of the data centres, in turn. */
    public List<Vm> storeVms() {
        List<Vm> stores = new ArrayList<>();
        for (int n = 1; stores.size() < stores(); n++) {
            String suffix = "-entry-" + n;
            List<Vm> next = entryVms().stream().filter(vm -> vm.name().endsWith(suffix)).toList();
            if (next.isEmpty()) {
                throw new IllegalArgumentException("there are fewer entries than stores");
            }
            next.stream().limit(stores() - (long) stores.size()).forEach(stores::add);
        }
        return List.copyOf(stores);
    }

    /** Returns the endpoint VMs of a service, in all data centres. */
    public List<Vm> endpointVms(String service) {
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < dataCentres.size(); i++) {
            DataCentre dataCentre = dataCentres.get(i);
            int next = FIRST_ENDPOINT;
            for (Endpoints endpoints : dataCentre.endpoints()) {
                for (int n = 1; n <= endpoints.count(); n++) {
                    String name = dataCentre.name() + "-" + endpoints.service() + "-" + n;
                    String ip = endpointIp(i + 1, next++);
                    if (endpoints.service().equals(service)) {
                        vms.add(new Vm(name, dataCentre.name(), ip));
                    }
                }
            }
        }
        return List.copyOf(vms);
    }
}
