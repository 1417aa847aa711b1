package review;

import java.io.IOException;
import java.io.OutputStream;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Random;

/** The weights of a model, and the service that is their origin. */
final class Weights {
    static final String MODEL = "daka";
    static final int CHUNKS = 48;
    static final int CHUNK_BYTES = 49_152;

    private Weights() {}

    static byte[] piece(long version, int number) {
        byte[] bytes = new byte[CHUNK_BYTES];
        new Random(version * 1_000 + number).nextBytes(bytes);
        return bytes;
    }

    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a configuration of a model service with its origin and one resumable route. */
    static String configuration(long version, String originIp, int timeoutMillis) {
        return """
            {"version":VERSION,"routes":[{"name":"r","host":"writer.example",\
            "path_prefix":"/letter/","kind":"stream","timeout_ms":TIMEOUT,\
            "target_latency_ms":400,"priority":1,"service":"writer","max_attempts":2,\
            "allow_anonymous":true,"sticky":true,"resumable":true,"target_gap_ms":300,\
            "allowed_regions":[]}],"services":[{"name":"writer","health_path":"/health",\
            "max_connections":344,"protocol":"h1","tls":false,"cold_start_s":0.0,\
            "cold_per_s":0.0,"engine":{"slots":16,"kv_capacity_tokens":685000,\
            "token_kv_bytes":327680,"stride":6,"models":[{"name":"daka","pace":1.0,\
            "load_s":4.0,"warm_s":0.3}],"mb":297000.0,"step_ms":7.4,"per_seq_ms":0.0387,\
            "context_per_k":0.0203,"read_per_s":31900.0,"pairs_per_m":0.733,"chunk":2048,\
            "report_lag_ms":200.0,"layers":16,"layer_mb":4540.0,"chunks":48,\
            "chunk_bytes":49152}},{"name":"ledger","origin":"ORIGIN:8001","zone":"zone-a",\
            "link_mbps":15.0,"max_connections":48}],"limits":{"max_header_bytes":16384,\
            "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},\
            "tenants":[]}"""
                .replace("VERSION", Long.toString(version))
                .replace("ORIGIN", originIp)
                .replace("TIMEOUT", Integer.toString(timeoutMillis));
    }

    /** Headers of a request to the model. */
    static String requestHeaders(String prompt) {
        return "X-Sequoiahill-Model: daka\r\nX-Sequoiahill-Token-Count: 400,40\r\n"
                + "X-Sequoiahill-Prompt-Prefix: " + prompt + ":400\r\n";
    }

    /** The origin: hands out manifests and pieces. */
    static class Origin extends Replica {
        Origin(Lab lab, String ip) {
            super(lab, ip, "ledger", "zone-a");
        }

        @Override
        void handle(Request request, OutputStream out) throws IOException {
            String path = request.target().split("\\?")[0];
            long version = parameter(request.target(), "version");
            if (path.equals("/api/manifest/" + MODEL)) {
                lab.note("the origin sends the manifest of version " + version);
                respond(out, request, 200, "", manifest(version).getBytes());
            } else if (path.equals("/api/piece/" + MODEL)) {
                int number = (int) parameter(request.target(), "sample_count");
                respond(out, request, 200, "", piece(version, number));
            } else {
                respond(out, request, 404, "", new byte[0]);
            }
        }

        String manifest(long version) {
            StringBuilder digests = new StringBuilder();
            for (int i = 0; i < CHUNKS; i++) {
                digests.append(i == 0 ? "\"" : ",\"").append(digest(piece(version, i)));
                digests.append('"');
            }
            return "{\"model\":\"" + MODEL + "\",\"version\":" + version + ",\"chunk_bytes\":"
                    + CHUNK_BYTES + ",\"layers\":16,\"digests\":[" + digests + "]}";
        }
    }

    static long parameter(String target, String name) {
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return Long.parseLong(part.substring(name.length() + 1));
            }
        }
        return 0;
    }
}
