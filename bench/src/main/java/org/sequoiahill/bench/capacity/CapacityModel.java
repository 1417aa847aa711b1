package org.sequoiahill.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Computes the usage of each role at the target size from measured linear fits. */
public final class CapacityModel {
    private static final double BYTES_PER_MEBIBYTE = 1 << 20;

    private final Map<String, LinearFit> mFits;
    private final TargetSize mTarget;

    private CapacityModel(Map<String, LinearFit> fits, TargetSize target) {
        mFits = fits;
        mTarget = target;
    }

    /**
     * Returns a model of fits, which are keyed by the names that {@link CapacityExperiment} writes.
     */
    public static CapacityModel of(Map<String, LinearFit> fits, TargetSize target) {
        return new CapacityModel(Map.copyOf(fits), target);
    }

    /**
     * Returns the rows of the capacity page.
     *
     * @throws IllegalArgumentException if a fit is missing
     */
    public List<CapacityRow> rows() {
        List<CapacityRow> rows = new ArrayList<>();
        for (String role : List.of("entry", "store", "agent")) {
            rows.add(controlCores(role));
            rows.add(controlBytes(role));
            if (!role.equals("agent")) {
                rows.add(memory(role));
            }
        }
        rows.add(requests("entry", mTarget.entries()));
        // The target size has seven data centres.
        rows.add(requests("agent", mTarget.endpointsPerDataCentre() * 7));
        return List.copyOf(rows);
    }

    private CapacityRow controlCores(String role) {
        double cores = roleUsageAtTarget(role, "cores");
        return new CapacityRow(
                role, "control, cores", mTarget.maxControlCores(), cores, slopes(role, "cores"));
    }

    private CapacityRow controlBytes(String role) {
        return new CapacityRow(
                role,
                "control, B/s",
                mTarget.maxControlBytesPerSecond(),
                roleUsageAtTarget(role, "bytes_per_second"),
                slopes(role, "bytes_per_second"));
    }

    private CapacityRow memory(String role) {
        LinearFit fit = fit(role + ".resident_bytes.endpoint");
        return new CapacityRow(
                role,
                "memory, MiB",
                mTarget.maxResidentBytes() / BYTES_PER_MEBIBYTE,
                valueAtTarget(fit) / BYTES_PER_MEBIBYTE,
                describe("endpoint", fit));
    }

    private CapacityRow requests(String role, double daemons) {
        LinearFit request = fit(role + ".cores.request");
        LinearFit token = fit(role + ".cpu_seconds_per_request.token");
        double cores =
                mTarget.requestsPerSecond() / daemons * request.slope()
                        + mTarget.tokensPerSecond() / daemons * token.slope();
        return new CapacityRow(
                role,
                "requests and tokens, cores",
                Double.POSITIVE_INFINITY,
                cores,
                describe("request", request) + "; " + describe("token", token));
    }

    /**
     * Returns the usage of a role at the target size. For entries and stores, which are entries
     * too, adds the cost of all target entries, because the fit over endpoints was measured with
     * only a few entries.
     */
    private double roleUsageAtTarget(String role, String quantity) {
        double ownCost = valueAtTarget(fit(role + "." + quantity + ".endpoint"));
        if (!isEntry(role)) {
            return ownCost;
        }
        // A negative slope is measurement noise and must not offset another cost.
        double costPerEntry = Math.max(0, fit("entry." + quantity + ".entry").slope());
        return ownCost + costPerEntry * mTarget.entries();
    }

    private double valueAtTarget(LinearFit fit) {
        double endpoints = mTarget.endpointsPerDataCentre();
        return fit.intercept() + Math.max(0, fit.slope()) * endpoints;
    }

    private String slopes(String role, String quantity) {
        String endpoints = describe("endpoint", fit(role + "." + quantity + ".endpoint"));
        return isEntry(role)
                ? endpoints + "; " + describe("entry", fit("entry." + quantity + ".entry"))
                : endpoints;
    }

    private static boolean isEntry(String role) {
        return role.equals("entry") || role.equals("store");
    }

    private static String describe(String unit, LinearFit fit) {
        return String.format(
                Locale.ROOT,
                "%.3g ± %.1g per %s, %.3g at zero",
                fit.slope(),
                fit.slopeError(),
                unit,
                fit.intercept());
    }

    private LinearFit fit(String name) {
        LinearFit fit = mFits.get(name);
        if (fit == null) {
            throw new IllegalArgumentException("no measured fit named " + name);
        }
        return fit;
    }
}
