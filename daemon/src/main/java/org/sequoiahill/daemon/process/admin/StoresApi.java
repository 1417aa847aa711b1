package org.sequoiahill.daemon.process.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.LogMember;
import org.sequoiahill.protocol.gen.MembersReply;
import org.sequoiahill.protocol.gen.MembersRequest;

/** Serves reads and changes of the members of the replicated logs. */
public final class StoresApi implements OperatorApi {
    private static final String ALL_TEAMS = "*";

    private final Identity mIdentity;
    private final ControlClient mClient;
    private final List<PeerVm> mStores;
    private final Map<String, ServiceStub<Log.Client>> mGroups = new LinkedHashMap<>();

    private StoresApi(Identity identity, ControlClient client, List<PeerVm> stores) {
        mIdentity = identity;
        mClient = client;
        mStores = stores;
        mGroups.put("config", ServiceStub.LOG_CONFIG);
        mGroups.put("claims", ServiceStub.LOG_CLAIMS);
    }

    /** Returns an API that forwards requests to the stores in the settings, from any VM. */
    public static StoresApi of(Identity identity, ControlClient client, List<PeerVm> stores) {
        return new StoresApi(identity, client, List.copyOf(stores));
    }

    @Override
    public boolean handle(Exchange exchange) {
        if (exchange.matchesPath("stores") && exchange.isRead()) {
            callAndRespond(exchange, new MembersRequest(mIdentity.sender(), false));
            return true;
        }
        String method = exchange.request().getMethod();
        boolean isWrite = method.equals("PUT") || method.equals("DELETE");
        if (!exchange.matchesPath("stores", "*") || !isWrite) {
            return false;
        }
        String vm = exchange.path().get(1);
        String address = exchange.queryParameter("address");
        boolean isAdd = method.equals("PUT");
        if (!exchange.operator().team().equals(ALL_TEAMS)) {
            exchange.response()
                    .error(
                            HttpStatus.FORBIDDEN_403,
                            "only operators of all teams may change stores");
        } else if (!ServiceDocument.NAME.matcher(vm).matches()) {
            exchange.response()
                    .error(HttpStatus.BAD_REQUEST_400, "not a valid name of a VM: " + vm);
        } else if (isAdd && !HostPort.PATTERN.matcher(address).matches()) {
            exchange.response()
                    .error(HttpStatus.BAD_REQUEST_400, "a new store needs ?address=HOST:PORT");
        } else {
            MembersRequest request = new MembersRequest(mIdentity.sender(), false).setVm(vm);
            callAndRespond(exchange, isAdd ? request.setAddress(address) : request);
        }
        return true;
    }

    /**
     * Calls each group in turn with a read or change of its members, and responds with the replies
     * up to the first that reports a failure; the later groups are called as well.
     */
    private void callAndRespond(Exchange exchange, MembersRequest request) {
        ObjectNode body = JsonResponse.object();
        CompletableFuture<Boolean> done = CompletableFuture.completedFuture(true);
        for (Map.Entry<String, ServiceStub<Log.Client>> group : mGroups.entrySet()) {
            done =
                    done.thenCompose(
                            isOk ->
                                    callFirstAvailable(0, group.getValue(), request)
                                            .thenApply(
                                                    reply ->
                                                            isOk
                                                                    && addMembers(
                                                                            body, group, reply)));
        }
        done.whenComplete(
                (isOk, failure) -> {
                    if (failure != null) {
                        String message = "no store responded: " + failure.getMessage();
                        exchange.response().error(HttpStatus.SERVICE_UNAVAILABLE_503, message);
                    } else {
                        int status = isOk ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
                        exchange.response().write(status, body);
                    }
                });
    }

    /** Calls the stores one after another, from {@code index} on, until one replies. */
    private CompletableFuture<MembersReply> callFirstAvailable(
            int index, ServiceStub<Log.Client> stub, MembersRequest request) {
        if (index >= mStores.size()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("no store is left to call"));
        }
        return mClient.call(mStores.get(index).control(), stub, client -> client.members(request))
                .handle(
                        (reply, failure) ->
                                failure == null
                                        ? CompletableFuture.completedFuture(reply)
                                        : callFirstAvailable(index + 1, stub, request))
                .thenCompose(reply -> reply);
    }

    private static boolean addMembers(
            ObjectNode body, Map.Entry<String, ServiceStub<Log.Client>> group, MembersReply reply) {
        ObjectNode node = body.putObject(group.getKey());
        if (reply.isSetLeaderVm()) {
            node.put("leader", reply.getLeaderVm());
        }
        if (reply.isSetFailure()) {
            node.put("failure", reply.getFailure());
        }
        ArrayNode members = node.putArray("members");
        for (LogMember member : reply.getMembers().getMembers()) {
            members.addObject()
                    .put("vm", member.getVm())
                    .put("incarnation", member.getIncarnation())
                    .put("address", member.getAddress())
                    .put("votes", member.isVoter());
        }
        return !reply.isSetFailure();
    }
}
