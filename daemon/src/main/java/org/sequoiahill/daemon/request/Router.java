package org.sequoiahill.daemon.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.directory.DataCentreTable;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.protocol.gen.DataCentreSummary;

/** Finds where the next attempt of a request goes: an endpoint here, else an entry elsewhere. */
public final class Router {
    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final EndpointDirectory mDirectory;
    private final DataCentreTable mTable;
    private final EndpointChooser mChooser;
    private final RandomGenerator mRandom;
    private final AtomicLong mRequests = new AtomicLong();

    private Router(
            Identity identity,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable table,
            RandomGenerator random) {
        mIdentity = identity;
        mView = view;
        mDirectory = directory;
        mTable = table;
        mChooser = EndpointChooser.of(random);
        mRandom = random;
    }

    /** Returns a router of an entry. */
    public static Router of(
            Identity identity,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable table,
            RandomGenerator random) {
        return new Router(identity, view, directory, table, random);
    }

    /** Returns the data centre of this entry. */
    public String dataCentre() {
        return mIdentity.dataCentre();
    }

    /** Returns an attempt at an endpoint of this data centre that has not been tried yet. */
    public Optional<Attempt> here(String service, Collection<String> tried, int number) {
        return here(service, endpoint -> !tried.contains(endpoint.vm()), number);
    }

    /** Returns an attempt at an endpoint of this data centre that is eligible. */
    public Optional<Attempt> here(String service, Predicate<Endpoint> eligible, int number) {
        if (mView.current().isOut(mIdentity.dataCentre())) {
            return Optional.empty();
        }
        List<Endpoint> endpoints = mDirectory.serving(service).stream().filter(eligible).toList();
        return mChooser.choose(endpoints)
                .map(
                        endpoint ->
                                new Attempt(
                                        number,
                                        nextId(),
                                        endpoint.announcement().getDataAddress(),
                                        Optional.of(endpoint)));
    }

    /** Returns an attempt at an entry of another data centre that has endpoints of the service. */
    public Optional<Attempt> elsewhere(String service, int number) {
        List<DataCentreSummary> others = mTable.offering(service);
        if (others.isEmpty()) {
            return Optional.empty();
        }
        DataCentreSummary other = others.get(mRandom.nextInt(others.size()));
        return Optional.of(new Attempt(number, nextId(), other.getDataAddress(), Optional.empty()));
    }

    private String nextId() {
        return mIdentity.incarnation() + "-" + mRequests.incrementAndGet();
    }
}
