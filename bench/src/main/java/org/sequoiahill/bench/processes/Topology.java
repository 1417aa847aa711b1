package org.sequoiahill.bench.processes;

import java.util.ArrayList;
import java.util.List;

/**
 * The data centres, daemons and addresses of a deployment.
 *
 * @param prefix first two octets of every address, such as {@code 127.30}
 * @param dataCentres the data centres
 * @param stores number of stores, assigned to the data centres in rotation
 */
public record Topology(String prefix, List<DataCentre> dataCentres, int stores) {
    private static final int FIRST_ENDPOINT_NUMBER = 10;
    private static final int ENDPOINTS_PER_OCTET = 240;
    private static final int OCTET_STEP = 20;

    /**
     * One data centre.
     *
     * @param name name of the data centre
     * @param entries number of its entries
     * @param endpoints its endpoints
     */
    public record DataCentre(String name, int entries, List<Endpoints> endpoints) {}

    /**
     * Endpoints of one service in one data centre.
     *
     * @param service name of the service
     * @param kind kind of stand-in behind each agent
     * @param count number of endpoints
     * @param capacity requests that each processes at once
     */
    public record Endpoints(String service, Kind kind, int count, int capacity) {}

    /** Stand-in behind an agent. */
    public enum Kind {
        /** A model engine that refuses orders with an old fencing number. */
        ENGINE_CHECKING_FENCING,
        /** A model engine that accepts every order. */
        ENGINE,
        /** A plain service whose calls must run at most once. */
        LEDGER,
        /** No stand-in is started; the agent announces an endpoint all the same. */
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

    /**
     * Returns the address of an endpoint. The third octet stands for the data centre, which uses
     * another one, higher by {@code OCTET_STEP}, for each further {@code ENDPOINTS_PER_OCTET}
     * endpoints.
     */
    private String endpointIp(int dataCentre, int number) {
        int third = dataCentre + OCTET_STEP * (number / ENDPOINTS_PER_OCTET);
        int fourth = 1 + number % ENDPOINTS_PER_OCTET;
        return prefix + "." + third + "." + fourth;
    }

    /** Returns the stores: the first entries of the data centres, in turn. */
    public List<Vm> storeVms() {
        List<Vm> stores = new ArrayList<>();
        for (int n = 1; stores.size() < stores(); n++) {
            String suffix = "-entry-" + n;
            List<Vm> next = entryVms().stream().filter(vm -> vm.name().endsWith(suffix)).toList();
            if (next.isEmpty()) {
                throw new IllegalArgumentException("topology has fewer entries than stores");
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
            int next = FIRST_ENDPOINT_NUMBER;
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
