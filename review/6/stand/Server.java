package second;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A server of a service: its entry in the store, and the answers that every server gives. What it runs is up to {@link Work}. */
final class Server implements AutoCloseable {
    interface Work {
        /** Runs a request of a client, and answers it. */
        void run(Http.Request request, Http.Connection connection) throws Exception;
    }

    final String id;
    final String service;
    private final boolean isEngine;
    private final Work work;
    private Http.Server http;
    private final String ip = "127.0.0.1";
    private long born = System.currentTimeMillis();
    private long sequence = 0;

    Server(String id, String service, boolean isEngine, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.isEngine = isEngine;
        this.work = work;
        http = new Http.Server(ip, 0, this::handle);
    }

    String address() {
        return http.hostAndPort();
    }

    void register(Store store) {
        heartbeat(store);
    }

    synchronized void heartbeat(Store store) {
        if (http == null) return;
        sequence++;
        store.put("keyed.servers", id, entry());
    }

    private String entry() {
        String models = isEngine ? "[{\"name\":\"model-a\",\"version\":1,\"adapters\":[]}]" : "[]";
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,"
            + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"models\":" + models + ",\"sequence\":" + sequence
            + ",\"born\":" + born + "}";
    }

    /** An entry that another writer writes under this server's id: it names another service, and has not all fields. */
    synchronized String entryOfAnotherWriter(String otherService) {
        return "{\"service\":\"" + otherService + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\",\"slots\":64,\"state\":\"ready\","
            + "\"sequence\":" + (sequence + 1) + ",\"born\":" + born + "}";
    }

    /** The time of the server's start in Unix milliseconds. */
    synchronized long born() {
        return born;
    }

    /** Ends as a process does that crashes, and starts again after a while at the same address, under the same id. */
    synchronized void crash(Store store, long downMillis) throws IOException {
        if (http == null) return;
        int port = http.address.getPort();
        http.crash();
        http = null;
        Http.thread(() -> {
            Thread.sleep(downMillis);
            synchronized (this) {
                http = new Http.Server(ip, port, this::handle);
                born = System.currentTimeMillis();
                sequence = 0;
            }
            heartbeat(store);
        });
    }

    private void handle(Http.Request request, Http.Connection connection) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.respond("421 Misdirected Request", headers(request, Map.of("Not-Executed", "1")), new byte[0]);
            return;
        }
        switch (request.path()) {
            case "/v1/report" -> connection.respond("200 OK", Map.of("Content-Type", "application/json"),
                ("{\"stage\":\"colocated\",\"models\":[{\"name\":\"model-a\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,"
                    + "\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":104044,\"handles\":0,\"born\":" + born() + "}")
                    .getBytes(StandardCharsets.UTF_8));
            case "/health" -> connection.respond("200 OK", Map.of("Instance-Id", id), new byte[0]);
            default -> {
                if (request.header("Request-Id") == null) {
                    connection.respond("400 Bad Request", Map.of("Not-Executed", "1"), new byte[0]);
                } else {
                    work.run(request, connection);
                }
            }
        }
    }

    /** The headers of an answer to a request. */
    Map<String, String> headers(Http.Request request, Map<String, String> further) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (request.header("Request-Id") != null) headers.put("Request-Id", request.header("Request-Id"));
        headers.put("Instance-Id", id);
        headers.putAll(further);
        return headers;
    }

    /** Answers a request that has run. */
    void answer(Http.Request request, Http.Connection connection, String body) throws IOException {
        Map<String, String> signed = headers(request, Map.of("Server-Stamp", "stamp-" + id + "-" + request.header("Request-Id")));
        connection.respond("200 OK", signed, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Begins a stream as the answer to a request. */
    void beginStream(Http.Request request, Http.Connection connection) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        headers(request, Map.of("Server-Stamp", "stamp-" + id + "-" + request.header("Request-Id"), "Weight-Versions", "1"))
            .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        connection.send(head + "\r\n");
    }

    void sendEvent(Http.Connection connection, int number, String data) throws IOException {
        connection.send(chunk(number, data));
    }

    static String chunk(int number, String data) {
        String event = "id: " + number + "\ndata: " + data + "\n\n";
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    void endStream(Http.Connection connection) throws IOException {
        connection.send("0\r\n\r\n");
    }

    @Override
    public synchronized void close() throws IOException {
        if (http != null) http.close();
    }
}
