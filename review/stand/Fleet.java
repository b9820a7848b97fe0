import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Starts instances of the project with the command of the deploy file, and keeps the record of a case. */
final class Fleet implements AutoCloseable {
    static final class Instance {
        Process process;
        int front;
        int ready;
        int peers;
        Path log;
    }

    /** The status of a broken rule. A JVM that does not get as far as the case ends with 1. */
    private static final int BROKEN = 10;
    private static final int NOT_PLAYED = 2;

    private final Path root = Path.of(System.getProperty("root")).toAbsolutePath().normalize();
    private final Path folder;
    private final BufferedWriter record;
    private final long startedAt = System.nanoTime();
    final List<Instance> instances = new ArrayList<>();

    Fleet(String recordFile) throws IOException {
        folder = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> instances.forEach(instance -> instance.process.destroyForcibly())));
        record = Files.newBufferedWriter(Path.of(recordFile));
    }

    /** Plays a case, which tells whether the rule was broken, and ends this process with its status. */
    static void exitWith(Callable<Boolean> play) {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            error.printStackTrace();
            System.exit(NOT_PLAYED);
        });
        int status = NOT_PLAYED;
        try {
            status = play.call() ? BROKEN : 0;
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** The errors that [instance] wrote to its log, each with how often. */
    Map<String, Long> errors(Instance instance) throws IOException {
        Pattern error = Pattern.compile("(Exception in thread .*|Java heap space|OutOfMemoryError)");
        try (var lines = Files.lines(instance.log)) {
            return lines.map(error::matcher).filter(Matcher::find).collect(Collectors.groupingBy(Matcher::group, TreeMap::new, Collectors.counting()));
        }
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void note(String format, Object... arguments) {
        try {
            record.write(String.format("%7d ms  ", now()) + String.format(format, arguments) + "\n");
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts one instance; [store] is the address of the store, [environment] is added to its environment. */
    Instance start(String name, String store, Map<String, String> environment) throws Exception {
        Instance instance = new Instance();
        instance.front = freePort();
        instance.ready = freePort();
        int directory = freePort();
        int metrics = freePort();
        instance.peers = freeDatagramPort();
        String settings = Files.readString(root.resolve("deploy/node.toml.template"))
            .replace("{{ip}}:7601", "127.0.0.1:" + metrics)
            .replace("{{ip}}:{{port_range.0}}", "127.0.0.1:" + instance.peers)
            // The stand has no optional values, so that their sections are rendered as nothing.
            .replaceAll("\\{\\{#([^}]*)}}.*?\\{\\{/\\1}}", "");
        Map<String, String> values = Map.ofEntries(
            Map.entry("node_name", name), Map.entry("zone", "zone-a"),
            Map.entry("listen.front", "127.0.0.1:" + instance.front), Map.entry("listen.ready", "127.0.0.1:" + instance.ready),
            Map.entry("listen.directory", "127.0.0.1:" + directory), Map.entry("platform.address", store),
            Map.entry("limits.link_mbps", "1000.0"), Map.entry("bounds.retry_budget_ratio", "0.2"), Map.entry("bounds.retry_slack", "54"),
            Map.entry("bounds.retry_window_s", "10"),
            Map.entry("bounds.quota_window_s", "8"), Map.entry("bounds.quota_overshoot", "0.1"), Map.entry("bounds.quota_slack", "110000"),
            Map.entry("bounds.lease_ms", "3000"), Map.entry("bounds.version_ms", "8000"),
            Map.entry("contracts|json", "[\"base\", \"drain\", \"config\"]"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        String missing = Pattern.compile("\\{\\{[^}\\n]*}*").matcher(settings).results().map(MatchResult::group).distinct().collect(Collectors.joining(", "));
        if (!missing.isEmpty()) throw new IllegalStateException("no value for " + missing + " of deploy/node.toml.template");
        Path file = Files.writeString(folder.resolve(name + ".toml"), settings);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("no command in the deploy file");
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.replaceAll(word -> word.equals("/etc/cactuspulley/node.json") ? file.toString() : word);
        instance.log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(instance.log.toFile());
        builder.environment().putAll(environment);
        instance.process = builder.start();
        instances.add(instance);
        note("instance %s started, process %d, callers at port %d", name, instance.process.pid(), instance.front);
        return instance;
    }

    /** Waits until [instance] says that it is ready. */
    void awaitReady(Instance instance) throws Exception {
        long until = now() + 20_000;
        while (now() < until) {
            try {
                HttpURLConnection connection = (HttpURLConnection) new URL("http://127.0.0.1:" + instance.ready + "/v1/readiness").openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                int status = connection.getResponseCode();
                connection.disconnect();
                if (status == 200) return;
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("an instance did not become ready");
    }

    private static void awaitEnd(Instance instance) {
        try {
            instance.process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void signal(Instance instance, String name) throws Exception {
        note("SIG%s to process %d", name, instance.process.pid());
        new ProcessBuilder("kill", "-" + name, Long.toString(instance.process.pid())).start().waitFor();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() throws IOException {
        for (Instance instance : instances) {
            instance.process.destroyForcibly();
            awaitEnd(instance);
            if (Boolean.getBoolean("keepLogs")) note("log of process %d:%n%s", instance.process.pid(), Files.readString(instance.log));
        }
        record.close();
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
