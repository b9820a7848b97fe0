package second;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: a log with keyed topics of one partition. It loses nothing and answers at once. */
final class Store implements AutoCloseable {
    private record Entry(byte[] content, String key, byte[] value) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Http.Server server;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, 0, this::handle);
    }

    String address() {
        return server.hostAndPort();
    }

    /** Appends a record, as the operator or a server does; the return is the acknowledgement. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
        content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
        add(topic, content.array());
    }

    private void add(String topic, byte[] content) {
        int end = 1 + content[0];
        byte[] value = java.util.Arrays.copyOfRange(content, end, content.length);
        String key = new String(content, 1, end - 1, StandardCharsets.UTF_8);
        topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(new Entry(content, key, value));
        notifyAll();
    }

    private void handle(Http.Request request, Http.Connection connection) throws Exception {
        String topic = request.parameter("topic");
        switch (request.path()) {
            case "/v1/log-append" -> append(request, connection, topic);
            case "/v1/log-newest" -> answer(connection, "200 OK", newest(topic, request.parameter("after")));
            case "/v1/log-read" -> connection.respond("200 OK", Map.of(), read(request, topic));
            default -> answer(connection, "404 Not Found", "{}");
        }
    }

    private static void answer(Http.Connection connection, String status, String json) throws IOException {
        connection.respond(status, Map.of("Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    private void append(Http.Request request, Http.Connection connection, String topic) throws IOException {
        String status = "200 OK";
        String json;
        synchronized (this) {
            int end = topics.getOrDefault(topic, List.of()).size();
            String at = request.parameter("at");
            if (at != null && Long.parseLong(at) != end) {
                status = "412 Precondition Failed";
                json = "{\"end\":" + end + "}";
            } else {
                ByteBuffer bytes = ByteBuffer.wrap(request.body());
                while (bytes.hasRemaining()) {
                    byte[] content = new byte[bytes.getInt()];
                    bytes.get(content);
                    add(topic, content);
                }
                json = "{\"offset\":" + end + ",\"end\":" + topics.get(topic).size() + "}";
            }
        }
        answer(connection, status, json);
    }

    private synchronized String newest(String topic, String after) {
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        Map<String, Integer> offsets = new TreeMap<>();
        for (int offset = 0; offset < entries.size(); offset++) offsets.put(entries.get(offset).key(), offset);
        StringBuilder items = new StringBuilder();
        offsets.forEach((key, offset) -> {
            byte[] value = entries.get(offset).value();
            if (value.length == 0 || (after != null && key.compareTo(after) <= 0)) return;
            if (items.length() > 0) items.append(',');
            items.append("{\"key\":\"").append(key).append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(value))
                .append("\",\"offset\":").append(offset).append('}');
        });
        return "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + entries.size() + "}";
    }

    private synchronized byte[] read(Http.Request request, String topic) throws InterruptedException {
        int from = Integer.parseInt(request.parameter("from"));
        String wait = request.parameter("wait_ms");
        long deadline = System.nanoTime() + (wait == null ? 0 : Long.parseLong(wait)) * 1_000_000;
        while (topics.getOrDefault(topic, List.of()).size() <= from) {
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            wait(left);
        }
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        List<Entry> rest = entries.subList(Math.min(from, entries.size()), entries.size());
        ByteBuffer bytes = ByteBuffer.allocate(16 + rest.stream().mapToInt(entry -> 4 + entry.content().length).sum());
        bytes.putLong(entries.size()).putLong(0);
        rest.forEach(entry -> bytes.putInt(entry.content().length).put(entry.content()));
        return bytes.array();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
