package org.sequoiahill.daemon.version;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.Periodic;
import org.sequoiahill.daemon.request.EndpointGate;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.TurnReply;
import org.sequoiahill.protocol.gen.TurnRequest;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.Chunk;
import org.tinylog.Logger;

/** Brings the endpoint to the version that the configuration states, one step at a time. */
public final class VersionLoop {
    private static final Duration INTERVAL = Duration.ofMillis(100);

    private final String mService;
    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ControlClient mControl;
    private final List<PeerVm> mStores;
    private final ChunkStore mChunks;
    private final ChunkFetcher mFetcher;
    private final EngineClient mEngine;
    private final EndpointGate mGate;
    private volatile Progress mProgress = Progress.NONE;

    private VersionLoop(
            String service,
            Identity identity,
            ConfigurationView view,
            ControlClient control,
            List<PeerVm> stores,
            ChunkStore chunks,
            ChunkFetcher fetcher,
            EngineClient engine,
            EndpointGate gate) {
        mService = service;
        mIdentity = identity;
        mView = view;
        mControl = control;
        mStores = stores;
        mChunks = chunks;
        mFetcher = fetcher;
        mEngine = engine;
        mGate = gate;
    }

    /** Returns the loop of one agent. */
    public static VersionLoop of(
            String service,
            Identity identity,
            ConfigurationView view,
            ControlClient control,
            List<PeerVm> stores,
            ChunkStore chunks,
            ChunkFetcher fetcher,
            EngineClient engine,
            EndpointGate gate) {
        return new VersionLoop(
                service, identity, view, control, stores, chunks, fetcher, engine, gate);
    }

    /**
     * How far the endpoint is.
     *
     * @param servedName version that is served
     * @param servedDigest manifest digest of the version that is served
     * @param chunksHeld chunks held of the stated version
     * @param chunksStated chunks that the stated version has
     */
    public record Progress(
            String servedName, String servedDigest, int chunksHeld, int chunksStated) {
        private static final Progress NONE = new Progress("", "", 0, 0);
    }

    /** Starts to take a step every interval. */
    public void start(ScheduledExecutorService scheduler) {
        Periodic.every(scheduler, INTERVAL, "version", this::stepSafely);
    }

    /** Returns how far the endpoint is. */
    public Progress progress() {
        return mProgress;
    }

    private void stepSafely() {
        try {
            step();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | RuntimeException e) {
            Logger.warn(e, "version step failed; it is tried again");
        }
    }

    private void step() throws InterruptedException, IOException {
        Optional<ServiceDocument> service = mView.current().service(mService);
        if (service.isEmpty()) {
            return;
        }
        if (service.get().kind() == ServiceDocument.Kind.PLAIN) {
            mGate.open("");
            return;
        }
        ServiceDocument.Version version = service.get().version().orElseThrow();
        if (mProgress.servedDigest().equals(version.manifestDigest()) && mGate.isOpen()) {
            return;
        }
        Optional<Manifest> manifest = mFetcher.manifest(version);
        if (manifest.isPresent() && fetchWhole(manifest.get())) {
            swap(version, manifest.get());
        }
    }

    private boolean fetchWhole(Manifest manifest) throws InterruptedException, IOException {
        List<Chunk> chunks = manifest.chunks();
        for (Chunk chunk : chunks) {
            mFetcher.fetchChunk(manifest, chunk);
            mProgress =
                    new Progress(
                            mProgress.servedName(),
                            mProgress.servedDigest(),
                            mChunks.heldOf(manifest),
                            chunks.size());
        }
        return mProgress.chunksHeld() == chunks.size() && mChunks.verify(manifest);
    }

    private void swap(ServiceDocument.Version version, Manifest manifest)
            throws InterruptedException {
        TurnReply turn = askTurn(version.manifestDigest(), false);
        if (!turn.isGranted()) {
            return;
        }
        mGate.close().join();
        boolean isTaken = mEngine.load(version.name(), mChunks.folderOf(manifest), turn.getFence());
        Optional<String> loaded = mEngine.loadedDigest();
        if (isTaken && loaded.filter(version.manifestDigest()::equals).isPresent()) {
            int chunks = manifest.chunks().size();
            mProgress = new Progress(version.name(), version.manifestDigest(), chunks, chunks);
            mGate.open(version.manifestDigest());
            Logger.info("serving version {} ({})", version.name(), version.manifestDigest());
        }
        askTurn(version.manifestDigest(), true);
    }

    private TurnReply askTurn(String digest, boolean isFinished) {
        TurnRequest request =
                new TurnRequest(
                        mIdentity.sender(),
                        mService,
                        digest,
                        mView.current().revision(),
                        isFinished);
        for (PeerVm store : mStores) {
            try {
                return mControl.call(
                                store.control(),
                                ServiceStub.TURNS,
                                client -> client.request(request))
                        .join();
            } catch (CompletionException e) {
                Logger.debug("store {} failed: {}", store.vm(), e);
            }
        }
        return new TurnReply(mIdentity.sender(), false, 0, 0);
    }
}
