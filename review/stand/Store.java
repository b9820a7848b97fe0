import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A sound stand-in of the platform's store: keyed topics in memory, with log-append, log-read and log-newest. */
final class Store implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1_200;

    private record Entry(byte[] content, String key, byte[] value) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final HttpServer server;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Appends a record as the operator or a server does. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
            .put((byte) keyBytes.length).put(keyBytes).put(valueBytes).array();
        topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(decode(content));
        notifyAll();
    }

    /** Writes the entries of sound servers again and again; [models] is the value of the field of that name, or empty. */
    void startHeartbeats(String service, String models, Map<String, String> addresses) {
        long born = System.currentTimeMillis() - 60_000;
        Thread thread = new Thread(() -> {
            for (int sequence = 1;; sequence++) {
                int number = sequence;
                addresses.forEach((id, address) -> put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address
                    + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,"
                    + (models.isEmpty() ? "" : "\"stage\":\"colocated\",\"models\":" + models + ",")
                    + "\"sequence\":" + number + ",\"born\":" + born + "}"));
                try {
                    Thread.sleep(HEARTBEAT_MILLIS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static Entry decode(byte[] content) {
        int end = 1 + (content[0] & 0xff);
        return new Entry(content, new String(content, 1, end - 1, StandardCharsets.UTF_8), Arrays.copyOfRange(content, end, content.length));
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, String> query = query(exchange);
            byte[] body = exchange.getRequestBody().readAllBytes();
            String topic = query.get("topic");
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/log-append" -> append(exchange, topic, query.get("at"), body);
                case "/v1/log-newest" -> newest(exchange, topic, query.get("after"));
                case "/v1/log-read" -> read(exchange, topic, Long.parseLong(query.get("from")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
                default -> respond(exchange, 404, new byte[0]);
            }
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text == null) return result;
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) result.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return result;
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) exchange.getResponseBody().write(body);
    }

    private void append(HttpExchange exchange, String topic, String at, byte[] body) throws IOException {
        int status = 200;
        String answer;
        synchronized (this) {
            List<Entry> entries = topics.computeIfAbsent(topic, t -> new ArrayList<>());
            if (at != null && Long.parseLong(at) != entries.size()) {
                status = 412;
                answer = "{\"end\":" + entries.size() + "}";
            } else {
                int offset = entries.size();
                ByteBuffer records = ByteBuffer.wrap(body);
                while (records.hasRemaining()) {
                    byte[] content = new byte[records.getInt()];
                    records.get(content);
                    entries.add(decode(content));
                }
                answer = "{\"offset\":" + offset + ",\"end\":" + entries.size() + "}";
                notifyAll();
            }
        }
        respond(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
    }

    private void newest(HttpExchange exchange, String topic, String after) throws IOException {
        StringBuilder items = new StringBuilder();
        int end;
        synchronized (this) {
            List<Entry> entries = topics.getOrDefault(topic, List.of());
            end = entries.size();
            TreeMap<String, Integer> newest = new TreeMap<>();
            for (int i = 0; i < end; i++) newest.put(entries.get(i).key(), i);
            newest.forEach((key, offset) -> {
                Entry entry = entries.get(offset);
                if (entry.value().length == 0 || (after != null && key.compareTo(after) <= 0)) return;
                items.append(items.length() == 0 ? "" : ",").append("{\"key\":\"").append(key).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(entry.value())).append("\",\"offset\":").append(offset).append("}");
            });
        }
        respond(exchange, 200, ("{\"items\":[" + items + "],\"has_more\":false,\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8));
    }

    private void read(HttpExchange exchange, String topic, long from, long waitMillis) throws IOException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        synchronized (this) {
            while (topics.getOrDefault(topic, List.of()).size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) break;
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    return;
                }
            }
            List<Entry> entries = topics.getOrDefault(topic, List.of());
            body.writeBytes(ByteBuffer.allocate(16).putLong(entries.size()).putLong(0).array());
            for (int i = (int) from; i < entries.size(); i++) {
                body.writeBytes(ByteBuffer.allocate(4).putInt(entries.get(i).content().length).array());
                body.writeBytes(entries.get(i).content());
            }
        }
        respond(exchange, 200, body.toByteArray());
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
