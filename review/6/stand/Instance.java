package second;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine: the program of the deploy file as a process of its own, with its settings rendered from the deploy file's template. */
final class Instance implements AutoCloseable {
    /** The deploy file names it; the platform places the settings there. */
    private static final String SETTINGS_PLACE = "/etc/cactuspulley/node.json";
    private static final long GRACE = 8_000;
    private static final long RESTART_DELAY = 200;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([a-z_.]+)}}(.*?)\\{\\{/\\1}}");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z0-9_.]+)(\\|json)?}}");

    final String name;
    final String ip = "127." + random(10, 250) + "." + random(1, 250) + "." + random(1, 250);
    final InetSocketAddress callers = new InetSocketAddress(ip, freePort(ip));
    private final InetSocketAddress ready = new InetSocketAddress(ip, freePort(ip));
    private final Path folder;
    private final List<String> command = new ArrayList<>();
    private Process process;

    Instance(String name, String zone, Store store, Path folder) throws IOException {
        this.name = name;
        this.folder = folder;
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, render(Files.readString(Path.of("deploy/node.toml.template")), values(name, zone, store)));
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no command");
        for (String word : run.group(1).split(" ")) command.add(word.equals(SETTINGS_PLACE) ? settings.toString() : word);
        start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
    }

    private void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        process = builder.start();
    }

    /** Stops the process as the platform does, with SIGTERM and with SIGKILL after {@code grace_s}, and starts it again. */
    void roll() throws IOException, InterruptedException {
        process.destroy();
        if (!process.waitFor(GRACE, TimeUnit.MILLISECONDS)) process.destroyForcibly().waitFor();
        Thread.sleep(RESTART_DELAY);
        start();
    }

    private Map<String, String> values(String name, String zone, Store store) {
        return Map.ofEntries(
            Map.entry("node_name", name), Map.entry("zone", zone), Map.entry("ip", ip),
            Map.entry("listen.front", callers.getHostString() + ":" + callers.getPort()),
            Map.entry("listen.ready", ready.getHostString() + ":" + ready.getPort()),
            Map.entry("listen.directory", ip + ":" + freePort(ip)),
            Map.entry("port_range.0", "7600"), Map.entry("platform.address", store.address()), Map.entry("limits.link_mbps", "1000.0"),
            Map.entry("bounds.retry_budget_ratio", "0.2"), Map.entry("bounds.retry_slack", "54"),
            Map.entry("bounds.retry_window_s", "10"), Map.entry("bounds.quota_window_s", "8"),
            Map.entry("bounds.quota_overshoot", "0.1"), Map.entry("bounds.quota_slack", "110000"),
            Map.entry("bounds.lease_ms", "3000"), Map.entry("bounds.version_ms", "8000"),
            Map.entry("contracts", "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\","
                + "\"tenants\",\"quota\",\"platform\"]"));
    }

    private static String render(String template, Map<String, String> values) {
        String withoutSections = SECTION.matcher(template).replaceAll(match ->
            Matcher.quoteReplacement(values.containsKey(match.group(1)) ? match.group(2) : ""));
        return PLACEHOLDER.matcher(withoutSections).replaceAll(match ->
            Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
    }

    private static int random(int from, int to) {
        return ThreadLocalRandom.current().nextInt(from, to);
    }

    /** Returns a port below those that the system gives to outgoing connections. */
    private static int freePort(String ip) {
        while (true) {
            int port = random(10_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // Another port is tried.
            }
        }
    }

    File log() {
        return folder.resolve(name + ".log").toFile();
    }

    boolean isRunning() {
        return process.isAlive();
    }

    boolean isReady() {
        try (Socket socket = new Socket(ready.getAddress(), ready.getPort())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
            return Http.readResponse(socket.getInputStream()).status() == 200;
        } catch (IOException down) {
            return false;
        }
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
}
