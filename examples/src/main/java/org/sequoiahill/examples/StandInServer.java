package org.sequoiahill.examples;

import com.beust.jcommander.JCommander;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** Common code of the stand-ins: parsing arguments, the HTTP server and JSON responses. */
final class StandInServer {
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    private StandInServer() {}

    static void parse(String program, Object arguments, String[] args) {
        JCommander.newBuilder().programName(program).addObject(arguments).build().parse(args);
    }

    static Server start(String address, Handler handler) throws Exception {
        int colon = address.lastIndexOf(':');
        Server server = new Server();
        ServerConnector connector = new ServerConnector(server, 1, 1);
        connector.setHost(address.substring(0, colon));
        connector.setPort(Integer.parseInt(address.substring(colon + 1)));
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        server.setHandler(handler);
        server.start();
        return server;
    }

    static void sendJson(Response response, Callback callback, int status, Object body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(bytes), callback);
    }
}
