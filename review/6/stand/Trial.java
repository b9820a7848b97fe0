package second;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** One run of a case: its record, its small deployment and its verdict. */
final class Trial implements AutoCloseable {
    /** The bounds of the deployment, in milliseconds. */
    static final long CONFIG_APPLY = 2_000;
    static final long STABLE_WINDOW = 3_000;
    static final long HEARTBEAT = 1_200;
    private static final long START_LIMIT = 40_000;

    interface Body {
        /** Returns whether the rule held. */
        boolean run(Trial trial) throws Exception;
    }

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder = Files.createTempDirectory("review");
    final Store store = new Store("127.0.0.1");
    final List<Instance> instances = new ArrayList<>();
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();

    private Trial(String file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(file)), true);
    }

    /** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    static void main(String[] arguments, Body body) {
        int status = 2;
        try (Trial trial = new Trial(arguments[0])) {
            trial.note("trouble: " + trial.hasTrouble);
            try {
                boolean held = body.run(trial);
                trial.expectRunning();
                trial.note(held ? "HELD" : "BROKEN");
                status = held ? 0 : 1;
            } catch (Exception failure) {
                trial.note("could not run: " + failure);
                failure.printStackTrace();
            }
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        Runtime.getRuntime().halt(status);
    }

    /** Milliseconds since the start of the run. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void note(String text) {
        record.printf("%6d ms  %s%n", now(), text);
    }

    /** Writes a version of the configuration; returns the time of its acknowledgement. */
    long configure(String configuration) {
        store.put("keyed.op", "config", configuration);
        long at = now();
        note("operator: configuration " + configuration);
        return at;
    }

    /** Keeps a server's entry in the store up to date, until the server has left. */
    void register(Server server) {
        parts.add(server);
        server.register(store);
        Http.thread(() -> {
            while (true) {
                Thread.sleep(HEARTBEAT);
                server.heartbeat(store);
            }
        });
    }

    /** Starts the machines and waits until they are ready and in touch. */
    void startInstances(int count) throws Exception {
        for (int number = 1; number <= count; number++) {
            instances.add(new Instance("front-" + number, "zone-" + (char) ('a' + number - 1), store, folder));
        }
        long limit = now() + START_LIMIT;
        for (Instance instance : instances) {
            while (!instance.isReady()) {
                expectRunning();
                if (now() > limit) throw new IllegalStateException(instance.name + " does not get ready");
                Thread.sleep(50);
            }
        }
        note("machines are ready");
        Thread.sleep(STABLE_WINDOW + 500);
    }

    private void expectRunning() throws IOException {
        for (Instance instance : instances) {
            if (instance.isRunning()) continue;
            List<String> lines = Files.readAllLines(instance.log().toPath());
            lines.subList(Math.max(0, lines.size() - 20), lines.size()).forEach(this::note);
            throw new IllegalStateException(instance.name + " has ended");
        }
    }

    /** The text of a tenant in a configuration. */
    static String tenant(String name, String key, boolean isolated) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"priority\":1,\"unit\":\"token_count\",\"plain_tokens\":200,"
            + "\"isolated\":" + isolated + ",\"rate_per_s\":0,\"burst\":0}";
    }

    /** The text of a route in a configuration. */
    static String route(String name, String prefix, String kind, String service, int timeout, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":800,\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":"
            + attempts + ",\"anonymous\":false,\"sticky\":" + kind.equals("streaming") + ",\"resumable\":" + resumable
            + ",\"gap_aim_ms\":500}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}";
    }

    static String engineService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":104044,\"kv_token_bytes\":327680,\"link_mbps\":740000.0,"
            + "\"max_concurrency\":12,\"models\":[{\"name\":\"model-a\"}]}}";
    }

    static String configuration(int version, List<String> routes, List<String> services, List<String> tenants) {
        return configuration(version, routes, services, tenants, 16_384);
    }

    static String configuration(int version, List<String> routes, List<String> services, List<String> tenants, int headerBytes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services)
            + "],\"limits\":{\"max_header_bytes\":" + headerBytes + ",\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[" + String.join(",", tenants) + "]}";
    }

    @Override
    public void close() throws Exception {
        for (Instance instance : instances) instance.close();
        for (AutoCloseable part : parts) part.close();
        store.close();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            Path[] sorted = files.sorted(Comparator.reverseOrder()).toArray(Path[]::new);
            for (Path file : Arrays.asList(sorted)) Files.deleteIfExists(file);
        }
    }
}
