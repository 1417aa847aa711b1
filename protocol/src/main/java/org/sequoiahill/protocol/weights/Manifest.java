package org.sequoiahill.protocol.weights;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.json.Fault;
import org.sequoiahill.protocol.json.ObjectReader;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.json.ParsedJson;

/**
 * Files and chunks of one version of weights.
 *
 * @param version name of the version
 * @param chunkBytes size of every chunk of a file except the last
 * @param files the files, in order
 */
public record Manifest(String version, long chunkBytes, List<WeightFile> files) {
    /** Largest chunk size; bounds the memory of an agent. */
    public static final long MAX_CHUNK_BYTES = 64L << 20;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9_-][A-Za-z0-9._-]{0,120}");
    private static final long MAX_FILE_BYTES = 1L << 45;

    /**
     * One file of a version.
     *
     * @param name name of the file, without folders
     * @param bytes size of the file
     * @param sha256 SHA-256 of the file
     * @param chunks SHA-256 of each chunk, in order
     */
    public record WeightFile(String name, long bytes, String sha256, List<String> chunks) {}

    /**
     * One chunk of a file.
     *
     * @param file name of the file
     * @param offset first byte in the file
     * @param bytes size of the chunk
     * @param digest SHA-256 of the chunk
     */
    public record Chunk(String file, long offset, int bytes, String digest) {}

    /** Parses and checks a manifest; reports all faults. */
    public static ParseResult<Manifest> parse(String text) {
        ParseResult<ParsedJson> json = ParsedJson.parse(text);
        if (!json.isValid()) {
            return ParseResult.faulty(json.faults());
        }
        List<Fault> faults = new ArrayList<>();
        ObjectReader reader = json.orElseThrow().reader(faults);
        long chunkBytes = reader.integer("chunkBytes", 1, MAX_CHUNK_BYTES);
        Manifest manifest =
                new Manifest(
                        reader.string("version", ServiceDocument.NAME),
                        chunkBytes,
                        reader.objects("files", file -> readFile(file, chunkBytes)));
        reader.rejectUnknownKeys();
        return faults.isEmpty() ? ParseResult.of(manifest) : ParseResult.faulty(faults);
    }

    /** Returns the JSON text whose digest identifies this manifest. */
    public String toJson() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("version", version);
        root.put("chunkBytes", chunkBytes);
        ArrayNode array = root.putArray("files");
        for (WeightFile file : files) {
            ObjectNode node = array.addObject();
            node.put("name", file.name());
            node.put("bytes", file.bytes());
            node.put("sha256", file.sha256());
            file.chunks().forEach(node.withArray("chunks")::add);
        }
        try {
            return MAPPER.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a manifest as JSON", e);
        }
    }

    /** Returns the SHA-256 by which service documents refer to this manifest. */
    public String digest() {
        return Digests.of(toJson());
    }

    /** Returns every chunk of every file, in order. */
    public List<Chunk> chunks() {
        List<Chunk> result = new ArrayList<>();
        for (WeightFile file : files) {
            for (int i = 0; i < file.chunks().size(); i++) {
                long offset = i * chunkBytes;
                int bytes = (int) Math.min(chunkBytes, file.bytes() - offset);
                result.add(new Chunk(file.name(), offset, bytes, file.chunks().get(i)));
            }
        }
        return List.copyOf(result);
    }

    /** Returns the size of all files together. */
    public long totalBytes() {
        return files.stream().mapToLong(WeightFile::bytes).sum();
    }

    private static WeightFile readFile(ObjectReader reader, long chunkBytes) {
        WeightFile file =
                new WeightFile(
                        reader.string("name", FILE_NAME),
                        reader.integer("bytes", 1, MAX_FILE_BYTES),
                        reader.string("sha256", ServiceDocument.DIGEST),
                        reader.strings("chunks", ServiceDocument.DIGEST));
        long expected = (file.bytes() + chunkBytes - 1) / chunkBytes;
        if (file.chunks().size() != expected) {
            reader.fault("chunks", "holds " + file.chunks().size() + "; must hold " + expected);
        }
        return file;
    }
}
